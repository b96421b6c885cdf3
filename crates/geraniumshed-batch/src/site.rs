//! What else the platform offers: workers, their registrations and the operators' configuration.

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

/// What became of a renewal.
#[derive(Debug, Clone, PartialEq)]
pub enum RenewOutcome {
    /// The worker answered.
    Answered(RenewReply),
    /// Another worker answers at the address.
    OtherWorker,
    /// The worker refused the token: a later leader has called it.
    Fenced,
    /// There is no usable answer.
    Failed(WorkerFailure),
}

/// The calls to workers.
pub trait WorkerCaller: Debug + Clone + Send + Sync + 'static {
    /// Starts a task.
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

    /// Asks which workers may run a step.
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

/// A configuration as far as the nodes need it; the platform's own form stays opaque.
#[derive(Debug, Clone)]
pub struct SiteConfig<R> {
    /// The version.
    pub version: ConfigVersion,
    /// The queues in force.
    pub queues: BTreeMap<QueueName, QueuePolicy>,
    /// What the listener for clients reads.
    pub routes: R,
    /// The platform's own form, to pass on to peers.
    pub source: Bytes,
}

/// The newest configuration, and the offset from which to wait for changes.
pub type PublishedConfig<R> = (Option<SiteConfig<R>>, LogOffset);

/// What the platform publishes.
pub trait SiteFeed: Debug + Clone + Send + Sync + 'static {
    /// What the listener for clients reads of a configuration.
    type Routes: Debug + Clone + Send + Sync + 'static;

    /// Reads the newest configuration, and the offset from which to wait for changes.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn config(
        &self,
    ) -> impl Future<Output = Result<PublishedConfig<Self::Routes>, StoreError>> + Send;

    /// Waits until something was published from an offset on.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn config_changed(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Reads a configuration in the platform's own form.
    fn decode(&self, source: &Bytes) -> Option<SiteConfig<Self::Routes>>;

    /// Reads the workers that are registered, and the offset from which to read changes.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn workers(
        &self,
    ) -> impl Future<Output = Result<(Vec<WorkerListing>, LogOffset), StoreError>> + Send;

    /// Reads what has changed of the registered workers from an offset on, waiting for a change,
    /// and the offset from which to read on.
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
