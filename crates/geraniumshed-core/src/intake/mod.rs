//! The path of submitted jobs from the accepting node to the store.

mod pace;

pub use pace::{AppendPace, AppendRoute};
