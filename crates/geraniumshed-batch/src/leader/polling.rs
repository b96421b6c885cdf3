//! Polls the store and the platform for submitted jobs and registered workers.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobRequest};
use geraniumshed_model::prelude::LogOffset;
use tokio::time::Instant;

use super::event::{LeaderEvent, LeaderHandle};
use super::takeover::decode_request;
use crate::clock::ReadMark;
use crate::site::SiteFeed;
use crate::store::{KeyedRecord, StoreClient, StoreError, read_newest};
use crate::topic::REQUESTS;

/// The time for which a read waits for a new request.
const REQUEST_WAIT: Duration = Duration::from_millis(700);
/// The delay between reads of requests, during which several can accumulate.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// The interval between reads of all registered workers.
const LISTING_INTERVAL: Duration = Duration::from_secs(10);
/// The time for which a read waits for a registration to change.
const CHANGE_WAIT: Duration = Duration::from_secs(1);
/// The delay between reads of changes, during which several can accumulate.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// The delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads new requests from an offset on until the leader task ends.
pub(super) async fn poll_requests<S: StoreClient>(
    store: S,
    handle: LeaderHandle,
    mut next: LogOffset,
) {
    while !handle.is_closed() {
        let mark = ReadMark::now();
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
                handle.send(LeaderEvent::RequestsRead(mark));
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
            Err(error) => {
                log::debug!("could not read new requests: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the requests from an offset on, or the newest of all jobs if the offset has expired.
async fn read_requests<S: StoreClient>(
    store: &S,
    next: LogOffset,
) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError> {
    match store.read(REQUESTS, next, REQUEST_WAIT).await {
        Ok(batch) => Ok((batch.records, batch.next)),
        Err(StoreError::Expired(_)) => {
            log::info!(offset:% = next; "requests from this offset on have expired; reading the newest request of each job");
            read_newest(store, REQUESTS).await
        }
        Err(error) => Err(error),
    }
}

/// Reads the registered workers until the leader task ends.
///
/// Reads all of them first and at intervals, in case a change was missed, and only changes in
/// between.
pub(super) async fn poll_workers<F: SiteFeed>(feed: F, handle: LeaderHandle) {
    while !handle.is_closed() {
        if let Err(error) = poll_worker_changes(&feed, &handle).await {
            log::debug!("could not read the registered workers: {error}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads all registered workers, and then their changes until all have to be read again.
async fn poll_worker_changes<F: SiteFeed>(
    feed: &F,
    handle: &LeaderHandle,
) -> Result<(), StoreError> {
    let (listings, mut next) = feed.workers().await?;
    handle.send(LeaderEvent::WorkersListed(listings));
    let relist_at = Instant::now() + LISTING_INTERVAL;
    while !handle.is_closed() && Instant::now() < relist_at {
        let (changes, offset) = feed.worker_changes(next, CHANGE_WAIT).await?;
        next = offset;
        if !changes.is_empty() {
            handle.send(LeaderEvent::WorkersChanged(changes));
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}
