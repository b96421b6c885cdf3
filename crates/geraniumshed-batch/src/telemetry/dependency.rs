//! Logs outages of the services that a node depends on.

use geraniumshed_model::prelude::whole_millis;
use tokio::time::Instant;

use crate::store::StoreError;

/// Logs when a dependency of the node stops answering, and when it answers again.
#[derive(Debug)]
pub(crate) struct DependencyWatch {
    name: &'static str,
    lost_since: Option<Instant>,
    failures: u32,
}

impl DependencyWatch {
    /// Creates a watch of a dependency that is assumed to be reachable.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_since: None,
            failures: 0,
        }
    }

    /// Records the outcome of a call, and logs if the dependency became unreachable or reachable.
    pub(crate) fn record_call<T>(&mut self, result: &Result<T, StoreError>) {
        match result {
            Err(error @ (StoreError::Refused | StoreError::Unanswered)) => self.failed(error),
            // Any other error is an answer, so the dependency is reachable.
            Ok(_) | Err(_) => self.answered(),
        }
    }

    fn failed(&mut self, error: &StoreError) {
        self.failures += 1;
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            log::warn!(dependency = self.name, error:% = error; "dependency is lost");
        }
    }

    fn answered(&mut self) {
        let Some(lost_since) = self.lost_since.take() else {
            return;
        };
        let lost_ms = whole_millis(lost_since.elapsed());
        let failures = std::mem::take(&mut self.failures);
        log::info!(dependency = self.name, lost_ms, failures; "dependency is back");
    }
}
