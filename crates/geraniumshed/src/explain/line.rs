//! Parsing of log lines.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// The fields of a line, by name.
pub type LogFields = BTreeMap<String, Value>;

/// The parts of a log line that a timeline needs.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The timestamp, in a form whose text order is the order of time.
    pub time: String,
    /// The node that wrote the line: the last word before the JSON, or else the file name.
    pub origin: String,
    /// The message.
    pub text: String,
    /// The key-value pairs of the line.
    pub fields: LogFields,
}

/// A log line as nodes write it.
#[derive(Debug, Deserialize)]
struct LineWire {
    timestamp: String,
    text: String,
    #[serde(default)]
    kv: LogFields,
}

impl LogLine {
    /// Parses a line, or returns `None` if it is not a node's log line.
    ///
    /// A log collector may have put words before the JSON; the last of them names the node.
    pub fn parse(line: &str, file: &str) -> Option<Self> {
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

    /// Returns the value of a field if it is a string.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }
}
