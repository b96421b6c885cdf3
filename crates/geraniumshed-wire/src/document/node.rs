//! The tree of nodes that a document is parsed to.

use std::fmt::{self, Formatter};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use smol_str::SmolStr;

/// A node of a document, with the line where it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentNode {
    /// The line, counted from 1 within the document's text.
    pub line: u32,
    /// The value of the node.
    pub value: NodeValue,
}

/// The value of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeValue {
    /// No value.
    Null,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Integer(i128),
    /// A number with a fraction.
    Float(f64),
    /// Text.
    Text(SmolStr),
    /// A list.
    List(Vec<DocumentNode>),
    /// Named fields, in the order of the document.
    Section(Vec<(SmolStr, DocumentNode)>),
}

impl NodeValue {
    /// Returns the value as text for an error message.
    pub fn display_text(&self) -> SmolStr {
        match self {
            Self::Null => SmolStr::new_static("(empty)"),
            Self::Bool(flag) => SmolStr::new(flag.to_string()),
            Self::Integer(number) => SmolStr::new(number.to_string()),
            Self::Float(number) => SmolStr::new(number.to_string()),
            Self::Text(text) => text.clone(),
            Self::List(_) => SmolStr::new_static("(a list)"),
            Self::Section(_) => SmolStr::new_static("(a section)"),
        }
    }
}

impl<'de> Deserialize<'de> for DocumentNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<NodeValue>::deserialize(deserializer)?;
        Ok(Self {
            line: u32::try_from(spanned.referenced.line()).unwrap_or(u32::MAX),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = NodeValue;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value, a list or a section")
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_none<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<NodeValue, D::Error> {
        NodeValue::deserialize(deserializer)
    }

    fn visit_bool<E>(self, v: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Bool(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(v.into()))
    }

    fn visit_i128<E>(self, v: i128) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(v))
    }

    fn visit_f64<E>(self, v: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Float(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::Text(SmolStr::new(v)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<NodeValue, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(NodeValue::List(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<NodeValue, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = map.next_key::<String>()? {
            fields.push((SmolStr::new(name), map.next_value()?));
        }
        Ok(NodeValue::Section(fields))
    }
}
