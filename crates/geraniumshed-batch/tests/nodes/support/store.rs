//! The store and the configuration of the in-memory platform.

use std::collections::BTreeMap;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_batch::site::{PublishedConfig, SiteFeed, TopicCheck};
use geraniumshed_batch::store::{
    AppendCondition, KeyedRecord, NewestPage, ReadBatch, StoreClient, StoreError, TopicName,
};
use geraniumshed_batch::topic::{PROGRESS, REQUESTS};
use geraniumshed_core::job::{QueueName, QueuePolicy};
use geraniumshed_core::site::{ConfigVersion, RouteEntry, RouteKey, SiteConfig, ZoneEvacuations};
use geraniumshed_core::worker::{WorkerChange, WorkerListing};
use geraniumshed_model::prelude::LogOffset;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::worker::worker_listing;
use super::{Site, SiteState, TopicState};

/// The largest size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 250_000;
/// The largest size of all values of an append, in bytes.
const MAX_APPEND_BYTES: usize = 2_000_000;

/// The client of the store and the platform for one node.
#[derive(Debug, Clone)]
pub struct NodeStore {
    pub(super) site: Site,
    pub(super) node: usize,
}

impl NodeStore {
    /// Locks the state, unless the store refuses this node.
    fn access(&self) -> Result<MutexGuard<'_, SiteState>, StoreError> {
        let state = self.site.lock();
        if state.refused.contains(&self.node) {
            return Err(StoreError::Refused);
        }
        Ok(state)
    }

    /// Waits for the timeout if the store answers no call.
    async fn await_answer(&self, timeout: Duration) -> Result<(), StoreError> {
        let is_silent = self.is_silent();
        if is_silent {
            tokio::time::sleep(timeout).await;
            return Err(StoreError::Unanswered);
        }
        Ok(())
    }

    fn is_silent(&self) -> bool {
        self.site.lock().silent.contains(&self.node)
    }

    fn topic<T>(
        &self,
        topic: TopicName,
        change: impl FnOnce(&mut TopicState) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut state = self.access()?;
        change(state.topics.entry(topic).or_default())
    }

    /// Returns the records of a topic that are shown to readers.
    fn shown_records(&self, topic: TopicName) -> Result<Vec<KeyedRecord>, StoreError> {
        let age = self.access()?.read_ages.get(&topic).copied();
        self.topic(topic, |state| {
            let end = age.map_or(state.records.len(), |age| state.end_before(age));
            Ok(state.records[..end].to_vec())
        })
    }

    fn config_version(&self) -> Result<u64, StoreError> {
        let state = self.access()?;
        // There is always a configuration, since nodes only become ready with one.
        Ok(state.config_version.max(1))
    }

    /// Returns the end of the topic with the configuration and the evacuations.
    fn topic_end(&self) -> Result<LogOffset, StoreError> {
        let evacuation_count = self.access()?.evacuation_count;
        Ok(LogOffset(self.config_version()? + evacuation_count))
    }
}

impl StoreClient for NodeStore {
    async fn append(
        &self,
        topic: TopicName,
        records: Vec<KeyedRecord>,
        condition: AppendCondition,
        timeout: Duration,
    ) -> Result<LogOffset, StoreError> {
        if topic == REQUESTS {
            self.site.lock().request_appends.push(self.node);
            if self.is_silent() && self.site.lock().is_appending_silently {
                self.topic(topic, |state| {
                    state.records.extend(records.clone());
                    Ok(())
                })?;
            }
            let delay = self.site.lock().request_delay;
            tokio::time::sleep(delay).await;
        }
        self.await_answer(timeout).await?;
        if topic == PROGRESS && self.site.lock().is_refusing_progress {
            return Err(StoreError::Refused);
        }
        if topic == PROGRESS {
            let delay = self.site.begin_progress(&records);
            tokio::time::sleep(delay).await;
        }
        let is_deletion = records.iter().any(|record| record.value.is_empty());
        if topic == REQUESTS && is_deletion && self.access()?.is_keeping_requests {
            return Err(StoreError::Refused);
        }
        let sizes = records.iter().map(|record| record.value.len());
        if sizes.clone().any(|size| size > MAX_VALUE_BYTES)
            || sizes.sum::<usize>() > MAX_APPEND_BYTES
        {
            return Err(StoreError::Invalid("the append is too large".into()));
        }
        self.topic(topic, |state| {
            let end = state.records.len() as u64;
            match condition {
                AppendCondition::None => {}
                AppendCondition::EndsAt(wanted) if wanted.0 == end => {}
                AppendCondition::EndsAt(_) => return Err(StoreError::EndMoved(LogOffset(end))),
                AppendCondition::Writer(mark) => {
                    let epoch = state.epochs.entry(mark.producer).or_default();
                    if mark.epoch < *epoch {
                        return Err(StoreError::Fenced);
                    }
                    *epoch = mark.epoch;
                }
            }
            state.records.extend(records);
            state.ends.push((Instant::now(), state.records.len()));
            Ok(LogOffset(state.records.len() as u64))
        })
    }

    async fn newest(
        &self,
        topic: TopicName,
        _: Option<SmolStr>,
        timeout: Duration,
    ) -> Result<NewestPage, StoreError> {
        self.await_answer(timeout).await?;
        let read_delay = self.site.lock().read_delay;
        tokio::time::sleep(read_delay).await;
        if topic == PROGRESS {
            let delay = self.site.lock().takeover_delay;
            tokio::time::sleep(delay.min(timeout)).await;
            if delay > timeout {
                return Err(StoreError::Unanswered);
            }
        }
        let shown = self.shown_records(topic)?;
        let end = LogOffset(shown.len() as u64);
        let mut newest = BTreeMap::new();
        for (offset, record) in (0..).zip(shown) {
            newest.insert(record.key.clone(), (LogOffset(offset), record));
        }
        newest.retain(|_, (_, record)| !record.value.is_empty());
        Ok(NewestPage {
            records: newest.into_values().collect(),
            end,
            has_more: false,
        })
    }

    async fn read(
        &self,
        topic: TopicName,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let deadline = Instant::now() + wait;
        loop {
            let mut records = self.shown_records(topic)?;
            let first = usize::try_from(from.0).unwrap();
            records.drain(..first.min(records.len()));
            if !records.is_empty() || Instant::now() >= deadline {
                let next = LogOffset(from.0 + records.len() as u64);
                return Ok(ReadBatch { records, next });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn join(&self, _: TopicName, member: SmolStr, _: Duration) -> Result<(), StoreError> {
        let mut state = self.site.lock();
        state.members.retain(|one| *one != member);
        state.members.push(member);
        Ok(())
    }

    async fn leave(&self, _: TopicName, member: SmolStr) -> Result<(), StoreError> {
        self.site.lock().members.retain(|one| *one != member);
        Ok(())
    }

    async fn members(&self, _: TopicName) -> Result<Vec<SmolStr>, StoreError> {
        Ok(self.site.lock().members.clone())
    }
}

impl SiteFeed for NodeStore {
    async fn config(&self, _: LogOffset, _: Duration) -> Result<PublishedConfig, StoreError> {
        let version = self.config_version()?;
        let source = Bytes::copy_from_slice(&version.to_be_bytes());
        Ok((Some(source), self.topic_end()?))
    }

    async fn check_topic(
        &self,
        evacuations_known_to: LogOffset,
        limit: Duration,
    ) -> Result<TopicCheck, StoreError> {
        self.await_answer(limit).await?;
        let end = self.topic_end()?;
        let zones = self.access()?.evacuated_zones.clone();
        let evacuations = ZoneEvacuations::new(zones, end);
        let is_news = end > evacuations_known_to;
        Ok(TopicCheck {
            end,
            evacuations: is_news.then_some(evacuations),
        })
    }

    fn decode(&self, source: &Bytes) -> Option<SiteConfig> {
        let version = u64::from_be_bytes(source.as_ref().try_into().ok()?);
        let policy = QueuePolicy {
            service: "s".into(),
            priority: 0,
            attempt_limit: 3,
            stretch: 2.0,
            latency_objective: Duration::from_secs(1),
            advice: None,
        };
        let entry = RouteEntry {
            queue: QueueName::from("q"),
            policy,
        };
        Some(SiteConfig {
            version: ConfigVersion(version),
            body_limit: 1000,
            routes: [(RouteKey::new("h", "/q/".into()), entry)]
                .into_iter()
                .collect(),
        })
    }

    async fn workers(&self) -> Result<(Vec<WorkerListing>, LogOffset), StoreError> {
        let state = self.access()?;
        let is_shown = !state.is_worker_hidden;
        let listings = is_shown.then(worker_listing).into_iter().collect();
        Ok((listings, LogOffset(0)))
    }

    async fn worker_changes(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> Result<(Vec<WorkerChange>, LogOffset), StoreError> {
        tokio::time::sleep(wait).await;
        let state = self.access()?;
        let change = if state.is_worker_hidden {
            WorkerChange::Gone(worker_listing().id)
        } else {
            WorkerChange::Listed(worker_listing())
        };
        Ok((vec![change], from))
    }
}
