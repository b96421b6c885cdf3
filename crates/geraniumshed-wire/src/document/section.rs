//! Reading of the fields of a section.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::{SmolStr, format_smolstr};

use super::field::{FieldRule, suggest};
use super::node::{DocumentNode, NodeValue};
use super::problem::{FieldProblem, ProblemList};

/// The state shared by all readers of a document: the overrides from environment variables, the
/// fields that have been read, and the problems found so far.
#[derive(Debug, Default)]
pub struct ParseContext {
    /// The values of environment variables that override fields, by variable name.
    overrides: BTreeMap<SmolStr, SmolStr>,
    /// The paths of all fields that have been read, whether or not they are set.
    field_paths: BTreeSet<SmolStr>,
    /// The problems found so far.
    pub problems: ProblemList,
}

impl ParseContext {
    /// Creates a context in which environment variables override fields of the document.
    ///
    /// The variable of a field is named by [`override_name`].
    pub fn with_overrides(overrides: BTreeMap<SmolStr, SmolStr>) -> Self {
        Self {
            overrides,
            ..Self::default()
        }
    }

    /// Returns the paths of all fields that have been read, whether or not they are set.
    pub fn field_paths(&self) -> &BTreeSet<SmolStr> {
        &self.field_paths
    }

    /// Reports the environment variables that match none of the fields that have been read.
    pub fn report_unknown_overrides(&mut self) {
        let known: BTreeSet<_> = self
            .field_paths
            .iter()
            .map(|path| override_name(path))
            .collect();
        for (name, value) in &self.overrides {
            if known.contains(name) {
                continue;
            }
            self.problems.push(FieldProblem {
                line: 0,
                path: name.clone(),
                value: value.clone(),
                problem: SmolStr::new_static("is set by a variable that matches no field"),
                allowed: SmolStr::default(),
                hint: suggest(name, known.iter().map(SmolStr::as_str)),
            });
        }
    }

    /// Returns the override of a field, if there is one.
    fn override_value(&self, path: &str) -> Option<&SmolStr> {
        if self.overrides.is_empty() {
            return None;
        }
        self.overrides.get(&override_name(path))
    }
}

/// The prefix of the environment variables that override fields.
pub const OVERRIDE_PREFIX: &str = "GERANIUMSHED_";

/// Returns the name of the environment variable that overrides a field, such as
/// `GERANIUMSHED_DAEMON_ZONE` for `daemon.zone`.
pub fn override_name(path: &str) -> SmolStr {
    let letters = path.chars().map(|letter| match letter {
        '.' => '_',
        other => other.to_ascii_uppercase(),
    });
    OVERRIDE_PREFIX.chars().chain(letters).collect()
}

/// A reader of the fields of a section.
#[derive(Debug)]
pub struct SectionReader<'a> {
    path: SmolStr,
    line: u32,
    fields: &'a [(SmolStr, DocumentNode)],
    /// The names of the fields that have been read.
    known: Vec<SmolStr>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of the section in a node. A null node is an empty section.
    pub fn open(path: &str, node: &'a DocumentNode, context: &mut ParseContext) -> Self {
        let fields = match &node.value {
            NodeValue::Section(fields) => fields.as_slice(),
            NodeValue::Null => &[],
            other => {
                context.problems.push(FieldProblem {
                    line: node.line,
                    path: path.into(),
                    value: other.display_text(),
                    problem: SmolStr::new_static("is not a section"),
                    allowed: SmolStr::new_static("fields, each on a line of its own"),
                    hint: SmolStr::new_static("indent the fields below the name of the section"),
                });
                &[]
            }
        };
        Self {
            path: path.into(),
            line: node.line,
            fields,
            known: Vec::new(),
        }
    }

    /// Returns the line where the section starts.
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Returns the path of a field of this section.
    pub fn path(&self, name: &str) -> SmolStr {
        if self.path.is_empty() {
            SmolStr::new(name)
        } else {
            format_smolstr!("{}.{name}", self.path)
        }
    }

    /// Returns the node of a field, if it is set, and marks the field as read.
    pub fn node(&mut self, name: &str) -> Option<&'a DocumentNode> {
        self.known.push(name.into());
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, node)| node)
    }

    /// Creates a reader of a subsection. A missing subsection is empty.
    #[must_use]
    pub fn section(&mut self, name: &str, context: &mut ParseContext) -> SectionReader<'a> {
        let path = self.path(name);
        let line = self.line;
        match self.node(name) {
            Some(node) => SectionReader::open(&path, node, context),
            None => SectionReader {
                path,
                line,
                fields: &[],
                known: Vec::new(),
            },
        }
    }

    /// Reads a required field, and reports a problem if it is missing.
    pub fn required<R: FieldRule>(
        &mut self,
        name: &str,
        rule: &R,
        context: &mut ParseContext,
    ) -> Option<R::Value> {
        let found = self.optional(name, rule, context)?;
        if found.is_none() {
            context.problems.push(FieldProblem {
                line: self.line,
                path: self.path(name),
                value: SmolStr::default(),
                problem: SmolStr::new_static("is missing"),
                allowed: rule.allowed(),
                hint: format_smolstr!("add `{name}:` to this section"),
            });
        }
        found
    }

    /// Reads a field with a default value.
    pub fn defaulted<R: FieldRule>(
        &mut self,
        name: &str,
        rule: &R,
        default: R::Value,
        context: &mut ParseContext,
    ) -> Option<R::Value> {
        self.optional(name, rule, context)
            .map(|found| found.unwrap_or(default))
    }

    /// Reads an optional field. The outer `None` means that the value is invalid.
    pub fn optional<R: FieldRule>(
        &mut self,
        name: &str,
        rule: &R,
        context: &mut ParseContext,
    ) -> Option<Option<R::Value>> {
        let path = self.path(name);
        context.field_paths.insert(path.clone());
        let node = self.node(name);
        let override_node = context.override_value(&path).map(|text| scalar_node(text));
        let Some(node) = override_node.as_ref().or(node) else {
            return Some(None);
        };
        if node.value == NodeValue::Null {
            return Some(None);
        }
        read_node(&path, node, rule, context).map(Some)
    }

    /// Reads a list of values. A missing list is empty.
    pub fn list<R: FieldRule>(
        &mut self,
        name: &str,
        rule: &R,
        context: &mut ParseContext,
    ) -> Option<Vec<R::Value>> {
        let path = self.path(name);
        context.field_paths.insert(path.clone());
        let node = self.node(name);
        let override_node = context.override_value(&path).map(|text| list_node(text));
        let Some(node) = override_node.as_ref().or(node) else {
            return Some(Vec::new());
        };
        let NodeValue::List(nodes) = &node.value else {
            context.problems.push(FieldProblem {
                line: node.line,
                path,
                value: node.value.display_text(),
                problem: SmolStr::new_static("is not a list"),
                allowed: format_smolstr!("a list of {}", rule.allowed()),
                hint: SmolStr::new_static("write `[a, b]`, or one `- a` per line"),
            });
            return None;
        };
        let mut values = Vec::new();
        for (index, node) in nodes.iter().enumerate() {
            let path = format_smolstr!("{path}[{index}]");
            values.push(read_node(&path, node, rule, context));
        }
        values.into_iter().collect()
    }

    /// Reports a problem of a field that depends on other fields.
    pub fn report(&self, name: &str, problem: &str, hint: &str, context: &mut ParseContext) {
        let field = self.fields.iter().find(|(field, _)| field == name);
        context.problems.push(FieldProblem {
            line: field.map_or(self.line, |(_, node)| node.line),
            path: self.path(name),
            value: field.map_or(SmolStr::default(), |(_, node)| node.value.display_text()),
            problem: problem.into(),
            allowed: SmolStr::default(),
            hint: hint.into(),
        });
    }

    /// Reports the fields that have not been read as unknown.
    pub fn close(self, context: &mut ParseContext) {
        for (name, node) in self.fields {
            if self.known.contains(name) {
                continue;
            }
            let known = self.known.iter().map(SmolStr::as_str);
            let names: Vec<_> = known.clone().collect();
            context.problems.push(FieldProblem {
                line: node.line,
                path: self.path(name),
                value: SmolStr::default(),
                problem: SmolStr::new_static("is not a field of this section"),
                allowed: if names.is_empty() {
                    SmolStr::new_static("no fields")
                } else {
                    SmolStr::new(names.join(", "))
                },
                hint: suggest(name, known),
            });
        }
    }
}

/// Converts the value of a node by a rule, and reports a problem if it is invalid.
fn read_node<R: FieldRule>(
    path: &SmolStr,
    node: &DocumentNode,
    rule: &R,
    context: &mut ParseContext,
) -> Option<R::Value> {
    match rule.read(&node.value) {
        Ok(value) => Some(value),
        Err(violation) => {
            let problem = match node.line {
                0 => format_smolstr!("{}, as set by {}", violation.problem, override_name(path)),
                _ => violation.problem,
            };
            context.problems.push(FieldProblem {
                line: node.line,
                path: path.clone(),
                value: node.value.display_text(),
                problem,
                allowed: rule.allowed(),
                hint: violation.hint,
            });
            None
        }
    }
}

/// Parses an override to a scalar node, with line 0.
fn scalar_node(text: &str) -> DocumentNode {
    let value = match text {
        "true" => NodeValue::Bool(true),
        "false" => NodeValue::Bool(false),
        other => other
            .parse()
            .map_or_else(|_| NodeValue::Text(SmolStr::new(other)), NodeValue::Integer),
    };
    DocumentNode { line: 0, value }
}

/// Parses an override with comma-separated values to a list node, with line 0.
fn list_node(text: &str) -> DocumentNode {
    let parts = text.split(',').map(str::trim);
    let nodes = parts.filter(|part| !part.is_empty()).map(scalar_node);
    DocumentNode {
        line: 0,
        value: NodeValue::List(nodes.collect()),
    }
}
