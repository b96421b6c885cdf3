//! How the jobs that many nodes take reach the store.

mod pace;

pub use pace::{AppendPace, AppendRoute};
