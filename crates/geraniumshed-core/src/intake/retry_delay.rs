//! After which time a client should try again during an outage of the store.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// The delay without an outage, in seconds.
const CALM_DELAY: u32 = 1;
/// The age of an outage by which the delay grows by a second. An outage that has lasted for some time is
/// expected to last about as long again. Half of that is waited, since jobs are due after a few seconds,
/// and a client that comes too early tries four times in all.
const AGE_FOR_ONE_SECOND: Duration = Duration::from_secs(2);
/// The longest delay before it is spread, in seconds. Jobs have objectives of some seconds.
const MAX_DELAY: u32 = 4;
/// The number of delays over which clients are spread.
const SPREAD: u32 = 2;

/// A delay in whole seconds after which a client should try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryDelay(pub u32);

impl RetryDelay {
    /// Returns the delay at an age of an outage. The random number spreads clients that are refused at the
    /// same time.
    pub fn during_outage(age: Duration, random: u32) -> Self {
        let grown = age.as_secs() / AGE_FOR_ONE_SECOND.as_secs();
        let grown = u32::try_from(grown).unwrap_or(MAX_DELAY);
        let base = CALM_DELAY.saturating_add(grown).min(MAX_DELAY);
        Self(base + random % SPREAD)
    }
}

impl Default for RetryDelay {
    fn default() -> Self {
        Self(CALM_DELAY)
    }
}

impl Display for RetryDelay {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
