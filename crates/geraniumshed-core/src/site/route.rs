//! The routes by which clients reach queues.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::job::{QueueName, QueuePolicy};

/// The host and path prefix at which clients reach a queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey {
    /// The host in lower case, without a port.
    host: SmolStr,
    /// The path prefix; what follows it in a path is a job's id or empty.
    prefix: SmolStr,
}

impl RouteKey {
    /// Creates a key. The case of the host is ignored.
    pub fn new(host: &str, prefix: SmolStr) -> Self {
        let host = SmolStr::new(host.to_ascii_lowercase());
        Self { host, prefix }
    }

    /// Returns the host in lower case.
    pub fn host(&self) -> &SmolStr {
        &self.host
    }

    /// Returns the path prefix.
    pub fn prefix(&self) -> &SmolStr {
        &self.prefix
    }
}

/// The queue that a route leads to.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// The queue's name.
    pub queue: QueueName,
    /// The queue's scheduling policy.
    pub policy: QueuePolicy,
}

/// The routes of all queues.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    entries: BTreeMap<RouteKey, RouteEntry>,
    /// The lengths of all prefixes, in bytes, so that a lookup tries only these.
    prefix_lengths: BTreeSet<usize>,
}

impl RouteTable {
    /// Returns the entry with the longest prefix of a path on a host, and the rest of the path.
    pub fn find<'p>(&self, host: &str, path: &'p str) -> Option<(&RouteEntry, &'p str)> {
        let lengths = self.prefix_lengths.range(..=path.len()).rev();
        let mut splits = lengths.filter_map(|length| path.split_at_checked(*length));
        splits.find_map(|(prefix, rest)| {
            let key = RouteKey::new(host, SmolStr::new(prefix));
            Some((self.entries.get(&key)?, rest))
        })
    }

    /// Returns the policies of all queues.
    pub fn queues(&self) -> BTreeMap<QueueName, QueuePolicy> {
        let entries = self.entries.values();
        entries
            .map(|entry| (entry.queue.clone(), entry.policy.clone()))
            .collect()
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &RouteKey) -> Option<&RouteEntry> {
        self.entries.get(key)
    }

    /// Returns all routes, ordered by their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteKey, &RouteEntry)> {
        self.entries.iter()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and then replaces or adds routes.
    pub(super) fn change(&mut self, removed: Vec<RouteKey>, changed: Vec<(RouteKey, RouteEntry)>) {
        for key in removed {
            self.entries.remove(&key);
        }
        self.entries.extend(changed);
        self.prefix_lengths = self.entries.keys().map(|key| key.prefix.len()).collect();
    }
}

/// Collects routes; of several with the same key, the first one counts.
impl FromIterator<(RouteKey, RouteEntry)> for RouteTable {
    fn from_iter<I: IntoIterator<Item = (RouteKey, RouteEntry)>>(iter: I) -> Self {
        let mut entries = BTreeMap::new();
        for (key, entry) in iter {
            entries.entry(key).or_insert(entry);
        }
        let prefix_lengths = entries.keys().map(|key: &RouteKey| key.prefix.len());
        Self {
            prefix_lengths: prefix_lengths.collect(),
            entries,
        }
    }
}
