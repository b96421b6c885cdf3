//! The verdicts on this daemon's own publications.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_core::state::PublishVerdict;

use crate::log::EventPosition;

/// The maximum number of verdicts that wait for their publisher.
const VERDICT_LIMIT: usize = 4096;

/// The verdicts on this daemon's own publications, by their position in the stream.
#[derive(Debug, Clone, Default)]
pub(super) struct VerdictTable {
    verdicts: Arc<Mutex<BTreeMap<EventPosition, PublishVerdict>>>,
}

impl VerdictTable {
    /// Adds a verdict, and drops the oldest one if there are too many.
    pub(super) fn insert(&self, position: EventPosition, verdict: PublishVerdict) {
        let mut verdicts = self.verdicts();
        verdicts.insert(position, verdict);
        if verdicts.len() > VERDICT_LIMIT {
            verdicts.pop_first();
        }
    }

    /// Removes and returns the verdict at a position.
    pub(super) fn take(&self, position: EventPosition) -> Option<PublishVerdict> {
        self.verdicts().remove(&position)
    }

    fn verdicts(&self) -> MutexGuard<'_, BTreeMap<EventPosition, PublishVerdict>> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
