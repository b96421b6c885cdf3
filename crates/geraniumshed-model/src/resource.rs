//! Sizes and rates of workers, tasks and quotas.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use smol_str::SmolStr;

/// The error for text that is not a valid size, rate or duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseSizeError {
    /// The kind of size that was expected.
    pub expected: &'static str,
    /// The text that was found.
    pub found: SmolStr,
    /// What a valid size looks like.
    pub hint: &'static str,
}

impl Display for ParseSizeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a valid {}: {}",
            self.found, self.expected, self.hint
        )
    }
}

impl std::error::Error for ParseSizeError {}

/// Splits text such as `125GB` into a number and a unit.
///
/// Returns `None` if the number is missing or too large.
pub(crate) fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    Some((digits.parse().ok()?, unit))
}

/// A number of processors, in thousandths of a processor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessorShare(pub u32);

impl Display for ProcessorShare {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1000) {
            write!(f, "{}", self.0 / 1000)
        } else {
            write!(f, "{}m", self.0)
        }
    }
}

impl FromStr for ProcessorShare {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseSizeError {
            expected: "share of processors",
            found: text.into(),
            hint: "use whole processors such as `4`, or thousandths such as `250m`",
        };
        let (number, unit) = split_unit(text).ok_or_else(error)?;
        let milli = match unit {
            "" => number.checked_mul(1000).ok_or_else(error)?,
            "m" => number,
            _ => return Err(error()),
        };
        u32::try_from(milli).map(Self).map_err(|_| error())
    }
}

/// An amount of memory, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemorySize(pub u64);

/// The units of memory and their sizes in bytes, largest first.
const MEMORY_UNITS: [(&str, u64); 5] = [
    ("TB", 1_000_000_000_000),
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];

impl Display for MemorySize {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (unit, size) in MEMORY_UNITS {
            if self.0 >= size && self.0.is_multiple_of(size) {
                return write!(f, "{}{unit}", self.0 / size);
            }
        }
        write!(f, "{}B", self.0)
    }
}

impl FromStr for MemorySize {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseSizeError {
            expected: "size of memory",
            found: text.into(),
            hint: "use a whole number and a unit of B, KB, MB, GB or TB, such as `125GB`",
        };
        let (number, unit) = split_unit(text).ok_or_else(error)?;
        let (_, size) = MEMORY_UNITS
            .iter()
            .find(|(name, _)| *name == unit)
            .ok_or_else(error)?;
        number.checked_mul(*size).map(Self).ok_or_else(error)
    }
}

/// Defines newtypes over counts.
macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident, $expected:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseSizeError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseSizeError {
                    expected: $expected,
                    found: text.into(),
                    hint: "use a whole number",
                })
            }
        }
    )*};
}

counts! {
    /// A number of accelerators.
    AcceleratorCount, "number of accelerators";
    /// The number of requests that an endpoint serves concurrently.
    SlotCount, "number of slots";
    /// A request rate, in requests per second.
    RequestRate, "rate of requests";
}

/// The resources that a task needs or that a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ResourceSize {
    /// The processors.
    pub processors: ProcessorShare,
    /// The memory.
    pub memory: MemorySize,
    /// The accelerators.
    pub accelerators: AcceleratorCount,
}

impl ResourceSize {
    /// Returns whether each resource of this size is at most that of the other one.
    pub fn fits(&self, other: &Self) -> bool {
        self.processors <= other.processors
            && self.memory <= other.memory
            && self.accelerators <= other.accelerators
    }

    /// Returns the sum of both sizes per resource, saturating on overflow.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors: ProcessorShare(self.processors.0.saturating_add(other.processors.0)),
            memory: MemorySize(self.memory.0.saturating_add(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_add(other.accelerators.0),
            ),
        }
    }

    /// Returns the difference of both sizes per resource, saturating at zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors: ProcessorShare(self.processors.0.saturating_sub(other.processors.0)),
            memory: MemorySize(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_sub(other.accelerators.0),
            ),
        }
    }

    /// Returns the larger of both sizes per resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            processors: self.processors.max(other.processors),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}
