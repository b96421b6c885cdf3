//! Requests that read, publish, withdraw or check records.

use std::str;

use geraniumshed_model::prelude::{
    ErrorKind, OperatorRecord, ProblemError, RecordGeneration, RecordKey, RecordKind,
};
use geraniumshed_wire::operator::{
    CheckReply, CheckedRecord, HistoryReply, PublishReply, RecordList,
};
use geraniumshed_wire::record::{RecordDocument, read_records};
use http::StatusCode;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::backend::{ConfigCommand, OperatorBackend};
use super::reply::OperatorReply;

/// Lists the records in force, only of one kind if the query names it.
pub(super) fn list_records(
    backend: &impl OperatorBackend,
    query: &str,
) -> Result<OperatorReply, ProblemError> {
    let kinds = match query_value(query, "kind") {
        Some(kind) => vec![parse_query::<RecordKind>(kind)?],
        None => RecordKind::all().collect(),
    };
    let config = backend.config();
    let records: Vec<RecordDocument> = kinds
        .into_iter()
        .flat_map(|kind| config.records(kind).map(RecordDocument::from))
        .collect();
    Ok(OperatorReply::json(StatusCode::OK, &RecordList { records }))
}

/// Returns one record in force.
pub(super) fn get_record(
    backend: &impl OperatorBackend,
    key: &RecordKey,
) -> Result<OperatorReply, ProblemError> {
    let config = backend.config();
    let record: &OperatorRecord = config.record(key).ok_or_else(|| {
        ProblemError::new(
            ErrorKind::NotFound,
            format_smolstr!("no record `{key}` is in force"),
            "run `geraniumshed list` to see the records in force",
        )
    })?;
    let document = RecordDocument::from(record);
    Ok(OperatorReply::json(StatusCode::OK, &document))
}

/// Returns all publications of a record that the log still holds.
pub(super) async fn get_history(
    backend: &impl OperatorBackend,
    key: &RecordKey,
) -> Result<OperatorReply, ProblemError> {
    let entries = backend.history(key).await?;
    Ok(OperatorReply::json(
        StatusCode::OK,
        &HistoryReply { entries },
    ))
}

/// Publishes the record in the body, which must contain exactly one.
pub(super) async fn publish_record(
    backend: &impl OperatorBackend,
    body: &[u8],
) -> Result<OperatorReply, ProblemError> {
    let drafts = match read_records(body_text(body)?) {
        Ok(drafts) => drafts,
        Err(problems) => return Ok(OperatorReply::from(problems)),
    };
    let count = drafts.len();
    let mut drafts = drafts.into_iter();
    let (Some(draft), None) = (drafts.next(), drafts.next()) else {
        return Err(ProblemError::new(
            ErrorKind::Malformed,
            format_smolstr!("the body contains {count} records instead of one"),
            "publish one record with each request",
        ));
    };
    let command = ConfigCommand::Publish {
        key: draft.key.clone(),
        schema: draft.schema,
        replaces: draft.replaces,
        body: draft.body,
    };
    change_config(backend, &draft.key, command).await
}

/// Withdraws a record.
pub(super) async fn withdraw_record(
    backend: &impl OperatorBackend,
    key: &RecordKey,
    query: &str,
) -> Result<OperatorReply, ProblemError> {
    let replaces = query_value(query, "replaces")
        .map(parse_query::<RecordGeneration>)
        .transpose()?;
    let command = ConfigCommand::Withdraw {
        key: key.clone(),
        replaces,
    };
    change_config(backend, key, command).await
}

async fn change_config(
    backend: &impl OperatorBackend,
    key: &RecordKey,
    command: ConfigCommand,
) -> Result<OperatorReply, ProblemError> {
    let generation = backend.change(command).await?;
    let reply = PublishReply {
        kind: SmolStr::new_static(key.kind.name()),
        name: key.name.to_smolstr(),
        generation: generation.0,
        offset: backend.config().applied().0,
    };
    Ok(OperatorReply::json(StatusCode::OK, &reply))
}

/// Checks all records in the body without publishing them.
pub(super) fn check_records(
    backend: &impl OperatorBackend,
    body: &[u8],
) -> Result<OperatorReply, ProblemError> {
    let drafts = match read_records(body_text(body)?) {
        Ok(drafts) => drafts,
        Err(problems) => return Ok(OperatorReply::from(problems)),
    };
    let records = drafts
        .into_iter()
        .map(|draft| CheckedRecord {
            kind: SmolStr::new_static(draft.key.kind.name()),
            name: draft.key.name.to_smolstr(),
            schema: draft.schema.0,
            current: backend.generation(&draft.key).0,
        })
        .collect();
    Ok(OperatorReply::json(StatusCode::OK, &CheckReply { records }))
}

fn body_text(body: &[u8]) -> Result<&str, ProblemError> {
    str::from_utf8(body).map_err(|error| {
        ProblemError::new(
            ErrorKind::Malformed,
            format_smolstr!("the body is not UTF-8: {error}"),
            "save the file as UTF-8",
        )
    })
}

/// Returns the value of a parameter in a query such as `kind=service&replaces=3`.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(found, _)| *found == name)
        .map(|(_, value)| value)
}

fn parse_query<T: str::FromStr>(value: &str) -> Result<T, ProblemError>
where
    T::Err: std::fmt::Display,
{
    value.parse().map_err(|error: T::Err| {
        ProblemError::new(
            ErrorKind::Malformed,
            error.to_smolstr(),
            "correct the query",
        )
    })
}
