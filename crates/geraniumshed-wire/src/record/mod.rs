//! Reading and writing of operators' record files, in YAML of either schema.

pub mod draft;
pub mod read;
pub mod style;
pub mod write;

pub use self::draft::{RecordDraft, read_record, read_records};
pub use self::write::RecordDocument;
