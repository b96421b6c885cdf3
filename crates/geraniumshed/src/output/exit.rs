//! Exit codes.

use std::process::ExitCode;

/// The exit status of a command; scripts rely on the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason that no other status names.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another operator published first.
    Conflict = 3,
    /// No daemon can be reached, so the command had no effect.
    Unreachable = 4,
    /// It is unknown whether the change was made, or it is not in force everywhere yet.
    NotConfirmed = 5,
    /// A record or the settings are invalid.
    Invalid = 6,
    /// The secret or certificate is missing or was rejected.
    Refused = 7,
    /// No such record is in force.
    NotFound = 8,
}

/// The meaning of the exit codes, shown in the help.
pub const EXIT_CODE_HELP: &str = "\
Exit codes:
  0  success
  1  the command failed
  2  the command line is invalid
  3  conflict: another operator published first
  4  no daemon can be reached; nothing was changed
  5  not confirmed: the outcome is unknown, or the change is not in force everywhere yet
  6  a record or the settings are invalid
  7  the secret or certificate is missing or was rejected
  8  no such record is in force";

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
