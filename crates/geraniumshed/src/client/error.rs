//! Errors of calls to a daemon.

use std::fmt::{self, Display, Formatter};

use geraniumshed_wire::operator::ProblemDocument;
use smol_str::SmolStr;

use crate::output::ExitStatus;

/// An error of a call to a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The client's own settings are wrong.
    Settings(SmolStr),
    /// No daemon can be reached, so the call had no effect.
    Unreachable(SmolStr),
    /// The answer was lost, so it is unknown whether the call took effect.
    AnswerLost(SmolStr),
    /// The daemon answered with a problem document.
    Problem(Box<ProblemDocument>),
    /// The daemon's answer can't be parsed.
    Unexpected(SmolStr),
}

impl ClientError {
    /// Returns the exit status of a command that fails with this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) => ExitStatus::Usage,
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::AnswerLost(_) => ExitStatus::NotConfirmed,
            Self::Unexpected(_) => ExitStatus::Failure,
            Self::Problem(problem) => match problem.slug() {
                "conflict" => ExitStatus::Conflict,
                "invalid-record" | "unknown-schema" | "malformed" => ExitStatus::Invalid,
                "unauthorized" | "forbidden" => ExitStatus::Refused,
                "not-found" => ExitStatus::NotFound,
                _ if problem.outcome == "unknown" => ExitStatus::NotConfirmed,
                _ => ExitStatus::Failure,
            },
        }
    }
}

impl Display for ClientError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(reason) => f.write_str(reason),
            Self::Unreachable(reason) => write!(
                f,
                "no daemon can be reached: {reason} (hint: pass the operator URL of a daemon with --url)"
            ),
            Self::AnswerLost(reason) => write!(
                f,
                "the answer was lost: {reason} (hint: `geraniumshed history KIND/NAME` shows whether the record was accepted)"
            ),
            Self::Unexpected(reason) => {
                write!(f, "the daemon's answer can't be parsed: {reason}")
            }
            Self::Problem(problem) => {
                write!(f, "{}: {}", problem.title, problem.detail)?;
                for field in &problem.problems {
                    write!(f, "\n  {field}")?;
                }
                if !problem.hint.is_empty() {
                    write!(f, " (hint: {})", problem.hint)?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for ClientError {}
