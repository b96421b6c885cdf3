//! Tokio tasks that are aborted with their handle.

use tokio::task::JoinHandle;

/// A running Tokio task that is aborted when the guard is dropped.
#[derive(Debug)]
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Spawns a Tokio task and returns its guard.
    pub fn spawn(task: impl Future<Output = ()> + Send + 'static) -> Self {
        Self(tokio::spawn(task))
    }

    /// Returns whether the task has ended.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
