//! What the command line prints and how it exits.

pub mod exit;
pub mod progress;
pub mod table;

pub use self::exit::ExitStatus;
pub use self::progress::ProgressLine;
pub use self::table::{OutputFormat, TextTable, print_json};
