//! The compact binary encoding of log pages and worker calls.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::common::WireError;

/// Encodes a value.
///
/// # Panics
///
/// Panics if the type has a part that the encoding can't hold, which no wire type here has.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("wire types hold only what the encoding can hold")
}

/// Decodes a value that has to fill the bytes.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(WireError::encoding)?;
    if !rest.is_empty() {
        return Err(WireError::encoding("there are bytes after the value"));
    }
    Ok(value)
}
