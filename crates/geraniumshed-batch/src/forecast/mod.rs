//! The forecast of waits: how it reaches all nodes from the leader, and where each node keeps it.

mod board;
mod follow;

pub(crate) use board::ForecastBoard;
pub(crate) use follow::{answer_forecast_query, follow_forecasts};
