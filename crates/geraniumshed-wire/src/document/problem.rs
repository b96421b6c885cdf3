//! Problems found in a document.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A problem with one field of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldProblem {
    /// The line, counted from 1 within the file, or 0 for a value from an environment variable.
    pub line: u32,
    /// The path of the field, such as `spec.replicas`, the name of an environment variable, or
    /// empty for the whole document.
    pub path: SmolStr,
    /// The value that was found.
    pub value: SmolStr,
    /// The description of the problem, which follows the value in messages.
    pub problem: SmolStr,
    /// The allowed values; may be empty.
    pub allowed: SmolStr,
    /// How to resolve the problem; may be empty.
    pub hint: SmolStr,
}

impl Display for FieldProblem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        if !self.value.is_empty() {
            write!(f, "`{}` ", self.value)?;
        }
        f.write_str(&self.problem)?;
        if !self.allowed.is_empty() {
            write!(f, "; allowed: {}", self.allowed)?;
        }
        if !self.hint.is_empty() {
            write!(f, " (hint: {})", self.hint)?;
        }
        Ok(())
    }
}

/// All problems found in a document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemList {
    /// The problems, in the order of their lines.
    pub problems: Vec<FieldProblem>,
}

impl ProblemList {
    /// Returns whether there are no problems.
    pub fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Adds a problem.
    pub fn push(&mut self, problem: FieldProblem) {
        self.problems.push(problem);
    }

    /// Sorts the problems by line and converts their lines from the document's to the file's.
    pub fn sort_and_offset(&mut self, lines_before: u32) {
        self.problems.sort_by_key(|problem| problem.line);
        for problem in &mut self.problems {
            if problem.line > 0 {
                problem.line += lines_before;
            }
        }
    }
}

impl Display for ProblemList {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            Display::fmt(problem, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for ProblemList {}
