//! A client for the operator API of daemons.

pub mod error;
pub mod operator;

pub use self::error::ClientError;
pub use self::operator::{ClientSettings, OperatorClient};
