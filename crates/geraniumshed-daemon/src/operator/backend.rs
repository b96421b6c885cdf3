//! The interface between the operators' routes and the daemon.

use std::sync::Arc;

use geraniumshed_core::state::ConfigState;
use geraniumshed_model::prelude::{
    ProblemError, RecordBody, RecordGeneration, RecordKey, SchemaVersion, TaskId,
};
use geraniumshed_wire::operator::{ClusterStatus, HistoryEntry, MetricValue, TaskDecision};

/// A change of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigCommand {
    /// Publish a record.
    Publish {
        /// The key of the record.
        key: RecordKey,
        /// The schema in which it is written.
        schema: SchemaVersion,
        /// The generation that it replaces, or `None` for the one in force.
        replaces: Option<RecordGeneration>,
        /// The content of the record.
        body: RecordBody,
    },
    /// Withdraw a record.
    Withdraw {
        /// The key of the record.
        key: RecordKey,
        /// The generation that is withdrawn, or `None` for the one in force.
        replaces: Option<RecordGeneration>,
    },
}

/// The daemon behind the operators' interface.
pub trait OperatorBackend: Clone + Send + Sync + 'static {
    /// Returns the records in force.
    fn config(&self) -> Arc<ConfigState>;

    /// Returns the generation that the next publication of a record has to replace; zero for a new
    /// record.
    fn generation(&self, key: &RecordKey) -> RecordGeneration {
        self.config().generation(key)
    }

    /// Appends a change, waits for its verdict and returns the new generation.
    ///
    /// # Errors
    ///
    /// Returns a conflict with both generations if another operator's change was applied first, and
    /// `LogUnconfirmed` if it is unknown whether the change was accepted.
    fn change(
        &self,
        command: ConfigCommand,
    ) -> impl Future<Output = Result<RecordGeneration, ProblemError>> + Send;

    /// Returns all publications of a record that the log still holds.
    ///
    /// # Errors
    ///
    /// Returns `LogUnavailable` if the log can't be read.
    fn history(
        &self,
        key: &RecordKey,
    ) -> impl Future<Output = Result<Vec<HistoryEntry>, ProblemError>> + Send;

    /// Decides about a task of which it is unknown whether it ran.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if no shard of this daemon has the task in that state.
    fn resolve(
        &self,
        task: TaskId,
        decision: TaskDecision,
    ) -> impl Future<Output = Result<(), ProblemError>> + Send;

    /// Returns the state of the cluster.
    fn status(&self) -> impl Future<Output = ClusterStatus> + Send;

    /// Returns the current values of all metrics.
    fn metrics(&self) -> impl Future<Output = Vec<MetricValue>> + Send;

    /// Sets the level of log lines.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the level can't be parsed.
    fn set_log_level(&self, level: &str) -> Result<(), ProblemError>;
}
