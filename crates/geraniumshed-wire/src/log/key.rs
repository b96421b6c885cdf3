//! Events of a stream of idempotency keys on the wire.

use geraniumshed_model::prelude::{KeyDigest, KeyEvent, RequestDigest};
use serde::{Deserialize, Serialize};

use super::codec::DecodeError;

/// The twin of [`KeyEvent`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyEventWire {
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

impl From<KeyEvent> for KeyEventWire {
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

impl TryFrom<KeyEventWire> for KeyEvent {
    type Error = DecodeError;

    fn try_from(wire: KeyEventWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            KeyEventWire::Opened => Self::Opened,
            KeyEventWire::Claimed { key, request } => Self::Claimed {
                key: KeyDigest(key),
                request: RequestDigest(request),
            },
        })
    }
}
