//! Counts of the work that a planner does.

/// The work that a planner has done since it was created.
///
/// Unlike a duration, these counts don't depend on the machine or on what else runs there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlannerWork {
    /// The number of placement passes.
    pub passes: u64,
    /// The number of jobs that were examined for tasks that can start.
    pub examined_jobs: u64,
    /// The number of steps that had tasks to place.
    pub ready_steps: u64,
    /// The number of searches for a worker for a single task.
    pub searches: u64,
    /// The number of workers that searches looked at.
    pub compared_workers: u64,
    /// The number of times that the pressure of a best-effort step on all served images was
    /// computed.
    pub pressure_forecasts: u64,
    /// The number of jobs that forecasts of waits looked at.
    pub forecast_jobs: u64,
    /// The number of placed tasks.
    pub placed_tasks: u64,
}

impl PlannerWork {
    /// Returns the work that was done since an earlier count.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            passes: self.passes.saturating_sub(earlier.passes),
            examined_jobs: self.examined_jobs.saturating_sub(earlier.examined_jobs),
            ready_steps: self.ready_steps.saturating_sub(earlier.ready_steps),
            searches: self.searches.saturating_sub(earlier.searches),
            compared_workers: self
                .compared_workers
                .saturating_sub(earlier.compared_workers),
            pressure_forecasts: self
                .pressure_forecasts
                .saturating_sub(earlier.pressure_forecasts),
            forecast_jobs: self.forecast_jobs.saturating_sub(earlier.forecast_jobs),
            placed_tasks: self.placed_tasks.saturating_sub(earlier.placed_tasks),
        }
    }
}
