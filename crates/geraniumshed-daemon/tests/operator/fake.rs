//! A fake daemon for the tests of the operators' interface.

use std::sync::{Arc, Mutex};

use geraniumshed_core::state::{ConfigState, PublishVerdict};
use geraniumshed_daemon::operator::{ConfigCommand, OperatorBackend};
use geraniumshed_model::prelude::{
    ConfigEvent, ErrorKind, ProblemError, RecordGeneration, RecordKey, TaskId,
};
use geraniumshed_wire::operator::{ClusterStatus, HistoryEntry, MetricValue, TaskDecision};

#[derive(Debug, Default)]
pub struct FakeState {
    pub config: ConfigState,
    pub resolved: Vec<(TaskId, TaskDecision)>,
    pub level: String,
}

/// A backend that applies changes at once, without a log.
#[derive(Debug, Clone, Default)]
pub struct FakeDaemon(pub Arc<Mutex<FakeState>>);

impl OperatorBackend for FakeDaemon {
    fn config(&self) -> Arc<ConfigState> {
        Arc::new(self.0.lock().unwrap().config.clone())
    }

    async fn change(&self, command: ConfigCommand) -> Result<RecordGeneration, ProblemError> {
        let (key, event) = match command {
            ConfigCommand::Publish {
                key,
                schema,
                replaces,
                body,
            } => {
                let replaces = replaces.unwrap_or(self.generation(&key));
                (
                    key.clone(),
                    ConfigEvent::Publish {
                        key,
                        schema,
                        replaces,
                        body,
                    },
                )
            }
            ConfigCommand::Withdraw { key, replaces } => {
                let replaces = replaces.unwrap_or(self.generation(&key));
                (key.clone(), ConfigEvent::Withdraw { key, replaces })
            }
        };
        let mut state = self.0.lock().unwrap();
        let offset = state.config.applied();
        match state.config.apply(offset, &event) {
            PublishVerdict::Accepted(generation) => Ok(generation),
            PublishVerdict::Conflict { current, replaces } => Err(ProblemError::new(
                ErrorKind::GenerationConflict,
                format!("`{key}` is at generation {current}, not {replaces}"),
                "get the record, change it and publish again",
            )),
            other => panic!("unexpected verdict {other:?}"),
        }
    }

    async fn history(&self, _key: &RecordKey) -> Result<Vec<HistoryEntry>, ProblemError> {
        Err(ProblemError::new(
            ErrorKind::LogUnavailable,
            "the log is down",
            "wait",
        ))
    }

    async fn resolve(&self, task: TaskId, decision: TaskDecision) -> Result<(), ProblemError> {
        self.0.lock().unwrap().resolved.push((task, decision));
        Ok(())
    }

    async fn status(&self) -> ClusterStatus {
        ClusterStatus::default()
    }

    async fn metrics(&self) -> Vec<MetricValue> {
        vec![MetricValue {
            name: "entry.received".into(),
            value: 3.0,
        }]
    }

    fn set_log_level(&self, level: &str) -> Result<(), ProblemError> {
        level.clone_into(&mut self.0.lock().unwrap().level);
        Ok(())
    }
}
