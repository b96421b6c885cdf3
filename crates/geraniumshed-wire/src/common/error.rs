//! Errors of converting wire values to the model.

use std::fmt::{self, Display, Formatter};

use geraniumshed_model::id::ParseIdError;
use smol_str::{SmolStr, format_smolstr};

/// The error for a received value that is not valid in the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// The bytes can't be decoded to the expected type.
    Encoding {
        /// The error reported by the decoder.
        reason: SmolStr,
    },
    /// A name or number is not valid.
    Invalid {
        /// What is wrong, and what is allowed.
        reason: SmolStr,
    },
}

impl WireError {
    /// Creates the error for bytes that can't be decoded.
    pub fn encoding(error: impl Display) -> Self {
        Self::Encoding {
            reason: format_smolstr!("{error}"),
        }
    }

    /// Creates the error for a value that is not valid.
    pub fn invalid(error: impl Display) -> Self {
        Self::Invalid {
            reason: format_smolstr!("{error}"),
        }
    }
}

impl Display for WireError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encoding { reason } => write!(f, "the bytes can't be decoded: {reason}"),
            Self::Invalid { reason } => write!(f, "a value is invalid: {reason}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<ParseIdError> for WireError {
    fn from(error: ParseIdError) -> Self {
        Self::invalid(error)
    }
}
