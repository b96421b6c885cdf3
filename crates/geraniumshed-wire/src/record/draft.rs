//! Reading of record files, before the records are published.

use geraniumshed_model::prelude::{
    ConfigEvent, RecordBody, RecordGeneration, RecordKey, RecordKind, RecordName, SchemaVersion,
};
use smol_str::SmolStr;

use super::read::{NAME_RULE, read_spec};
use super::style::UnitStyle;
use crate::document::{
    ChoiceField, DocumentText, IntegerField, ParseContext, ParsedField, ProblemList, SectionReader,
    parse_document, split_documents,
};

/// The kinds of records, by name.
const KIND_WORDS: &[(&str, RecordKind)] = &[
    ("team", RecordKind::Team),
    ("service", RecordKind::Service),
    ("binding", RecordKind::Binding),
    ("job", RecordKind::Job),
    ("drain", RecordKind::Drain),
    ("cancel", RecordKind::Cancel),
    ("stop", RecordKind::Stop),
];

/// A record that has been read from a file and not been published yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordDraft {
    /// The key of the record.
    pub key: RecordKey,
    /// The schema that it is written in.
    pub schema: SchemaVersion,
    /// The generation that it replaces, if the file specifies one.
    pub replaces: Option<RecordGeneration>,
    /// The content of the record.
    pub body: RecordBody,
    /// The text of the record in the file.
    pub text: SmolStr,
    /// The number of lines of the file before the text.
    pub lines_before: u32,
}

impl RecordDraft {
    /// Returns the event that publishes the record as the replacement of a generation.
    pub fn publish(&self, replaces: RecordGeneration) -> ConfigEvent {
        ConfigEvent::Publish {
            key: self.key.clone(),
            schema: self.schema,
            replaces,
            body: self.body.clone(),
        }
    }
}

/// Reads all records in a file.
///
/// # Errors
///
/// Returns all problems of all records.
pub fn read_records(file: &str) -> Result<Vec<RecordDraft>, ProblemList> {
    let mut drafts = Vec::new();
    let mut problems = ProblemList::default();
    for document in split_documents(file) {
        match read_record(&document) {
            Ok(draft) => drafts.push(draft),
            Err(mut found) => problems.problems.append(&mut found.problems),
        }
    }
    if problems.is_empty() {
        Ok(drafts)
    } else {
        Err(problems)
    }
}

/// Reads one record.
///
/// # Errors
///
/// Returns all problems of the record.
pub fn read_record(document: &DocumentText) -> Result<RecordDraft, ProblemList> {
    let mut context = ParseContext::default();
    let draft = read_draft(document, &mut context);
    match draft {
        Some(draft) if context.problems.is_empty() => Ok(draft),
        _ => {
            context.problems.sort_and_offset(document.lines_before);
            Err(context.problems)
        }
    }
}

fn read_draft(document: &DocumentText, context: &mut ParseContext) -> Option<RecordDraft> {
    let node = match parse_document(&document.text) {
        Ok(node) => node,
        Err(problems) => {
            context.problems = problems;
            return None;
        }
    };
    let mut section = SectionReader::open("", &node, context);
    let schema = section.required("schema", &IntegerField(1..=u32::from(u16::MAX)), context);
    let kind = section.required("kind", &ChoiceField(KIND_WORDS), context);
    let name = section.required("name", &ParsedField::<RecordName>::new(NAME_RULE), context);
    let replaces = section.optional("replaces", &IntegerField(0..=u32::MAX), context);
    let schema = SchemaVersion(u16::try_from(schema?).ok()?);
    let Some(style) = UnitStyle::of(schema) else {
        return Some(RecordDraft {
            key: RecordKey {
                kind: kind?,
                name: name?,
            },
            schema,
            replaces: replaces?.map(|number| RecordGeneration(number.into())),
            body: RecordBody::Held(SmolStr::new(&document.text)),
            text: SmolStr::new(&document.text),
            lines_before: document.lines_before,
        });
    };
    let kind = kind?;
    let key = RecordKey {
        kind,
        // Use a placeholder for an invalid name, so that the other problems are found too.
        name: name.clone().or_else(|| "unnamed".parse().ok())?,
    };
    let mut spec = section.section("spec", context);
    let body = read_spec(&key, &mut spec, style, context);
    spec.close(context);
    section.close(context);
    name?;
    Some(RecordDraft {
        key,
        schema,
        replaces: replaces?.map(|number| RecordGeneration(number.into())),
        body: RecordBody::Known(body?),
        text: SmolStr::new(&document.text),
        lines_before: document.lines_before,
    })
}
