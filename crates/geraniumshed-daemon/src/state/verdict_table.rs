//! What became of this daemon's own publications.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_core::state::PublishVerdict;

use crate::log::EventPosition;

/// The verdicts that are kept until their publisher asks.
const VERDICT_LIMIT: usize = 4096;

/// What became of this daemon's own publications, by their place in the stream.
#[derive(Debug, Clone, Default)]
pub(super) struct VerdictTable {
    verdicts: Arc<Mutex<BTreeMap<EventPosition, PublishVerdict>>>,
}

impl VerdictTable {
    /// Keeps a verdict.
    pub(super) fn insert(&self, position: EventPosition, verdict: PublishVerdict) {
        let mut verdicts = self.verdicts();
        verdicts.insert(position, verdict);
        if verdicts.len() > VERDICT_LIMIT {
            verdicts.pop_first();
        }
    }

    /// Takes the verdict at a place.
    pub(super) fn take(&self, position: EventPosition) -> Option<PublishVerdict> {
        self.verdicts().remove(&position)
    }

    fn verdicts(&self) -> MutexGuard<'_, BTreeMap<EventPosition, PublishVerdict>> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
