//! Helpers that several tests share.

use std::time::Duration;

use tokio::time::{sleep, timeout};

/// The maximum time until a condition is met.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between checks.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until `check` returns a value, and returns it.
///
/// # Panics
///
/// Panics if the condition is not met within the timeout.
pub async fn eventually<T>(mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let poll = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, poll)
        .await
        .expect("condition was not met in time")
}
