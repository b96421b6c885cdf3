//! Splitting of a file into documents, and parsing of a document.

use smol_str::SmolStr;

use super::node::{DocumentNode, NodeValue};
use super::problem::{FieldProblem, ProblemList};

/// The text of one document of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentText {
    /// The number of lines of the file before the text.
    pub lines_before: u32,
    /// The text.
    pub text: String,
}

/// Splits a file into its documents, which are separated by `---` lines.
///
/// Documents that contain only comments are left out. As in YAML, a line ends with a line feed, a
/// carriage return, or both.
pub fn split_documents(file: &str) -> Vec<DocumentText> {
    let file = file.replace("\r\n", "\n").replace('\r', "\n");
    let mut documents = vec![DocumentText {
        lines_before: 0,
        text: String::new(),
    }];
    for (index, line) in file.lines().enumerate() {
        if line.trim_end() == "---" {
            documents.push(DocumentText {
                lines_before: u32::try_from(index + 1).unwrap_or(u32::MAX),
                text: String::new(),
            });
        } else if let Some(document) = documents.last_mut() {
            document.text.push_str(line);
            document.text.push('\n');
        }
    }
    documents.retain(|document| document.text.lines().any(has_content));
    documents
}

/// Returns whether a line is neither blank nor a comment.
fn has_content(line: &str) -> bool {
    let line = line.trim();
    !line.is_empty() && !line.starts_with('#')
}

/// Parses a document to a tree of nodes.
///
/// # Errors
///
/// Returns the line where the text is not valid YAML, and the reason.
pub fn parse_document(text: &str) -> Result<DocumentNode, ProblemList> {
    serde_saphyr::from_str::<DocumentNode>(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        let message = error.without_snippet().to_string();
        // Remove the line from the message, since it is relative to the document, not to the file.
        let (problem, _) = message.rsplit_once(" at line ").unwrap_or((&message, ""));
        let mut problems = ProblemList::default();
        problems.push(FieldProblem {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            path: SmolStr::default(),
            value: SmolStr::default(),
            problem: SmolStr::new(problem),
            allowed: SmolStr::default(),
            hint: SmolStr::new_static("check indentation, colons and quotes on this line"),
        });
        problems
    })
}

impl Default for DocumentNode {
    fn default() -> Self {
        Self {
            line: 1,
            value: NodeValue::Section(Vec::new()),
        }
    }
}
