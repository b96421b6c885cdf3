//! Keeps the newest configuration in force.

mod follow;
mod state;

pub(crate) use follow::{answer_config_query, follow_config};
pub(crate) use state::ConfigState;
