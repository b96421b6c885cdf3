//! How colocated tasks slow one another down.

use geraniumshed_model::prelude::ClassName;

use crate::seed::mix_seed;

/// The slowdown beyond which a task does not get, in thousandths.
const SLOWDOWN_LIMIT: u32 = 5000;

/// The slowdown of each group by each other, fixed by a seed and never shown to daemons.
#[derive(Debug, Clone, Copy)]
pub struct InterferenceMatrix {
    seed: u64,
    enabled: bool,
}

impl InterferenceMatrix {
    /// Creates a matrix from a seed.
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

    /// Returns what one neighbour at full load adds to a task's time, in thousandths.
    ///
    /// Half of all pairs get along; a fifth slow each other down a lot.
    pub fn added(&self, task: &ClassName, neighbour: &ClassName) -> u32 {
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

    /// Returns the time of a task beside its neighbours, in thousandths of its time alone.
    ///
    /// Each neighbour comes with its load, from 0 to 1.
    pub fn slowdown<'a>(
        &self,
        task: &ClassName,
        neighbours: impl Iterator<Item = (&'a ClassName, f64)>,
    ) -> u32 {
        let added: f64 = neighbours
            .map(|(neighbour, load)| f64::from(self.added(task, neighbour)) * load)
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum is bounded and not negative"
        )]
        let added = added.min(f64::from(SLOWDOWN_LIMIT)) as u32;
        (1000 + added).min(SLOWDOWN_LIMIT)
    }
}
