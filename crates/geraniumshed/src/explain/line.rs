//! A line of a log.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// The fields of a line, by name.
pub type LogFields = BTreeMap<String, Value>;

/// A line of a log, as far as timelines need it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The time of day, in a form that sorts by time.
    pub time: String,
    /// Whose line it is: what stands before the JSON, or the name of the file.
    pub origin: String,
    /// What is told.
    pub text: String,
    /// The inputs and the outcome.
    pub fields: LogFields,
}

/// The form in which nodes write their lines.
#[derive(Debug, Deserialize)]
struct LineWire {
    timestamp: String,
    text: String,
    #[serde(default)]
    kv: LogFields,
}

impl LogLine {
    /// Reads a line; nothing is returned for one that no node has written.
    ///
    /// A collector may have put words before the JSON; the last of them tells whose line it is.
    pub fn read(line: &str, file: &str) -> Option<Self> {
        let (head, json) = line.split_at(line.find('{')?);
        let wire: LineWire = serde_json::from_str(json).ok()?;
        let origin = head.split_whitespace().last().unwrap_or(file);
        Some(Self {
            time: wire.timestamp,
            origin: origin.to_owned(),
            text: wire.text,
            fields: wire.kv,
        })
    }

    /// Returns a field's text.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }
}
