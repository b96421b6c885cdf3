//! The stored form of a queue's policy.

use std::time::Duration;

use geraniumshed_core::job::{AdvicePolicy, QueuePolicy, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The policy of a queue with open jobs, as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicyWire {
    service: SmolStr,
    priority: u32,
    attempt_limit: u32,
    stretch: f64,
    latency_objective: Duration,
    advice: Option<AdvicePolicyWire>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct AdvicePolicyWire {
    decision_time: Duration,
    worker_time: Duration,
}

impl From<QueuePolicy> for QueuePolicyWire {
    fn from(policy: QueuePolicy) -> Self {
        Self {
            service: policy.service.0,
            priority: policy.priority,
            attempt_limit: policy.attempt_limit,
            stretch: policy.stretch,
            latency_objective: policy.latency_objective,
            advice: policy.advice.map(|advice| AdvicePolicyWire {
                decision_time: advice.decision_time,
                worker_time: advice.worker_time,
            }),
        }
    }
}

impl From<QueuePolicyWire> for QueuePolicy {
    fn from(wire: QueuePolicyWire) -> Self {
        Self {
            service: ServiceName(wire.service),
            priority: wire.priority,
            attempt_limit: wire.attempt_limit,
            stretch: wire.stretch,
            latency_objective: wire.latency_objective,
            advice: wire.advice.map(|advice| AdvicePolicy {
                decision_time: advice.decision_time,
                worker_time: advice.worker_time,
            }),
        }
    }
}
