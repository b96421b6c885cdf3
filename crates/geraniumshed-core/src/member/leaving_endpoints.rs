//! Endpoints that recently announced that they are leaving.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{EndpointId, TimePoint};

/// The time for which a leaving endpoint is reported to peers. The log reports it well before the
/// end of this time.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// The maximum number of endpoints.
const ENDPOINT_LIMIT: usize = 64;

/// Endpoints that this daemon or a peer has recently seen leaving.
///
/// An endpoint reported by a peer is passed on to other peers too, but such a report doesn't extend
/// the time of an endpoint that is known already.
#[derive(Debug, Clone, Default)]
pub struct LeavingEndpoints {
    seen_at: BTreeMap<EndpointId, TimePoint>,
}

impl LeavingEndpoints {
    /// Adds an endpoint that this daemon has seen leaving.
    pub fn add(&mut self, now: TimePoint, endpoint: EndpointId) {
        self.drop_expired(now);
        if self.seen_at.len() < ENDPOINT_LIMIT {
            self.seen_at.insert(endpoint, now);
        }
    }

    /// Adds the endpoints that a peer reports.
    pub fn add_reported(&mut self, now: TimePoint, endpoints: Vec<EndpointId>) {
        self.drop_expired(now);
        for endpoint in endpoints {
            if self.seen_at.len() < ENDPOINT_LIMIT {
                self.seen_at.entry(endpoint).or_insert(now);
            }
        }
    }

    /// Returns the endpoints to report to peers.
    pub fn recent(&self, now: TimePoint) -> Vec<EndpointId> {
        self.seen_at
            .iter()
            .filter(|(_, seen_at)| now.since(**seen_at) < REPORT_TIME)
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// Drops endpoints that no peer can still report. Dropping them earlier would let late reports
    /// of peers add them again.
    fn drop_expired(&mut self, now: TimePoint) {
        self.seen_at
            .retain(|_, seen_at| now.since(*seen_at) < REPORT_TIME * 4);
    }
}
