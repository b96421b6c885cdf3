//! The list of metrics.

use std::collections::BTreeMap;

use geraniumshed_wire::operator::MetricValue;
use smol_str::SmolStr;

/// The kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// The value only increases, and starts at zero with the process.
    Counter,
    /// The value goes up and down.
    Gauge,
}

/// A row of the list of metrics.
#[derive(Debug, Clone, Copy)]
pub struct MetricEntry {
    /// The metric.
    pub metric: MetricName,
    /// The name under which it is reported.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// What it counts or measures, with its unit.
    pub meaning: &'static str,
}

/// Defines the enumeration of metrics and their list together, so that both are complete.
macro_rules! metrics {
    ($($metric:ident, $name:literal, $kind:ident, $meaning:literal;)*) => {
        /// A metric.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum MetricName {
            $(#[doc = $meaning] $metric,)*
        }

        /// All metrics, in the order of the enumeration.
        pub const METRIC_LIST: &[MetricEntry] = &[
            $(MetricEntry {
                metric: MetricName::$metric,
                name: $name,
                kind: MetricKind::$kind,
                meaning: $meaning,
            },)*
        ];
    };
}

metrics! {
    EntryReceived, "entry.received", Counter, "Requests that callers sent.";
    EntryForwardedIn, "entry.forwarded_in", Counter, "Requests that other daemons passed on.";
    EntryForwardedOut, "entry.forwarded_out", Counter, "Requests passed on to other daemons.";
    EntryRan, "entry.ran", Counter, "Answers whose outcome is `ran`.";
    EntryNotRun, "entry.not_run", Counter, "Answers whose outcome is `not-run`.";
    EntryUnknown, "entry.unknown", Counter, "Answers whose outcome is `unknown`.";
    EntryAttempts, "entry.attempts", Counter, "Attempts at endpoints.";
    EntryReplayed, "entry.replayed", Counter, "Kept answers given again to the same key.";
    EntryPoolsReplaced, "entry.pools_replaced", Counter, "Pools of connections replaced after a stall.";
    EntryHungUp, "entry.hung_up", Counter, "Requests that callers gave up before dispatch.";
    EntryRefused, "entry.refused", Counter, "Connections and requests of callers that were closed since the process had no room for them: too many, too much memory, or shed for others.";
    EntryTooSlow, "entry.too_slow", Counter, "Connections of callers that were closed since they made no progress.";
    EntryHeldBytes, "entry.held_bytes", Gauge, "The memory that callers' requests which are not answered yet hold, in bytes.";
    EntryConnections, "entry.connections", Gauge, "Open connections of callers.";
    EntryActive, "entry.active", Gauge, "Requests that wait or are in flight.";
    LogAppends, "log.appends", Counter, "Entries appended to the log.";
    LogAppendBytes, "log.append_bytes", Counter, "Bytes of those entries.";
    LogSilent, "log.silent_ms", Gauge, "Time since the last call of the log that succeeded, in milliseconds.";
    ConfigApplied, "config.applied", Gauge, "The offset up to which the configuration is applied.";
    ConfigLowestApplied, "config.lowest_applied", Gauge, "The lowest such offset of all live daemons.";
    PeersLive, "peers.live", Gauge, "Other daemons that answer.";
    PeersSuspected, "peers.suspected", Gauge, "Other daemons that do not.";
    PeersBytes, "peers.bytes", Counter, "Bytes of calls to other daemons and of their answers.";
    ShardsOwned, "shards.owned", Gauge, "Shards that this daemon owns.";
    ShardsOwnerless, "shards.ownerless", Gauge, "Shards that no daemon owns.";
    TasksRunning, "tasks.running", Gauge, "Tasks that run, of the shards that this daemon owns.";
    TasksWaiting, "tasks.waiting", Gauge, "Tasks that wait for a worker, of the same shards.";
    TasksUnknown, "tasks.unknown", Gauge, "Tasks that wait for an operator's decision, of the same shards.";
    TasksInfeasible, "tasks.infeasible", Gauge, "Tasks that fit no worker, of the same shards.";
    ServicesShort, "services.short", Gauge, "Services with fewer ready endpoints than replicas asked for.";
}

impl MetricName {
    /// Returns the row of the list.
    pub fn entry(self) -> &'static MetricEntry {
        // One macro generates the list and the enumeration, in the same order.
        &METRIC_LIST[self as usize]
    }
}

/// The values of metrics at one point in time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MetricSet {
    values: BTreeMap<MetricName, f64>,
}

impl MetricSet {
    /// Sets a value.
    pub fn set(&mut self, metric: MetricName, value: f64) {
        self.values.insert(metric, value);
    }

    /// Sets an integer value.
    pub fn count(&mut self, metric: MetricName, value: u64) {
        self.set(metric, value as f64);
    }

    /// Returns all values, in the order of the list.
    pub fn values(&self) -> impl Iterator<Item = (MetricName, f64)> {
        self.values.iter().map(|(metric, value)| (*metric, *value))
    }

    /// Converts all values to their wire type.
    pub fn to_wire(&self) -> Vec<MetricValue> {
        self.values()
            .map(|(metric, value)| MetricValue {
                name: SmolStr::new_static(metric.entry().name),
                value,
            })
            .collect()
    }
}
