//! Errors as problem documents (RFC 9457).

use geraniumshed_model::prelude::{ErrorKind, ProblemError, RetryAdvice};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::document::{FieldProblem, ProblemList};

/// The beginning of all problem types; the slug of the error kind follows.
pub const PROBLEM_TYPE_BASE: &str = "urn:geraniumshed:problem:";

/// An error as a problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDocument {
    /// The type of the problem.
    #[serde(rename = "type")]
    pub problem_type: SmolStr,
    /// The title, which is the same for all problems of the type.
    pub title: SmolStr,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong, in one sentence.
    pub detail: SmolStr,
    /// What the reader can do about it.
    pub hint: SmolStr,
    /// Whether the request ran: `ran`, `not-run` or `unknown`.
    pub outcome: SmolStr,
    /// Whether to send the request again: `never`, `later`, `same-key` or `ask`.
    pub retry: SmolStr,
    /// What is wrong with each field of a record.
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

    /// Adds what is wrong with each field.
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
            format_smolstr!("{} fields are wrong", list.problems.len()),
            "mend what `problems` lists",
        );
        Self::from(&error).with_problems(list)
    }
}
