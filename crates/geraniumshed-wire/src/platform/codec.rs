//! The binary encoding of log pages and worker calls.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::common::WireError;

/// Encodes a value.
///
/// # Panics
///
/// Panics if postcard can't encode the type, which is not the case for any wire type here.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("postcard can encode every wire type")
}

/// Decodes a value that takes up all of the bytes.
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
