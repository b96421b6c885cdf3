//! What several tests share.

use std::time::Duration;

use tokio::time::{sleep, timeout};

/// The time after which something that has to happen soon counts as failed.
const PATIENCE: Duration = Duration::from_secs(30);

/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(5);

/// Waits until a look finds something.
///
/// # Panics
///
/// Panics if nothing is found for a long time.
pub async fn eventually<T>(mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let search = async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            sleep(PAUSE).await;
        }
    };
    timeout(PATIENCE, search).await.expect("it never happened")
}
