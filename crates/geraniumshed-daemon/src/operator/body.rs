//! Reads request bodies within size and time limits.

use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::{Stream, StreamExt};
use geraniumshed_gate::BodyBlocks;
use geraniumshed_model::prelude::{ErrorKind, ProblemError};
use smol_str::format_smolstr;
use tokio::time::timeout;

/// Reads a complete body.
///
/// # Errors
///
/// Returns `BodyTooLarge` or `SlowCaller` if a limit is exceeded, and `Malformed` if the body ends
/// early.
pub async fn read_body<B: Buf>(
    stream: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
    time_limit: Duration,
) -> Result<Bytes, ProblemError> {
    let read = timeout(time_limit, collect_body(stream, limit)).await;
    read.unwrap_or_else(|_| {
        Err(ProblemError::new(
            ErrorKind::SlowCaller,
            format_smolstr!(
                "the body did not arrive within {} ms",
                time_limit.as_millis()
            ),
            "check the network between you and the daemon",
        ))
    })
}

async fn collect_body<B: Buf>(
    stream: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, ProblemError> {
    let mut stream = std::pin::pin!(stream);
    let mut body = BodyBlocks::default();
    while let Some(part) = stream.next().await {
        let mut part = part.map_err(|error| {
            ProblemError::new(
                ErrorKind::Malformed,
                format_smolstr!("the body ended early: {error}"),
                "send the request again",
            )
        })?;
        let size = u64::try_from(body.len() + part.remaining()).unwrap_or(u64::MAX);
        if size > limit {
            return Err(ProblemError::new(
                ErrorKind::BodyTooLarge,
                format_smolstr!("the body has more than {limit} bytes"),
                "publish fewer records at a time",
            ));
        }
        body.extend(&part.copy_to_bytes(part.remaining()));
    }
    Ok(body.join())
}
