//! The chains of a job's steps.

use std::time::Duration;

use super::request::StepRequest;

/// Returns, for each step, the time from its start to the end of the longest chain that it begins,
/// by the client's estimates.
pub fn chains_from(steps: &[StepRequest]) -> Vec<Duration> {
    let mut chains: Vec<Duration> = steps.iter().map(|step| step.estimate).collect();
    for (place, step) in steps.iter().enumerate().rev() {
        let chain = chains[place];
        for before in predecessors(step, place) {
            chains[before] = chains[before].max(steps[before].estimate + chain);
        }
    }
    chains
}

/// Returns the steps that come before a step, without those that come at its place or later.
fn predecessors(step: &StepRequest, place: usize) -> impl Iterator<Item = usize> {
    step.after
        .iter()
        .filter_map(|index| usize::try_from(*index).ok())
        .filter(move |index| *index < place)
}
