//! Events of a stream of idempotency keys on the wire.

use geraniumshed_model::prelude::{KeyDigest, KeyEvent, RequestDigest};
use serde::{Deserialize, Serialize};

use super::codec::DecodeError;

/// The twin of [`KeyEvent`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireKeyEvent {
    /// The barrier of a new owner.
    Opened,
    /// A key is used up.
    Claimed {
        /// The digest of the service's name and the key.
        key: u128,
        /// The digest of the request.
        request: u128,
    },
}

impl From<KeyEvent> for WireKeyEvent {
    fn from(event: KeyEvent) -> Self {
        match event {
            KeyEvent::Opened => Self::Opened,
            KeyEvent::Claimed { key, request } => Self::Claimed {
                key: key.0,
                request: request.0,
            },
        }
    }
}

impl TryFrom<WireKeyEvent> for KeyEvent {
    type Error = DecodeError;

    fn try_from(wire: WireKeyEvent) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireKeyEvent::Opened => Self::Opened,
            WireKeyEvent::Claimed { key, request } => Self::Claimed {
                key: KeyDigest(key),
                request: RequestDigest(request),
            },
        })
    }
}
