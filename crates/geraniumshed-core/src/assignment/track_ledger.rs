//! The bad track records of workers, as they are stored for a successor.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::planner::JobPlanner;
use crate::job::WorkerId;
use crate::worker::StoredTrack;

/// The minimum interval between two writes of the records.
const STORE_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of stored records.
const RECORD_LIMIT: usize = 64;

/// The bad records of workers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrackSnapshot {
    /// The workers with their records.
    pub tracks: Vec<(WorkerId, StoredTrack)>,
}

impl TrackSnapshot {
    /// Returns whether another snapshot has the records of the same workers.
    fn has_same_workers(&self, other: &Self) -> bool {
        let ids = |one: &Self| -> Vec<WorkerId> {
            one.tracks
                .iter()
                .map(|(worker, _)| worker.clone())
                .collect()
        };
        ids(self) == ids(other)
    }
}

/// Tracks which records the store holds.
#[derive(Debug, Default)]
pub(super) struct TrackLedger {
    /// The newest snapshot that was passed on to be stored, or that an earlier planner has stored.
    newest: TrackSnapshot,
    /// Whether other workers have a bad record since, so that a batch with a snapshot is due.
    is_due: bool,
    /// The earliest time of the next comparison.
    next_check: TimePoint,
}

impl TrackLedger {
    /// Returns whether a batch has to be stored for the records.
    pub(super) fn is_due(&self) -> bool {
        self.is_due
    }
}

impl JobPlanner {
    /// Restores the bad records that an earlier planner stored. Those of workers that aren't known yet
    /// are applied once the workers are.
    pub fn restore_tracks(&mut self, now: TimePoint, snapshot: TrackSnapshot) {
        for (worker, stored) in &snapshot.tracks {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.track.restore(now, *stored);
            }
        }
        self.track_ledger.newest = snapshot;
    }

    /// Applies what an earlier planner has stored about a worker that has just become known.
    pub(super) fn inherit_track(&mut self, now: TimePoint, worker: &WorkerId) {
        let mut known = self.track_ledger.newest.tracks.iter();
        let stored = known.find(|(one, _)| one == worker);
        if let Some((entry, (_, stored))) = self.workers.get_mut(worker).zip(stored) {
            entry.track.restore(now, *stored);
        }
    }

    /// Decides whether the records have to be stored.
    pub(super) fn watch_tracks(&mut self, now: TimePoint) {
        if now < self.track_ledger.next_check {
            return;
        }
        self.track_ledger.next_check = now + STORE_INTERVAL;
        let snapshot = self.track_snapshot(now);
        self.track_ledger.is_due = !snapshot.has_same_workers(&self.track_ledger.newest);
    }

    /// Takes the snapshot that a batch stores, if one is due.
    pub(super) fn take_track_snapshot(&mut self, now: TimePoint) -> Option<TrackSnapshot> {
        if !std::mem::take(&mut self.track_ledger.is_due) {
            return None;
        }
        let snapshot = self.track_snapshot(now);
        self.track_ledger.newest = snapshot.clone();
        Some(snapshot)
    }

    fn track_snapshot(&self, now: TimePoint) -> TrackSnapshot {
        let records = self.workers.values().filter_map(|entry| {
            let stored = entry.track.stored(now)?;
            Some((entry.id().clone(), stored))
        });
        TrackSnapshot {
            tracks: records.take(RECORD_LIMIT).collect(),
        }
    }
}
