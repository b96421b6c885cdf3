//! Events of an idempotency key stream on the wire.

use geraniumshed_model::prelude::{KeyDigest, KeyEvent, RequestDigest};
use serde::{Deserialize, Serialize};

use super::codec::DecodeError;

/// A [`KeyEvent`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyEventWire {
    /// The first entry of a new owner.
    Opened,
    /// A key is claimed.
    Claimed {
        /// The digest of the service name and the key.
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
