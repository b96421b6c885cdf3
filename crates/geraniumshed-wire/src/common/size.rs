//! Sizes and durations on the wire.

use std::time::Duration;

use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, TimeSpan,
};
use serde::{Deserialize, Serialize};

/// A [`ResourceSize`] on the wire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceSizeWire {
    /// The processors, in thousandths of a processor.
    pub processors: u32,
    /// The memory, in bytes.
    pub memory: u64,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl From<ResourceSize> for ResourceSizeWire {
    fn from(size: ResourceSize) -> Self {
        Self {
            processors: size.processors.0,
            memory: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<ResourceSizeWire> for ResourceSize {
    fn from(wire: ResourceSizeWire) -> Self {
        Self {
            processors: ProcessorShare(wire.processors),
            memory: MemorySize(wire.memory),
            accelerators: AcceleratorCount(wire.accelerators),
        }
    }
}

/// Converts a duration to whole microseconds, saturating at `u64::MAX`.
pub fn span_to_micros(span: TimeSpan) -> u64 {
    u64::try_from(span.0.as_micros()).unwrap_or(u64::MAX)
}

/// Converts whole microseconds to a duration.
pub fn span_from_micros(micros: u64) -> TimeSpan {
    TimeSpan(Duration::from_micros(micros))
}
