//! Wire types and codecs, with conversions to and from the model.
//!
//! Each module contains one interface. A wire type is the serialised form of a model type. The two
//! are converted only by `From` and `TryFrom`, so that the model can change independently of the
//! encoding.

pub mod common;
pub mod document;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod record;
