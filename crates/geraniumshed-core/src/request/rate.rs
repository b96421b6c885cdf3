//! Limits on the request rates of teams.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{RequestRate, TeamName, TimePoint};

/// The time over which a team can accumulate unused requests for a burst.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// One token bucket for each team that has a rate limit.
#[derive(Debug, Clone, Default)]
pub struct TeamRates {
    buckets: BTreeMap<TeamName, TokenBucket>,
}

/// One team's token bucket in this daemon.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    last_refill: TimePoint,
}

impl TeamRates {
    /// Takes the token for one request of a team.
    ///
    /// The team's rate is divided evenly among the daemons.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be sent again.
    pub fn take(
        &mut self,
        now: TimePoint,
        team: &TeamName,
        rate: RequestRate,
        daemons: usize,
    ) -> Result<(), Duration> {
        let share = f64::from(rate.0) / daemons.max(1) as f64;
        let capacity = (share * BURST_WINDOW.as_secs_f64()).max(1.0);
        if !self.buckets.contains_key(team) {
            let bucket = TokenBucket {
                tokens: capacity,
                last_refill: now,
            };
            self.buckets.insert(team.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        let refill = now.since(bucket.last_refill).as_secs_f64() * share;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.last_refill = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        if share <= 0.0 {
            return Err(Duration::from_mins(1));
        }
        Err(Duration::from_secs_f64((1.0 - bucket.tokens) / share))
    }
}
