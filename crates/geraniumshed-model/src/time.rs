//! Time points and durations. The core reads no clock and gets the time as an argument.

use std::fmt::{self, Display, Formatter};
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

use crate::resource::{ParseSizeError, split_unit};

/// A time on a process's monotonic clock, in microseconds since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A [`Duration`] that is parsed and printed as a number with a unit, such as `250ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(pub Duration);

/// The units of time and their lengths in microseconds, longest first.
const SPAN_UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

impl Display for TimeSpan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let micros = u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX);
        for (unit, length) in SPAN_UNITS {
            if micros >= length && micros.is_multiple_of(length) {
                return write!(f, "{}{unit}", micros / length);
            }
        }
        write!(f, "{micros}us")
    }
}

impl FromStr for TimeSpan {
    type Err = ParseSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseSizeError {
            expected: "span of time",
            found: text.into(),
            hint: "use a whole number and a unit of d, h, m, s, ms or us, such as `250ms`",
        };
        let (number, unit) = split_unit(text).ok_or_else(error)?;
        let (_, length) = SPAN_UNITS
            .iter()
            .find(|(name, _)| *name == unit)
            .ok_or_else(error)?;
        let micros = number.checked_mul(*length).ok_or_else(error)?;
        Ok(Self(Duration::from_micros(micros)))
    }
}
