//! Parsing and validation of hand-written YAML and JSON documents, such as settings and records.
//!
//! A file is split into documents, and each document is parsed to a tree of nodes with line
//! numbers. The fields of a section are then read one by one. Problems are collected instead of
//! stopping at the first one, so that all of them are reported at once.

pub mod field;
pub mod node;
pub mod problem;
pub mod section;
pub mod text;

pub use self::field::{
    BoolField, ChoiceField, FieldRule, IntegerField, MilliField, ParsedField, RangeField,
    RuleViolation, TextField,
};
pub use self::node::{DocumentNode, NodeValue};
pub use self::problem::{FieldProblem, ProblemList};
pub use self::section::{OVERRIDE_PREFIX, ParseContext, SectionReader, override_name};
pub use self::text::{DocumentText, parse_document, split_documents};
