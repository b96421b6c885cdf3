//! The encoding of stored records: a version byte, then the value in the postcard format.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the encoding, the first byte of each record.
const FORMAT_VERSION: u8 = 1;

/// The reason why a record can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireDecodeError {
    /// The record is empty.
    Empty,
    /// This program doesn't know the encoding version of the record.
    UnknownVersion(u8),
    /// The bytes don't match the encoding.
    Malformed,
    /// A value breaks a rule.
    Invalid(&'static str),
}

impl Display for WireDecodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the record is empty"),
            Self::UnknownVersion(version) => write!(f, "encoding version {version} is not known"),
            Self::Malformed => f.write_str("the record is malformed"),
            Self::Invalid(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for WireDecodeError {}

/// Encodes a record.
///
/// # Panics
///
/// Panics if the value holds a map or sequence of unknown length, which no record does.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let bytes = postcard::to_extend(value, vec![FORMAT_VERSION]);
    bytes.expect("records have known lengths").into()
}

/// Decodes a record.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireDecodeError> {
    let (version, body) = bytes.split_first().ok_or(WireDecodeError::Empty)?;
    if *version != FORMAT_VERSION {
        return Err(WireDecodeError::UnknownVersion(*version));
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(WireDecodeError::Malformed),
    }
}
