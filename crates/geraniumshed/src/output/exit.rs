//! Exit codes.

use std::process::ExitCode;

/// How a command ended; the numbers are part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// All was done.
    Done = 0,
    /// The command failed.
    Failure = 1,
    /// The command line can't be understood.
    Usage = 2,
    /// Another operator published first.
    Conflict = 3,
    /// No daemon can be reached, so nothing was done.
    Unreachable = 4,
    /// Nobody can tell whether it was done, or it is not in force everywhere yet.
    NotConfirmed = 5,
    /// A record or the settings are wrong.
    Invalid = 6,
    /// The secret or certificate is missing or wrong.
    Refused = 7,
    /// No such record is in force.
    NotFound = 8,
}

/// What the exit codes mean, for the help.
pub const EXIT_CODE_HELP: &str = "\
Exit codes:
  0  all was done
  1  the command failed
  2  the command line can't be understood
  3  conflict: another operator published first
  4  no daemon can be reached; nothing was done
  5  not confirmed: nobody can tell whether it was done, or it is not in force everywhere yet
  6  a record or the settings are wrong
  7  the secret or certificate is missing or wrong
  8  no such record is in force";

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
