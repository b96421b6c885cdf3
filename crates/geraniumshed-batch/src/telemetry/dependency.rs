//! Whether something that a node depends on can be reached.

use geraniumshed_model::prelude::whole_millis;
use tokio::time::Instant;

use crate::store::StoreError;

/// Tells when something that a node depends on is lost, and when it is back.
#[derive(Debug)]
pub(crate) struct DependencyWatch {
    name: &'static str,
    lost_since: Option<Instant>,
    failures: u32,
}

impl DependencyWatch {
    /// Begins to watch a dependency that is taken to be there.
    pub(crate) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_since: None,
            failures: 0,
        }
    }

    /// Takes note of the outcome of a call.
    pub(crate) fn saw<T>(&mut self, result: &Result<T, StoreError>) {
        match result {
            Err(error @ (StoreError::Refused | StoreError::Unanswered)) => self.failed(error),
            // Any other answer shows that it is there.
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
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let lost_ms = whole_millis(since.elapsed());
        let failures = std::mem::take(&mut self.failures);
        log::info!(dependency = self.name, lost_ms, failures; "dependency is back");
    }
}
