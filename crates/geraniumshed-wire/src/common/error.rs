//! What makes a wire value unfit for the model.

use std::fmt::{self, Display, Formatter};

use geraniumshed_model::id::ParseIdError;
use smol_str::{SmolStr, format_smolstr};

/// A value that was read from outside and breaks a rule of the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a value of the expected type.
    Encoding {
        /// What the decoder reported.
        reason: SmolStr,
    },
    /// A name or number is not valid.
    Invalid {
        /// What is wrong and what is allowed.
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

    /// Creates the error for a value that breaks a rule.
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
            Self::Invalid { reason } => write!(f, "a value is not allowed: {reason}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<ParseIdError> for WireError {
    fn from(error: ParseIdError) -> Self {
        Self::invalid(error)
    }
}
