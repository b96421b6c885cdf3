//! The longest chain of a job's steps.

use std::time::Duration;

use super::request::StepRequest;

/// Returns the time that the longest chain of dependent steps takes by the client's estimates.
pub fn longest_chain(steps: &[StepRequest]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = predecessors(step, ends.len())
            .map(|index| ends[index])
            .max()
            .unwrap_or_default();
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the steps that come before a step, without those that come at its place or later.
fn predecessors(step: &StepRequest, place: usize) -> impl Iterator<Item = usize> {
    step.after
        .iter()
        .filter_map(|index| usize::try_from(*index).ok())
        .filter(move |index| *index < place)
}
