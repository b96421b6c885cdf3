//! The commands, one per file, and what they share.

pub mod arguments;
pub mod bench;
pub mod cancel;
pub mod change;
pub mod check;
pub mod dev;
pub mod drain;
pub mod explain;
pub mod get;
pub mod history;
pub mod list;
pub mod loglevel;
pub mod parse;
pub mod publish;
pub mod resolve;
pub mod run;
pub mod serve;
pub mod session;
pub mod standin;
pub mod status;
pub mod stop;
pub mod wait;
pub mod withdraw;

pub use self::parse::run_command;
