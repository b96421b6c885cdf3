//! What the operators' interface needs of the daemon.

use std::sync::Arc;

use geraniumshed_core::state::ConfigState;
use geraniumshed_model::prelude::{
    ProblemError, RecordBody, RecordGeneration, RecordKey, SchemaVersion, TaskId,
};
use geraniumshed_wire::operator::{ClusterStatus, HistoryEntry, MetricValue, TaskDecision};

/// A change of the configuration that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigCommand {
    /// Publish a record.
    Publish {
        /// What identifies the record.
        key: RecordKey,
        /// The schema in which it is written.
        schema: SchemaVersion,
        /// The generation that it replaces, or `None` for the one in force.
        replaces: Option<RecordGeneration>,
        /// What it says.
        body: RecordBody,
    },
    /// Withdraw a record.
    Withdraw {
        /// What identifies the record.
        key: RecordKey,
        /// The generation that is withdrawn, or `None` for the one in force.
        replaces: Option<RecordGeneration>,
    },
}

/// What the operators' interface needs of the daemon.
pub trait OperatorBackend: Clone + Send + Sync + 'static {
    /// Returns the records in force.
    fn config(&self) -> Arc<ConfigState>;

    /// Returns the generation that the next publication of a record has to replace, or zero.
    fn generation(&self, key: &RecordKey) -> RecordGeneration {
        self.config().generation(key)
    }

    /// Appends a change and returns the generation in force once its verdict is known.
    ///
    /// # Errors
    ///
    /// Returns a conflict that names both generations if another operator came first, and
    /// `LogUnconfirmed` if nobody can tell whether the change was accepted.
    fn change(
        &self,
        command: ConfigCommand,
    ) -> impl Future<Output = Result<RecordGeneration, ProblemError>> + Send;

    /// Returns all publications of a record that the log still keeps.
    ///
    /// # Errors
    ///
    /// Returns `LogUnavailable` if the log can't be read.
    fn history(
        &self,
        key: &RecordKey,
    ) -> impl Future<Output = Result<Vec<HistoryEntry>, ProblemError>> + Send;

    /// Decides about a task of which nobody can tell whether it ran.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the task is not in that state here.
    fn resolve(
        &self,
        task: TaskId,
        decision: TaskDecision,
    ) -> impl Future<Output = Result<(), ProblemError>> + Send;

    /// Returns the state of the cluster.
    fn status(&self) -> impl Future<Output = ClusterStatus> + Send;

    /// Returns the present values of all metrics.
    fn metrics(&self) -> impl Future<Output = Vec<MetricValue>> + Send;

    /// Changes the level of log lines.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the level can't be understood.
    fn set_log_level(&self, level: &str) -> Result<(), ProblemError>;
}
