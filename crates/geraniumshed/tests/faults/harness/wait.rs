//! Waiting for what has to happen.

use std::time::Duration;

use tokio::time::{sleep, timeout};

/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// Waits until a look finds something, and fails the test after `limit`.
pub async fn within<T>(limit: Duration, what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let found = found_within(limit, &mut look).await;
    found.unwrap_or_else(|| panic!("not within {limit:?}: {what}"))
}

/// Waits until a look finds something, for `limit` at most.
pub async fn found_within<T>(
    limit: Duration,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Option<T> {
    let search = async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            sleep(PAUSE).await;
        }
    };
    timeout(limit, search).await.ok()
}

/// Waits until a look finds something that has no bound of its own.
pub async fn eventually<T>(what: &str, look: impl AsyncFnMut() -> Option<T>) -> T {
    within(Duration::from_secs(30), what, look).await
}
