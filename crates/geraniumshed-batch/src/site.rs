//! The interface to the rest of the platform: workers, their registrations and the operators'
//! configuration.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::site::{SiteConfig, ZoneEvacuations};
use geraniumshed_core::worker::{
    AdviceReply, AdviceRequest, PaceOrder, RenewReply, RenewRequest, StartAnswer, StartOrder,
    StopOrder, WorkerCall, WorkerChange, WorkerFailure, WorkerListing,
};
use geraniumshed_model::prelude::LogOffset;

use crate::store::StoreError;

/// The outcome of renewing a lease.
#[derive(Debug, Clone, PartialEq)]
pub enum RenewOutcome {
    /// The worker answered.
    Answered(RenewReply),
    /// The process at the address is another worker.
    OtherWorker,
    /// The worker rejected the fencing token, since a later leader has called it.
    Fenced,
    /// There is no usable answer.
    Failed(WorkerFailure),
}

/// A client for calls to workers.
pub trait WorkerCaller: Debug + Clone + Send + Sync + 'static {
    /// Starts a task on a worker.
    fn start(
        &self,
        call: WorkerCall<StartOrder>,
    ) -> impl Future<Output = Result<StartAnswer, WorkerFailure>> + Send;

    /// Stops a run.
    fn stop(
        &self,
        call: WorkerCall<StopOrder>,
    ) -> impl Future<Output = Result<(), WorkerFailure>> + Send;

    /// Changes the speed of a run.
    fn pace(
        &self,
        call: WorkerCall<PaceOrder>,
    ) -> impl Future<Output = Result<(), WorkerFailure>> + Send;

    /// Asks the platform which workers may run a step, and returns a ticket for each.
    fn advise(
        &self,
        request: &AdviceRequest,
    ) -> impl Future<Output = Result<AdviceReply, WorkerFailure>> + Send;

    /// Renews a lease and reads the worker's runs.
    fn renew(&self, call: WorkerCall<RenewRequest>) -> impl Future<Output = RenewOutcome> + Send;
}

/// The newest configuration in the platform's own format, and the offset before which there is
/// nothing newer.
pub type PublishedConfig = (Option<Bytes>, LogOffset);

/// What a check of the operators' topic has found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicCheck {
    /// The offset at which the topic ends.
    pub end: LogOffset,
    /// The evacuated zones, if the topic has grown since they were read.
    pub evacuations: Option<ZoneEvacuations>,
}

/// Reads the configuration and the registered workers that the platform publishes.
pub trait SiteFeed: Debug + Clone + Send + Sync + 'static {
    /// Reads the newest configuration, and the offset before which there is nothing newer. The topic
    /// is known to end at `known_end` or later. The answer has to begin within the given time; how
    /// long all of it takes depends on its size.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn config(
        &self,
        known_end: LogOffset,
        limit: Duration,
    ) -> impl Future<Output = Result<PublishedConfig, StoreError>> + Send;

    /// Returns the offset at which the topic of configurations and evacuations ends, and the evacuated
    /// zones if that is later than the offset up to which they are known. Each call to the store has to
    /// be answered within the given time, and all of them within twice that.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer to the whole check.
    fn check_topic(
        &self,
        evacuations_known_to: LogOffset,
        limit: Duration,
    ) -> impl Future<Output = Result<TopicCheck, StoreError>> + Send;

    /// Decodes a configuration from the platform's own format; returns nothing if it is invalid.
    fn decode(&self, source: &Bytes) -> Option<SiteConfig>;

    /// Reads the workers that are registered, and the offset from which to read changes.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn workers(
        &self,
    ) -> impl Future<Output = Result<(Vec<WorkerListing>, LogOffset), StoreError>> + Send;

    /// Reads the changes of registered workers from an offset on, and waits for one if there is
    /// none yet. Returns them with the offset from which to read on.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn worker_changes(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<WorkerChange>, LogOffset), StoreError>> + Send;
}
