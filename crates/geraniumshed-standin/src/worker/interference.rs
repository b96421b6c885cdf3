//! The slowdown that colocated tasks cause each other.

use geraniumshed_model::prelude::GroupName;

use crate::seed::mix_seed;

/// The maximum slowdown, in thousandths of the time without neighbours.
const SLOWDOWN_LIMIT: u32 = 5000;

/// The slowdown that each group causes each other group.
///
/// It is derived from a seed and never shown to daemons.
#[derive(Debug, Clone, Copy)]
pub struct InterferenceMatrix {
    seed: u64,
    enabled: bool,
}

impl InterferenceMatrix {
    /// Creates a matrix whose entries are derived from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            enabled: true,
        }
    }

    /// Creates a matrix without any slowdown.
    pub fn disabled() -> Self {
        Self {
            seed: 0,
            enabled: false,
        }
    }

    /// Returns the time that one neighbour at full load adds to a task, in thousandths of the
    /// task's time alone.
    ///
    /// About half of all pairs do not interfere, 30% add less than 10% and 20% add 20% to 70%.
    pub fn added_slowdown(&self, task: &GroupName, neighbour: &GroupName) -> u32 {
        if !self.enabled {
            return 0;
        }
        let hash = mix_seed(
            self.seed,
            &["interference", task.as_str(), neighbour.as_str()],
        );
        let draw = u32::try_from((hash >> 8) % 1000).unwrap_or(0);
        match hash % 10 {
            0..5 => 0,
            5..8 => draw / 10,
            _ => 200 + draw / 2,
        }
    }

    /// Returns the time that a task takes beside its neighbours, in thousandths of its time alone.
    ///
    /// Each neighbour comes with its load, from 0 to 1.
    pub fn slowdown<'a>(
        &self,
        task: &GroupName,
        neighbours: impl Iterator<Item = (&'a GroupName, f64)>,
    ) -> u32 {
        let added_slowdown: f64 = neighbours
            .map(|(neighbour, load)| f64::from(self.added_slowdown(task, neighbour)) * load)
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum is bounded and not negative"
        )]
        let added_slowdown = added_slowdown.min(f64::from(SLOWDOWN_LIMIT)) as u32;
        (1000 + added_slowdown).min(SLOWDOWN_LIMIT)
    }
}
