//! Output and exit codes of commands.

pub mod exit;
pub mod progress;
pub mod table;

pub use self::exit::ExitStatus;
pub use self::progress::ProgressLine;
pub use self::table::{OutputFormat, TextTable, print_json};
