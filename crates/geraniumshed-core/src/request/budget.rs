//! A budget for extra attempts, as a share of the traffic.

/// The most that a budget saves up, in attempts.
const SAVED_LIMIT: f64 = 50.0;

/// The attempts that a budget starts with.
const FIRST_SAVINGS: f64 = 5.0;

/// Allows extra attempts up to a share of the requests that came.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficBudget {
    share: f64,
    saved: f64,
}

impl TrafficBudget {
    /// Creates a budget of a share of the traffic.
    pub fn new(share: f64) -> Self {
        let saved = if share > 0.0 { FIRST_SAVINGS } else { 0.0 };
        Self { share, saved }
    }

    /// Notes that a request came.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_LIMIT);
    }

    /// Takes one extra attempt out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
