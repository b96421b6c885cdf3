//! The form in which nodes send each other changes of the configuration.

use std::time::Duration;

use geraniumshed_core::job::{AdvicePolicy, QueueName, QueuePolicy, ServiceName};
use geraniumshed_core::site::{ConfigUpdate, ConfigVersion, RouteEntry, RouteKey};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::WireDecodeError;

/// The changes from one version of the configuration to a later one, or a whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdateWire {
    /// The version that the changes apply to.
    base: Option<u64>,
    /// The version that results.
    version: u64,
    /// The maximum size of a client's request body, in bytes.
    body_limit: u64,
    /// The hosts and prefixes of removed routes.
    removed: Vec<(SmolStr, SmolStr)>,
    /// The routes that are new or different.
    changed: Vec<RouteWire>,
}

/// A route with its queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RouteWire {
    host: SmolStr,
    prefix: SmolStr,
    queue: SmolStr,
    service: SmolStr,
    priority: u32,
    attempt_limit: u32,
    stretch: f64,
    latency_objective: Duration,
    advice: Option<AdviceWire>,
}

/// The expected duration of a call that asks which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct AdviceWire {
    decision_time: Duration,
    worker_time: Duration,
}

impl From<ConfigUpdate> for ConfigUpdateWire {
    fn from(update: ConfigUpdate) -> Self {
        let removed = update.removed.iter();
        Self {
            base: update.base.map(|base| base.0),
            version: update.version.0,
            body_limit: update.body_limit as u64,
            removed: removed
                .map(|key| (key.host().clone(), key.prefix().clone()))
                .collect(),
            changed: update.changed.into_iter().map(RouteWire::from).collect(),
        }
    }
}

impl TryFrom<ConfigUpdateWire> for ConfigUpdate {
    type Error = WireDecodeError;

    fn try_from(wire: ConfigUpdateWire) -> Result<Self, Self::Error> {
        let body_limit = usize::try_from(wire.body_limit)
            .map_err(|_| WireDecodeError::Invalid("the body limit is too large"))?;
        if wire.base.is_some_and(|base| base >= wire.version) {
            return Err(WireDecodeError::Invalid(
                "the update does not lead to a later version",
            ));
        }
        let removed = wire.removed.into_iter();
        Ok(Self {
            base: wire.base.map(ConfigVersion),
            version: ConfigVersion(wire.version),
            body_limit,
            removed: removed
                .map(|(host, prefix)| RouteKey::new(&host, prefix))
                .collect(),
            changed: wire.changed.into_iter().map(RouteWire::into).collect(),
        })
    }
}

impl From<(RouteKey, RouteEntry)> for RouteWire {
    fn from((key, entry): (RouteKey, RouteEntry)) -> Self {
        let policy = entry.policy;
        Self {
            host: key.host().clone(),
            prefix: key.prefix().clone(),
            queue: entry.queue.0,
            service: policy.service.0,
            priority: policy.priority,
            attempt_limit: policy.attempt_limit,
            stretch: policy.stretch,
            latency_objective: policy.latency_objective,
            advice: policy.advice.map(AdviceWire::from),
        }
    }
}

impl From<RouteWire> for (RouteKey, RouteEntry) {
    fn from(wire: RouteWire) -> Self {
        let key = RouteKey::new(&wire.host, wire.prefix);
        let policy = QueuePolicy {
            service: ServiceName(wire.service),
            priority: wire.priority,
            attempt_limit: wire.attempt_limit,
            stretch: wire.stretch,
            latency_objective: wire.latency_objective,
            advice: wire.advice.map(AdvicePolicy::from),
        };
        let queue = QueueName(wire.queue);
        (key, RouteEntry { queue, policy })
    }
}

impl From<AdvicePolicy> for AdviceWire {
    fn from(policy: AdvicePolicy) -> Self {
        Self {
            decision_time: policy.decision_time,
            worker_time: policy.worker_time,
        }
    }
}

impl From<AdviceWire> for AdvicePolicy {
    fn from(wire: AdviceWire) -> Self {
        Self {
            decision_time: wire.decision_time,
            worker_time: wire.worker_time,
        }
    }
}
