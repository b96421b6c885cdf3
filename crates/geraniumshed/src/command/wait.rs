//! Waiting until a configuration change is in force everywhere.

use std::time::{Duration, Instant};

use geraniumshed_model::prelude::TimeSpan;
use tokio::time::sleep;

use crate::client::{ClientError, OperatorClient};
use crate::output::{ExitStatus, ProgressLine};

/// The default timeout of a wait.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Whether and for how long a command waits for its change to be in force.
#[derive(Debug, Clone, Copy)]
pub struct WaitOptions {
    /// Whether the command waits.
    pub wait: bool,
    /// The timeout of the wait, or `None` for the default.
    pub timeout: Option<TimeSpan>,
}

/// Waits, if the options ask for it, until all live daemons have applied the configuration up to
/// an offset.
///
/// # Errors
///
/// Returns an error if the call fails.
pub async fn wait_in_force(
    client: &OperatorClient,
    offset: u64,
    options: WaitOptions,
) -> Result<ExitStatus, ClientError> {
    if !options.wait {
        return Ok(ExitStatus::Done);
    }
    let timeout = options.timeout.map_or(DEFAULT_TIMEOUT, |span| span.0);
    let start = Instant::now();
    let mut line = ProgressLine::open();
    loop {
        let text = match client.status().await {
            Ok(status) => {
                let config = status.config;
                if config.in_force_everywhere && config.lowest_applied >= offset {
                    line.show(&format!(
                        "in force everywhere ({} daemons)",
                        status.peers.len() + 1
                    ));
                    line.close();
                    return Ok(ExitStatus::Done);
                }
                format!("waiting for {}", config.lagging.join(", "))
            }
            Err(error @ ClientError::Unreachable(_)) => format!("waiting: {error}"),
            Err(error) => {
                line.close();
                return Err(error);
            }
        };
        line.show(&text);
        if start.elapsed() >= timeout {
            line.close();
            eprintln!(
                "error: accepted, but not in force everywhere after {} (hint: see `geraniumshed status`)",
                TimeSpan(timeout)
            );
            return Ok(ExitStatus::NotConfirmed);
        }
        sleep(POLL_INTERVAL).await;
    }
}
