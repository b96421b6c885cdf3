//! Publishes operators' records and waits for their verdicts.

use std::time::Duration;

use geraniumshed_core::state::PublishVerdict;
use geraniumshed_model::prelude::{
    ConfigEvent, ErrorKind, ProblemError, RecordBody, RecordGeneration, RecordKey, SchemaVersion,
    ShardTerm,
};
use smol_str::format_smolstr;
use tokio::time::timeout;

use super::verdict_table::VerdictTable;
use crate::log::{AppendError, EventPosition, StreamWriter};
use crate::view::ConfigView;

/// The maximum time between the confirmation of an entry and its application in this daemon.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);

/// A handle that publishes operators' records.
#[derive(Debug, Clone)]
pub struct ConfigPublisher {
    writer: StreamWriter<ConfigEvent>,
    view: ConfigView,
    verdicts: VerdictTable,
}

impl ConfigPublisher {
    pub(super) fn new(
        writer: StreamWriter<ConfigEvent>,
        view: ConfigView,
        verdicts: VerdictTable,
    ) -> Self {
        Self {
            writer,
            view,
            verdicts,
        }
    }

    /// Publishes a record and returns its generation once it is in force in this daemon.
    ///
    /// # Errors
    ///
    /// Returns a conflict with both generations if another operator's change was applied first, and
    /// `LogUnconfirmed` if the record may or may not be in force.
    pub async fn publish(
        &self,
        key: RecordKey,
        schema: SchemaVersion,
        replaces: RecordGeneration,
        body: RecordBody,
    ) -> Result<RecordGeneration, ProblemError> {
        let event = ConfigEvent::Publish {
            key: key.clone(),
            schema,
            replaces,
            body,
        };
        let verdict = self.submit(event).await?;
        verdict_result(&key, schema, &verdict)
    }

    /// Withdraws a record and returns the generation of the withdrawal.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::publish`].
    pub async fn withdraw(
        &self,
        key: RecordKey,
        replaces: RecordGeneration,
    ) -> Result<RecordGeneration, ProblemError> {
        if replaces == RecordGeneration::default() {
            return Err(not_in_force(&key));
        }
        let event = ConfigEvent::Withdraw {
            key: key.clone(),
            replaces,
        };
        let verdict = self.submit(event).await?;
        verdict_result(&key, SchemaVersion::V2, &verdict)
    }

    /// Appends events that have no verdict, such as progress reports and snapshots.
    ///
    /// # Errors
    ///
    /// Returns an error if the events were not appended, or may not have been.
    pub async fn append(&self, events: Vec<ConfigEvent>) -> Result<(), AppendError> {
        self.writer.append(ShardTerm::default(), events).await?;
        Ok(())
    }

    async fn submit(&self, event: ConfigEvent) -> Result<PublishVerdict, ProblemError> {
        let position = self
            .writer
            .append_at(ShardTerm::default(), vec![event])
            .await
            .map_err(append_problem)?;
        self.verdict(position).await.ok_or_else(unconfirmed)
    }

    /// Waits until this daemon has applied the entry and returns its verdict.
    async fn verdict(&self, position: EventPosition) -> Option<PublishVerdict> {
        let mut view = self.view.clone();
        let applied = view.wait_for(|config| config.applied() > position.offset);
        timeout(VERDICT_TIMEOUT, applied).await.ok()?.ok()?;
        self.verdicts.take(position)
    }
}

fn verdict_result(
    key: &RecordKey,
    schema: SchemaVersion,
    verdict: &PublishVerdict,
) -> Result<RecordGeneration, ProblemError> {
    match verdict {
        PublishVerdict::Accepted(generation) => Ok(*generation),
        PublishVerdict::Held(generation) => Err(ProblemError::new(
            ErrorKind::UnknownSchema,
            format_smolstr!(
                "{key} has the unknown schema {schema}; it is held as generation {generation}"
            ),
            "the previous generation stays in force; publish the record in schema 1 or 2, \
             or run a newer version",
        )),
        PublishVerdict::Conflict { current, replaces } => Err(conflict(key, *current, *replaces)),
        PublishVerdict::NotPublished => Err(unconfirmed()),
    }
}

fn conflict(
    key: &RecordKey,
    current: RecordGeneration,
    replaces: RecordGeneration,
) -> ProblemError {
    ProblemError::new(
        ErrorKind::GenerationConflict,
        format_smolstr!("{key} is at generation {current}, not at {replaces}"),
        "get the record, apply the change to it and publish again",
    )
}

fn not_in_force(key: &RecordKey) -> ProblemError {
    ProblemError::new(
        ErrorKind::NotFound,
        format_smolstr!("{key} is not in force"),
        "list the records of this kind to see their names",
    )
}

fn append_problem(error: AppendError) -> ProblemError {
    match error {
        AppendError::Unavailable => ProblemError::new(
            ErrorKind::LogUnavailable,
            "the log did not accept the record",
            "nothing was published; publish again when the log can be reached",
        ),
        AppendError::Unconfirmed | AppendError::Superseded => unconfirmed(),
    }
}

fn unconfirmed() -> ProblemError {
    ProblemError::new(
        ErrorKind::LogUnconfirmed,
        "the log did not confirm the record in time",
        "get the record to see whether its generation has changed before publishing again",
    )
}
