//! Conversion of names to and from text.

use std::str::FromStr;

use geraniumshed_model::id::ParseIdError;
use smol_str::{SmolStr, ToSmolStr};

use super::codec::DecodeError;
use crate::common::WireError;

/// Returns the text of a name.
pub(super) fn name_text(name: &impl ToSmolStr) -> SmolStr {
    name.to_smolstr()
}

/// Parses the text of a name.
pub(super) fn parse_name<T: FromStr<Err = ParseIdError>>(text: &SmolStr) -> Result<T, DecodeError> {
    Ok(text.parse().map_err(WireError::from)?)
}
