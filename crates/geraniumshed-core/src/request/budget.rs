//! A token budget for extra attempts (retries and hedges), as a share of the traffic.

/// The maximum of accumulated tokens; each pays for one attempt.
const TOKEN_LIMIT: f64 = 50.0;

/// The tokens that a budget starts with, unless its share is zero.
const INITIAL_TOKENS: f64 = 5.0;

/// Allows extra attempts up to a share of the received requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptBudget {
    share: f64,
    tokens: f64,
}

impl AttemptBudget {
    /// Creates a budget of a share of the traffic.
    pub fn new(share: f64) -> Self {
        let tokens = if share > 0.0 { INITIAL_TOKENS } else { 0.0 };
        Self { share, tokens }
    }

    /// Adds the tokens that one received request earns.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKEN_LIMIT);
    }

    /// Takes the token for one extra attempt. Returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
