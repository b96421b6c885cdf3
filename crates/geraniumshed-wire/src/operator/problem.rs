//! Errors as problem documents (RFC 9457).

use geraniumshed_model::prelude::{ErrorKind, ProblemError, RetryAdvice};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::document::{FieldProblem, ProblemList};

/// The prefix of all problem types, which is followed by the slug of the error kind.
pub const PROBLEM_TYPE_BASE: &str = "urn:geraniumshed:problem:";

/// An error as a problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDocument {
    /// The type of the problem.
    #[serde(rename = "type")]
    pub problem_type: SmolStr,
    /// The title, which is the same for all problems of one type.
    pub title: SmolStr,
    /// The HTTP status.
    pub status: u16,
    /// A description of the problem, in one sentence.
    pub detail: SmolStr,
    /// How to resolve the problem; may be empty.
    pub hint: SmolStr,
    /// Whether the request ran: `ran`, `not-run` or `unknown`.
    pub outcome: SmolStr,
    /// Whether and how to retry the request: `never`, `later`, `same-key` or `ask`.
    pub retry: SmolStr,
    /// The problems of a record's fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<FieldProblem>,
}

impl ProblemDocument {
    /// Returns the slug of the error kind.
    pub fn slug(&self) -> &str {
        self.problem_type
            .strip_prefix(PROBLEM_TYPE_BASE)
            .unwrap_or(&self.problem_type)
    }

    /// Sets the problems of a record's fields.
    #[must_use]
    pub fn with_problems(mut self, list: ProblemList) -> Self {
        self.problems = list.problems;
        self
    }
}

impl From<&ProblemError> for ProblemDocument {
    fn from(error: &ProblemError) -> Self {
        let answer = error.kind.answer();
        Self {
            problem_type: format_smolstr!("{PROBLEM_TYPE_BASE}{}", answer.slug),
            title: SmolStr::new_static(answer.title),
            status: answer.status,
            detail: error.detail.clone(),
            hint: error.hint.clone(),
            outcome: answer.outcome.to_smolstr(),
            retry: SmolStr::new_static(match answer.retry {
                RetryAdvice::Never => "never",
                RetryAdvice::Later => "later",
                RetryAdvice::SameKey => "same-key",
                RetryAdvice::Ask => "ask",
            }),
            problems: Vec::new(),
        }
    }
}

impl From<ProblemList> for ProblemDocument {
    fn from(list: ProblemList) -> Self {
        let error = ProblemError::new(
            ErrorKind::InvalidRecord,
            format_smolstr!("{} fields are invalid", list.problems.len()),
            "fix the fields listed in `problems`",
        );
        Self::from(&error).with_problems(list)
    }
}
