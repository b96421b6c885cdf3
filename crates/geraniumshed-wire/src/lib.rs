//! Wire types and codecs, with conversions to and from the model.
//!
//! Each folder holds one interface. A wire type is the serialised twin of a model type; its
//! `From` and `TryFrom` are the only way between the two, so that the model is free to change.

pub mod common;
pub mod document;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod record;
