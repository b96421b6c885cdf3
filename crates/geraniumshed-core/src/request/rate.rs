//! Limits of the requests that teams may send.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{RequestRate, TeamName, TimePoint};

/// The time for which a team may save up its rate.
const BURST: Duration = Duration::from_secs(1);

/// One bucket of tokens for each team that has a rate.
#[derive(Debug, Clone, Default)]
pub struct TeamRates {
    buckets: BTreeMap<TeamName, TokenBucket>,
}

/// The tokens of one team in this daemon.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled: TimePoint,
}

impl TeamRates {
    /// Takes one request of a team out of this daemon's share of the team's rate.
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
        let most = (share * BURST.as_secs_f64()).max(1.0);
        if !self.buckets.contains_key(team) {
            let bucket = TokenBucket {
                tokens: most,
                filled: now,
            };
            self.buckets.insert(team.clone(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        let gained = now.since(bucket.filled).as_secs_f64() * share;
        bucket.tokens = (bucket.tokens + gained).min(most);
        bucket.filled = now;
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
