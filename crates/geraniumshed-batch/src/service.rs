//! Answers clients' calls, by itself or by forwarding them to other nodes.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::assignment::{CancelOutcome, JobStatus};
use geraniumshed_core::intake::{AppendRoute, JobRoute, RetryDelay};
use geraniumshed_core::job::{JobId, JobPhase, JobRequest, QueueName};
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::site::SiteConfig;
use geraniumshed_model::prelude::whole_millis;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::leader::{LeaderHandle, LeaderQuery};
use crate::node::NodeShared;
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::telemetry::{CallKind, NodeMetrics, outcome_name};
use crate::wire::{JobAnswerWire, JobCallWire, JobRequestWire};

/// The timeout for the answer to a call that is forwarded to the leader.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// The time after which a job that this node has not stored yet is sent to other nodes as well.
const HEDGE_DELAY: Duration = Duration::from_millis(450);
/// The timeout for storing a job through the leader while the store is slow.
const LEADER_STORE_TIMEOUT: Duration = Duration::from_millis(2600);
/// The timeout for storing a job through another node.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time for which storing a job is retried while it is certain that it isn't stored.
const REFUSAL_RETRY_TIME: Duration = Duration::from_millis(150);
/// The time before the client's deadline that is reserved for sending the answer.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(120);
/// The number of other nodes that are tried if this node can't store a job in time.
pub(crate) const RELAY_PEERS: usize = 2;

/// The outcome of a client's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The job is stored.
    Accepted,
    /// The phase of the job.
    Status(JobPhase),
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The number of jobs of a queue of which no task has started.
    Pending(u64),
    /// The call had no effect; the client may retry after the delay.
    Unavailable(RetryDelay),
    /// The call may have taken effect.
    Undecided,
    /// The job isn't stored, since it would be of no use to its client now. A return pays after this
    /// time.
    Overloaded(Duration),
}

/// Whether a job is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StoreOutcome {
    NotStored,
    Undecided,
    Stored,
}

impl StoreOutcome {
    /// Returns the combined outcome of two attempts.
    fn combine(self, other: Self) -> Self {
        self.max(other)
    }
}

impl From<Result<(), StoreError>> for StoreOutcome {
    fn from(result: Result<(), StoreError>) -> Self {
        match result {
            Ok(()) => Self::Stored,
            Err(StoreError::Refused) => Self::NotStored,
            Err(_) => Self::Undecided,
        }
    }
}

impl From<Result<JobAnswerWire, PeerFailure>> for StoreOutcome {
    fn from(answer: Result<JobAnswerWire, PeerFailure>) -> Self {
        match answer {
            Ok(JobAnswerWire::Accepted) => Self::Stored,
            Ok(JobAnswerWire::Unavailable) | Err(PeerFailure::NotSent | PeerFailure::Refused) => {
                Self::NotStored
            }
            Ok(_) | Err(PeerFailure::Unanswered) => Self::Undecided,
        }
    }
}

/// Answers clients' calls. Clones share the node.
#[derive(Debug)]
pub struct JobService<S, F: SiteFeed, W> {
    pub(crate) shared: Arc<NodeShared<S, F, W>>,
}

impl<S, F: SiteFeed, W> Clone for JobService<S, F, W> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> JobService<S, F, W> {
    pub(crate) fn new(shared: Arc<NodeShared<S, F, W>>) -> Self {
        Self { shared }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.shared.config.config()
    }

    /// Returns whether this node should receive clients' calls.
    pub fn is_ready(&self) -> bool {
        !self.shared.is_stopping() && self.shared.config.config().is_some()
    }

    /// Stores a job.
    pub async fn submit(&self, id: JobId, request: &JobRequest, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let outcome = match self.reject(id, request).await {
            Some(delay) => CallOutcome::Overloaded(delay),
            None => self.store(id, request, deadline).await,
        };
        let taken = started.elapsed();
        self.metrics().record_call(CallKind::Submit, outcome, taken);
        log::info!(
            job:% = id,
            queue:% = request.queue,
            steps = request.steps.len(),
            config_version = self.shared.config.version().0,
            taken_ms = whole_millis(taken),
            store:% = self.shared.context.store_health.verdict(),
            retry_after_s = retry_seconds(outcome),
            outcome = outcome_name(outcome);
            "job was handed in"
        );
        outcome
    }

    async fn store(&self, id: JobId, request: &JobRequest, deadline: Instant) -> CallOutcome {
        let body = JobRequestWire::from(request);
        let started = Instant::now();
        let deadline = deadline - ANSWER_MARGIN;
        let mut may_be_stored = false;
        while Instant::now() < deadline {
            match timeout_at(deadline, self.store_hedged(id, &body)).await {
                Ok(StoreOutcome::Stored) => return CallOutcome::Accepted,
                Ok(StoreOutcome::NotStored) => {}
                Ok(StoreOutcome::Undecided) | Err(_) => may_be_stored = true,
            }
            // Retrying an undecided call is worthwhile, since it may still be accepted.
            let is_hopeless = self.shared.context.store_health.route() == JobRoute::Nowhere;
            if !may_be_stored && (is_hopeless || started.elapsed() > REFUSAL_RETRY_TIME) {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        if may_be_stored {
            return CallOutcome::Undecided;
        }
        self.refuse()
    }

    /// Refuses a job that is certainly not stored.
    fn refuse(&self) -> CallOutcome {
        let health = &self.shared.context.store_health;
        self.metrics().record_refused_job(health.verdict());
        CallOutcome::Unavailable(health.retry_delay(rand::random()))
    }

    /// Stores a job through the node that the route names, and through others if that fails or
    /// takes long.
    async fn store_hedged(&self, id: JobId, body: &JobRequestWire) -> StoreOutcome {
        match self.shared.context.store_health.route() {
            JobRoute::Store => {}
            JobRoute::Peers => return self.store_by_peers_first(id, body).await,
            JobRoute::Nowhere => return StoreOutcome::NotStored,
        }
        if self.shared.intake.monitor().route() == AppendRoute::Leader
            && let Some(outcome) = self.store_by_leader(id, body).await
        {
            return outcome;
        }
        let own = async { StoreOutcome::from(self.shared.intake.store(id, body).await) };
        let peers = self.store_by_peers(id, body);
        hedge(own, peers, HEDGE_DELAY).await
    }

    /// Stores a job through other nodes, or by this node if it is certain that none of them has stored it.
    async fn store_by_peers_first(&self, id: JobId, body: &JobRequestWire) -> StoreOutcome {
        match self.store_by_peers(id, body).await {
            StoreOutcome::NotStored => self.shared.intake.store(id, body).await.into(),
            outcome => outcome,
        }
    }

    /// Stores a job through the leader. Returns nothing if no other node leads, or if it is certain
    /// that the leader hasn't stored the job.
    ///
    /// While this runs, the node doesn't append the job itself, which would only add to the load of
    /// a slow store.
    async fn store_by_leader(&self, id: JobId, body: &JobRequestWire) -> Option<StoreOutcome> {
        let leader = self.shared.view().leader.clone()?.member;
        if leader == self.shared.settings.identity {
            return None;
        }
        let call = JobCallWire::Submit(id.0, body.clone());
        let started = Instant::now();
        let pool = &self.shared.pool;
        let answer = pool
            .forward_call(leader.address, call, LEADER_STORE_TIMEOUT)
            .await;
        if answer == Ok(JobAnswerWire::Accepted) {
            let taken = started.elapsed();
            self.shared.intake.monitor().leader_stored(taken);
        }
        Some(StoreOutcome::from(answer)).filter(|outcome| *outcome != StoreOutcome::NotStored)
    }

    /// Stores a job through other nodes, which may reach the store, one after the other.
    async fn store_by_peers(&self, id: JobId, body: &JobRequestWire) -> StoreOutcome {
        let call = JobCallWire::Submit(id.0, body.clone());
        let mut outcome = StoreOutcome::NotStored;
        let health = &self.shared.context.store_health;
        for member in self.relays().into_iter().take(RELAY_PEERS) {
            // A node that doesn't know of the outage yet would hold the job.
            if health.route() == JobRoute::Nowhere {
                break;
            }
            let answer = self
                .shared
                .pool
                .forward_call(member.address, call.clone(), RELAY_TIMEOUT)
                .await;
            outcome = outcome.combine(answer.into());
            if outcome == StoreOutcome::Stored {
                break;
            }
        }
        outcome
    }

    /// Returns the phase of a job.
    pub async fn status(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let outcome = self.ask_leader(JobCallWire::Status(id.0), deadline).await;
        let taken = started.elapsed();
        self.metrics().record_call(CallKind::Status, outcome, taken);
        if matches!(outcome, CallOutcome::Unavailable(_) | CallOutcome::Unknown) {
            log::info!(
                job:% = id,
                leader:? = self.leader_name(),
                taken_ms = whole_millis(taken),
                outcome = outcome_name(outcome);
                "could not return the phase of a job"
            );
        }
        outcome
    }

    /// Counts the jobs of a queue of which no task has started.
    pub async fn pending(&self, queue: &QueueName, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let call = JobCallWire::Pending(queue.0.clone());
        let outcome = self.ask_leader(call, deadline).await;
        let taken = started.elapsed();
        self.metrics()
            .record_call(CallKind::Pending, outcome, taken);
        log::info!(
            queue:% = queue,
            config_version = self.shared.config.version().0,
            taken_ms = whole_millis(taken),
            outcome = outcome_name(outcome),
            pending = counted_jobs(outcome);
            "client asked for the pending jobs of a queue"
        );
        outcome
    }

    pub(crate) fn metrics(&self) -> &NodeMetrics {
        self.shared.metrics()
    }

    /// Returns the name of the known leader.
    fn leader_name(&self) -> Option<SmolStr> {
        let view = self.shared.view();
        view.leader
            .as_ref()
            .map(|record| record.member.name.clone())
    }

    /// Returns the other nodes to which calls can be forwarded, the leader first.
    pub(crate) fn relays(&self) -> Vec<MemberIdentity> {
        let own = &self.shared.settings.identity;
        let now = self.shared.clock().now();
        let view = self.shared.view();
        let leader = view.leader.iter().map(|record| &record.member);
        let peers = view.peers.iter();
        let tracked = view.successors(now).into_iter().map(|one| &one.member);
        let mut relays: Vec<MemberIdentity> = Vec::new();
        for member in leader.chain(peers).chain(tracked) {
            if member.address != own.address && !relays.contains(member) {
                relays.push(member.clone());
            }
        }
        relays
    }

    /// Sends a call to the leader, which may be this node, until it is answered or the client's
    /// deadline is near.
    pub(crate) async fn ask_leader(&self, call: JobCallWire, deadline: Instant) -> CallOutcome {
        let deadline = deadline - ANSWER_MARGIN;
        loop {
            let answer = match self.local_leader() {
                Some(handle) => ask_local_leader(&handle, &call, deadline).await,
                None => self.ask_remote_leader(&call).await,
            };
            if let Some(outcome) = answer {
                return outcome;
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                log::info!(call:? = call, leader:? = self.leader_name(); "no leader answered in time");
                return CallOutcome::Unavailable(RetryDelay::default());
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the leader task of this node, if it leads.
    pub(crate) fn local_leader(&self) -> Option<LeaderHandle> {
        self.shared.view().handle.clone()
    }

    /// Forwards a call to the leader on another node; returns nothing if it should be retried.
    async fn ask_remote_leader(&self, call: &JobCallWire) -> Option<CallOutcome> {
        let leader = self.shared.view().leader.clone()?;
        if leader.member == self.shared.settings.identity {
            return None;
        }
        let address = leader.member.address;
        let answer = self
            .shared
            .pool
            .forward_call(address, call.clone(), PEER_TIMEOUT)
            .await;
        match answer {
            Ok(JobAnswerWire::Unavailable | JobAnswerWire::Undecided) | Err(_) => None,
            Ok(JobAnswerWire::Accepted) => Some(CallOutcome::Accepted),
            Ok(JobAnswerWire::Status(phase)) => Some(CallOutcome::Status(phase.into())),
            Ok(JobAnswerWire::Cancelled) => Some(CallOutcome::Cancelled),
            Ok(JobAnswerWire::Unknown) => Some(CallOutcome::Unknown),
            Ok(JobAnswerWire::Pending(count)) => Some(CallOutcome::Pending(count)),
        }
    }
}

/// Returns the delay after which a client should try again, in seconds.
fn retry_seconds(outcome: CallOutcome) -> Option<u32> {
    match outcome {
        CallOutcome::Unavailable(delay) => Some(delay.0),
        _ => None,
    }
}

/// Returns the number of jobs that an outcome tells.
fn counted_jobs(outcome: CallOutcome) -> Option<u64> {
    match outcome {
        CallOutcome::Pending(count) => Some(count),
        _ => None,
    }
}

/// Runs a second attempt to store a job if the first one fails, or in parallel if it takes longer
/// than the delay.
async fn hedge(
    first: impl Future<Output = StoreOutcome>,
    second: impl Future<Output = StoreOutcome>,
    delay: Duration,
) -> StoreOutcome {
    tokio::pin!(first, second);
    if let Ok(outcome) = timeout(delay, &mut first).await {
        return match outcome {
            StoreOutcome::Stored => StoreOutcome::Stored,
            other => other.combine(second.await),
        };
    }
    tokio::select! {
        outcome = &mut first => match outcome {
            StoreOutcome::Stored => StoreOutcome::Stored,
            other => other.combine(second.await),
        },
        outcome = &mut second => match outcome {
            StoreOutcome::Stored => StoreOutcome::Stored,
            other => other.combine(first.await),
        },
    }
}

/// Sends a call to the leader task of this process. Returns nothing if the task ends or takes too
/// long.
pub(crate) async fn ask_local_leader(
    handle: &LeaderHandle,
    call: &JobCallWire,
    deadline: Instant,
) -> Option<CallOutcome> {
    match call {
        JobCallWire::Submit(..) => None,
        JobCallWire::Status(id) => {
            let (sender, answer) = oneshot::channel();
            handle.query(LeaderQuery::Status(JobId(*id), sender));
            let status = timeout_at(deadline, answer).await.ok()?.ok()?;
            Some(match status {
                JobStatus::Unknown => CallOutcome::Unknown,
                JobStatus::Known(phase) => CallOutcome::Status(phase),
            })
        }
        JobCallWire::Cancel(id) => {
            let (sender, answer) = oneshot::channel();
            handle.query(LeaderQuery::Cancel(JobId(*id), sender));
            let outcome = timeout_at(deadline, answer).await.ok()?.ok()?;
            Some(match outcome {
                CancelOutcome::Unknown | CancelOutcome::WithdrawnBy(_) => CallOutcome::Unknown,
                CancelOutcome::AlreadyEnded | CancelOutcome::StoredBy(_) => CallOutcome::Cancelled,
            })
        }
        JobCallWire::Pending(queue) => {
            let (sender, answer) = oneshot::channel();
            handle.query(LeaderQuery::Pending(QueueName(queue.clone()), sender));
            let count = timeout_at(deadline, answer).await.ok()?.ok()?;
            Some(CallOutcome::Pending(count as u64))
        }
    }
}
