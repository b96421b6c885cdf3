//! Start-time fair queueing, by the processor-seconds that each flow starts.

use std::collections::BTreeMap;

/// The shares of flows that compete for the same capacity (start-time fair queueing).
///
/// Each flow has a tag: the work that it started, relative to its weight. One that begins to wait starts at the tag of the flow served last, so that it
/// neither owes nor is owed for the time before.
#[derive(Debug, Clone)]
pub(super) struct FairShare<K> {
    tags: BTreeMap<K, f64>,
    /// The highest start tag served so far.
    virtual_time: f64,
}

/// A flow that has work to start, in the order in which it is to be started.
#[derive(Debug)]
pub(super) struct Flow<K, T> {
    pub(super) key: K,
    pub(super) weight: f64,
    pub(super) parts: Vec<FlowPart<T>>,
}

/// A part of a flow's work that is started as a whole.
#[derive(Debug)]
pub(super) struct FlowPart<T> {
    /// The work in processor-seconds.
    pub(super) work: f64,
    pub(super) item: T,
}

impl<K> Default for FairShare<K> {
    fn default() -> Self {
        Self {
            tags: BTreeMap::new(),
            virtual_time: 0.0,
        }
    }
}

impl<K: Ord + Clone> FairShare<K> {
    /// Records that a flow started work.
    pub(super) fn charge(&mut self, key: &K, weight: f64, work: f64) {
        let start = self.tag(key);
        self.tags.insert(key.clone(), start + work / weight);
        self.virtual_time = self.virtual_time.max(start);
    }

    /// Limits how far flows lag behind, in processor-seconds, since one whose tasks fit nowhere for a
    /// while would otherwise take all capacity afterwards. Flows without work that lag are forgotten.
    pub(super) fn limit_lag(&mut self, limit: f64, has_work: impl Fn(&K) -> bool) {
        let virtual_time = self.virtual_time;
        self.tags
            .retain(|key, tag| *tag > virtual_time || has_work(key));
        for tag in self.tags.values_mut() {
            *tag = tag.max(virtual_time - limit);
        }
    }

    /// Merges the parts of all flows into the order in which they are to be started: by the tags that
    /// the flows have once the parts are started, so that of flows that begin to wait together, the one
    /// with the higher weight or the smaller part goes first.
    pub(super) fn merge<T>(&self, flows: Vec<Flow<K, T>>) -> Vec<FlowPart<T>> {
        let mut merged = Vec::new();
        for flow in flows {
            let mut tag = self.tag(&flow.key);
            for part in flow.parts {
                tag += part.work / flow.weight;
                merged.push((tag, part));
            }
        }
        merged.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        merged.into_iter().map(|(_, part)| part).collect()
    }

    fn tag(&self, key: &K) -> f64 {
        self.tags.get(key).copied().unwrap_or(self.virtual_time)
    }
}
