//! Documents that people write, in YAML or JSON, read with every problem found at once.
//!
//! A text is split into documents and each is read into a tree of nodes that know their lines.
//! Readers then ask a section for its fields, one after the other; what is wrong is collected, so
//! that one look shows everything that has to be mended.

pub mod field;
pub mod node;
pub mod problem;
pub mod section;
pub mod text;

pub use self::field::{
    BrokenRule, ChoiceField, FieldRule, FlagField, MilliField, ParsedField, RangeField, TextField,
    WholeField,
};
pub use self::node::{DocumentNode, NodeValue};
pub use self::problem::{FieldProblem, ProblemList};
pub use self::section::{OVERRIDE_PREFIX, ReadContext, SectionReader, override_name};
pub use self::text::{DocumentText, parse_document, split_documents};
