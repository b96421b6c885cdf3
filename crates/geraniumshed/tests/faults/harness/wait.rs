//! Polling for a condition with a timeout.

use std::time::Duration;

use tokio::time::{sleep, timeout};

/// The time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `check` until it returns a value, and fails the test after `limit`.
pub async fn within<T>(
    limit: Duration,
    what: &str,
    mut check: impl AsyncFnMut() -> Option<T>,
) -> T {
    let found = try_within(limit, &mut check).await;
    found.unwrap_or_else(|| panic!("not within {limit:?}: {what}"))
}

/// Polls `check` until it returns a value, or returns `None` after `limit`.
pub async fn try_within<T>(
    limit: Duration,
    mut check: impl AsyncFnMut() -> Option<T>,
) -> Option<T> {
    let poll = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(limit, poll).await.ok()
}

/// Polls `check` until it returns a value, with the default timeout of 30 s.
pub async fn eventually<T>(what: &str, check: impl AsyncFnMut() -> Option<T>) -> T {
    within(Duration::from_secs(30), what, check).await
}
