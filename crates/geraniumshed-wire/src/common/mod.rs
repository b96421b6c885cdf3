//! Wire types shared by several interfaces.

mod error;
mod size;
mod task;

pub use self::error::WireError;
pub use self::size::{ResourceSizeWire, span_from_micros, span_to_micros};
pub use self::task::{
    EndedAttemptWire, TaskClassWire, TaskIdWire, TaskOutcomeWire, TaskSpecWire, UrgencyClassWire,
};
