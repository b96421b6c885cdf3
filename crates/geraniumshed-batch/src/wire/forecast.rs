//! The serialized form of forecasts of waits, which the leader sends to other nodes.

use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::assignment::{MAX_FORECAST_QUEUES, QueueWait, WaitForecast};
use geraniumshed_core::job::QueueName;
use geraniumshed_model::prelude::{TimePoint, whole_millis};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A question for a forecast of waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForecastQueryWire {
    /// The number of the newest forecast of the callee that the caller knows, or 0.
    pub known: u64,
}

/// The answer to a question for a forecast of waits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForecastReplyWire {
    /// Whether the callee leads. If not, the other fields tell nothing.
    pub is_leading: bool,
    /// The number of the newest forecast, or 0 if there is none yet.
    pub number: u64,
    /// The time from the arrival of the question to the answer, in milliseconds.
    pub held_ms: u64,
    /// The age of the forecast when it was answered, in milliseconds.
    pub age_ms: u64,
    /// A [`ForecastWire`] as a record; empty if the caller knows the newest one.
    pub forecast: Bytes,
}

impl ForecastReplyWire {
    /// Returns a time at or before that at which the forecast was made, given when the question was
    /// sent. It doesn't depend on how long the answer took to arrive.
    pub fn made_at(&self, asked_at: TimePoint) -> TimePoint {
        let answered_at = asked_at + Duration::from_millis(self.held_ms);
        TimePoint::default()
            + answered_at.since(TimePoint::default() + Duration::from_millis(self.age_ms))
    }
}

/// A forecast of waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForecastWire {
    queues: Vec<QueueWaitWire>,
}

/// The name of a queue, with the waits of a job that can be in time and of a late one, in
/// milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct QueueWaitWire(SmolStr, u32, u32);

impl From<&WaitForecast> for ForecastWire {
    fn from(forecast: &WaitForecast) -> Self {
        let queues = forecast.queues.iter().take(MAX_FORECAST_QUEUES);
        let queues = queues.map(|one| {
            let name = one.queue.0.clone();
            QueueWaitWire(name, short_millis(one.in_time), short_millis(one.late))
        });
        Self {
            queues: queues.collect(),
        }
    }
}

impl From<ForecastWire> for WaitForecast {
    fn from(wire: ForecastWire) -> Self {
        let queues = wire.queues.into_iter().take(MAX_FORECAST_QUEUES);
        let queues = queues.map(|QueueWaitWire(name, in_time, late)| QueueWait {
            queue: QueueName(name),
            in_time: Duration::from_millis(in_time.into()),
            late: Duration::from_millis(late.into()),
        });
        Self {
            queues: queues.collect(),
        }
    }
}

fn short_millis(span: Duration) -> u32 {
    u32::try_from(whole_millis(span)).unwrap_or(u32::MAX)
}
