//! The operators' HTTP interface.
//!
//! Operators are served on a separate listener, so that callers can't reach these routes. The
//! interface accesses the rest of the daemon through [`OperatorBackend`].

pub mod access;
pub mod backend;
pub mod body;
pub mod history;
pub mod listener;
pub mod records;
pub mod reply;
pub mod route;
pub mod serve;
pub mod summary;
pub mod tls;

pub use self::backend::{ConfigCommand, OperatorBackend};
pub use self::history::read_history;
pub use self::listener::{OperatorHandle, OperatorListener};
pub use self::route::{OPERATOR_ROUTES, OperatorRoute, RouteEntry};
pub use self::summary::{summarize_jobs, summarize_services};
pub use self::tls::{TlsError, TlsLoader, TlsReloader};
