//! The client of the operators' interface.

pub mod error;
pub mod operator;

pub use self::error::ClientError;
pub use self::operator::{ClientSettings, OperatorClient};
