//! The tree of nodes that a document is read into.

use std::fmt::{self, Formatter};

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use smol_str::SmolStr;

/// A node of a document, with the line on which it begins.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentNode {
    /// The line, counted from 1 within the document's text.
    pub line: u32,
    /// What the node holds.
    pub value: NodeValue,
}

/// What a node holds.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeValue {
    /// Nothing.
    Null,
    /// A truth value.
    Flag(bool),
    /// A whole number.
    Whole(i128),
    /// A number with a fraction.
    Decimal(f64),
    /// Text.
    Text(SmolStr),
    /// A list.
    List(Vec<DocumentNode>),
    /// Fields by name, in the order in which they were written.
    Section(Vec<(SmolStr, DocumentNode)>),
}

impl NodeValue {
    /// Returns the value as a reader of an error should see it.
    pub fn shown(&self) -> SmolStr {
        match self {
            Self::Null => SmolStr::new_static("(empty)"),
            Self::Flag(flag) => SmolStr::new(flag.to_string()),
            Self::Whole(number) => SmolStr::new(number.to_string()),
            Self::Decimal(number) => SmolStr::new(number.to_string()),
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
        Ok(NodeValue::Flag(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<NodeValue, E> {
        Ok(NodeValue::Whole(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Whole(v.into()))
    }

    fn visit_i128<E>(self, v: i128) -> Result<NodeValue, E> {
        Ok(NodeValue::Whole(v))
    }

    fn visit_f64<E>(self, v: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Decimal(v))
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
