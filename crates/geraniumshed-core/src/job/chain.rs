//! Chains of dependent steps: the critical path of a job.

use std::time::Duration;

use super::request::StepRequest;

/// Returns, for each step, the time that the longest chain of dependent steps starting with it
/// takes by the client's estimates.
pub fn chains_from(steps: &[StepRequest]) -> Vec<Duration> {
    let mut chains: Vec<Duration> = steps.iter().map(|step| step.estimate).collect();
    for (index, step) in steps.iter().enumerate().rev() {
        let chain = chains[index];
        for before in predecessors(step, index) {
            chains[before] = chains[before].max(steps[before].estimate.saturating_add(chain));
        }
    }
    chains
}

/// Returns the steps that a step depends on, without invalid references to itself or later steps.
fn predecessors(step: &StepRequest, index: usize) -> impl Iterator<Item = usize> {
    step.after
        .iter()
        .filter_map(|before| usize::try_from(*before).ok())
        .filter(move |before| *before < index)
}
