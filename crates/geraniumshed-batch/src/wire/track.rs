//! The stored form of the bad track records of workers.

use geraniumshed_core::assignment::TrackSnapshot;
use geraniumshed_core::job::WorkerId;
use geraniumshed_core::worker::StoredTrack;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The bad track records of workers, as they are stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrackSnapshotWire {
    /// Each worker, with whether it is slow, its speed and the weight of its incidents, both in percent.
    tracks: Vec<(SmolStr, bool, u32, u32)>,
}

impl From<TrackSnapshot> for TrackSnapshotWire {
    fn from(snapshot: TrackSnapshot) -> Self {
        let tracks = snapshot.tracks.into_iter();
        let wire = |(worker, one): (WorkerId, StoredTrack)| {
            (
                worker.0,
                one.is_slow,
                one.speed_percent,
                one.incident_percent,
            )
        };
        Self {
            tracks: tracks.map(wire).collect(),
        }
    }
}

impl From<TrackSnapshotWire> for TrackSnapshot {
    fn from(wire: TrackSnapshotWire) -> Self {
        let tracks = wire.tracks.into_iter();
        let track = |(worker, is_slow, speed_percent, incident_percent)| {
            let stored = StoredTrack {
                is_slow,
                speed_percent,
                incident_percent,
            };
            (WorkerId(worker), stored)
        };
        Self {
            tracks: tracks.map(track).collect(),
        }
    }
}
