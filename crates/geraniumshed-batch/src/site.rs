//! The interface to the rest of the platform: workers, their registrations and the operators'
//! configuration.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::job::{QueueName, QueuePolicy};
use geraniumshed_core::worker::{
    AdviceReply, AdviceRequest, PaceOrder, RenewReply, RenewRequest, StartOrder, StartReply,
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
    ) -> impl Future<Output = Result<StartReply, WorkerFailure>> + Send;

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

/// The version of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

/// The parts of a configuration that nodes use, and the configuration in the platform's own format.
#[derive(Debug, Clone)]
pub struct SiteConfig<R> {
    /// The version.
    pub version: ConfigVersion,
    /// The queues in force.
    pub queues: BTreeMap<QueueName, QueuePolicy>,
    /// The settings of the listener for clients.
    pub routes: R,
    /// The configuration in the platform's own format, which nodes send to their peers.
    pub source: Bytes,
}

/// The newest configuration in the platform's own format, and the offset from which to wait for
/// changes.
pub type PublishedConfig = (Option<Bytes>, LogOffset);

/// Reads the configuration and the registered workers that the platform publishes.
pub trait SiteFeed: Debug + Clone + Send + Sync + 'static {
    /// The settings of the listener for clients in a configuration.
    type Routes: Debug + Clone + Send + Sync + 'static;

    /// Reads the newest configuration, and the offset from which to wait for changes.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn config(&self) -> impl Future<Output = Result<PublishedConfig, StoreError>> + Send;

    /// Waits until something is published at or after an offset, and returns whether anything was.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn config_changed(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Decodes a configuration from the platform's own format; returns nothing if it is invalid.
    fn decode(&self, source: &Bytes) -> Option<SiteConfig<Self::Routes>>;

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
