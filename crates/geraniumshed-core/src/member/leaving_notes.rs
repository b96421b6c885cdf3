//! Endpoints that were lately seen to be leaving.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{EndpointId, TimePoint};

/// The time for which a note is told to peers. The log says the same well before.
const NOTE_TIME: Duration = Duration::from_secs(10);

/// The notes that are kept at once.
const NOTE_LIMIT: usize = 64;

/// Endpoints that this daemon or a peer has lately seen to be leaving.
///
/// A note heard from a peer is passed on like an own one, but doesn't live longer by that.
#[derive(Debug, Clone, Default)]
pub struct LeavingNotes {
    notes: BTreeMap<EndpointId, TimePoint>,
}

impl LeavingNotes {
    /// Takes note of an endpoint that this daemon saw to be leaving.
    pub fn note(&mut self, now: TimePoint, endpoint: EndpointId) {
        self.drop_old(now);
        if self.notes.len() < NOTE_LIMIT {
            self.notes.insert(endpoint, now);
        }
    }

    /// Takes note of what a peer told.
    pub fn hear(&mut self, now: TimePoint, endpoints: Vec<EndpointId>) {
        self.drop_old(now);
        for endpoint in endpoints {
            if self.notes.len() < NOTE_LIMIT {
                self.notes.entry(endpoint).or_insert(now);
            }
        }
    }

    /// Returns the endpoints of the last seconds.
    pub fn recent(&self, now: TimePoint) -> Vec<EndpointId> {
        self.notes
            .iter()
            .filter(|(_, noted)| now.since(**noted) < NOTE_TIME)
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// Drops notes that no peer tells any more either.
    fn drop_old(&mut self, now: TimePoint) {
        self.notes
            .retain(|_, noted| now.since(*noted) < NOTE_TIME * 4);
    }
}
