//! What the leader reads all the time: new requests and registered workers.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobRequest};
use geraniumshed_model::prelude::LogOffset;
use tokio::time::Instant;

use super::event::{LeaderEvent, LeaderHandle};
use super::load::decode_request;
use crate::site::SiteFeed;
use crate::store::{KeyedRecord, StoreClient, StoreError, read_newest};
use crate::topic::REQUESTS;

/// How long a read waits for a request to be added.
const REQUEST_WAIT: Duration = Duration::from_secs(2);
/// The time between two reads of requests, in which several may gather.
const REQUEST_GAP: Duration = Duration::from_millis(15);
/// The time after which all registered workers are read again.
const LISTING_LIFETIME: Duration = Duration::from_secs(10);
/// How long a read waits for a registration to change.
const CHANGE_WAIT: Duration = Duration::from_secs(1);
/// The time between two reads of changes, in which several may gather.
const CHANGE_GAP: Duration = Duration::from_millis(200);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads new requests from an offset on until the leader ends.
pub(super) async fn feed_requests<S: StoreClient>(
    store: S,
    handle: LeaderHandle,
    mut next: LogOffset,
) {
    while !handle.is_closed() {
        match read_requests(&store, next).await {
            Ok((records, offset)) => {
                next = offset;
                let requests: Vec<(JobId, JobRequest)> = records
                    .iter()
                    .filter(|record| !record.value.is_empty())
                    .filter_map(decode_request)
                    .collect();
                if !requests.is_empty() {
                    handle.send(LeaderEvent::Submitted(requests));
                }
                tokio::time::sleep(REQUEST_GAP).await;
            }
            Err(error) => {
                log::debug!("new requests can't be read: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_requests<S: StoreClient>(
    store: &S,
    next: LogOffset,
) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError> {
    match store.read(REQUESTS, next, REQUEST_WAIT).await {
        Ok(batch) => Ok((batch.records, batch.next)),
        Err(StoreError::Expired(_)) => {
            log::info!(offset:% = next; "requests have expired; reading the newest of all");
            read_newest(store, REQUESTS).await
        }
        Err(error) => Err(error),
    }
}

/// Reads the registered workers until the leader ends.
///
/// All are read at first, and from time to time in case that a change was missed; in between only
/// what has changed.
pub(super) async fn feed_workers<F: SiteFeed>(feed: F, handle: LeaderHandle) {
    while !handle.is_closed() {
        if let Err(error) = follow_workers(&feed, &handle).await {
            log::debug!("the registered workers can't be read: {error}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Reads all registered workers, and follows their changes for a while.
async fn follow_workers<F: SiteFeed>(feed: &F, handle: &LeaderHandle) -> Result<(), StoreError> {
    let (listings, mut next) = feed.workers().await?;
    handle.send(LeaderEvent::Listed(listings));
    let renewed_at = Instant::now() + LISTING_LIFETIME;
    while !handle.is_closed() && Instant::now() < renewed_at {
        let (changes, offset) = feed.worker_changes(next, CHANGE_WAIT).await?;
        next = offset;
        if !changes.is_empty() {
            handle.send(LeaderEvent::WorkersChanged(changes));
        }
        tokio::time::sleep(CHANGE_GAP).await;
    }
    Ok(())
}
