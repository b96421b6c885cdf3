//! Clients' calls: what a node answers itself, and what it passes on.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::assignment::{CancelOutcome, JobStatus};
use geraniumshed_core::intake::AppendRoute;
use geraniumshed_core::job::{JobId, JobPhase, JobRequest, QueueName};
use geraniumshed_core::membership::MemberIdentity;
use geraniumshed_model::prelude::whole_millis;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::leader::{LeaderHandle, LeaderQuery};
use crate::node::NodeShared;
use crate::peer::PeerFailure;
use crate::site::{SiteConfig, SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::telemetry::{CallKind, NodeMetrics, outcome_name};
use crate::wire::{JobAnswerWire, JobCallWire, JobRequestWire};

/// The time within which a peer answers a call that was passed on.
const PEER_LIMIT: Duration = Duration::from_millis(800);
/// The time for which a job waits for its own append before other nodes are tried as well.
const HEDGE_DELAY: Duration = Duration::from_millis(450);
/// The time within which the leader has to store a job while the store is slow.
const COLLECTOR_LIMIT: Duration = Duration::from_millis(2600);
/// The time within which a peer has to store a job.
const RELAY_LIMIT: Duration = Duration::from_millis(1500);
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The time for which a job that certainly isn't stored is tried again.
const REFUSAL_LIMIT: Duration = Duration::from_millis(150);
/// The time that remains for the answer to reach the client.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(120);
/// The number of peers that are tried when the store refuses this node.
const RELAY_PEERS: usize = 2;

/// What a client is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The job is stored.
    Accepted,
    /// How far the job is.
    Status(JobPhase),
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The number of jobs of a queue of which no task has started.
    Pending(u64),
    /// Nothing was done; the client may come back.
    Unavailable,
    /// The call may have taken effect.
    Undecided,
}

/// Whether a job is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StoreOutcome {
    NotStored,
    Undecided,
    Stored,
}

impl StoreOutcome {
    /// Returns what two attempts show together.
    fn or(self, other: Self) -> Self {
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
    fn from(passed: Result<JobAnswerWire, PeerFailure>) -> Self {
        match passed {
            Ok(JobAnswerWire::Accepted) => Self::Stored,
            Ok(JobAnswerWire::Unavailable) | Err(PeerFailure::NotSent | PeerFailure::Refused) => {
                Self::NotStored
            }
            Ok(_) | Err(PeerFailure::Unanswered) => Self::Undecided,
        }
    }
}

/// Takes clients' calls; its clones share the node.
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
    pub fn config(&self) -> Option<Arc<SiteConfig<F::Routes>>> {
        self.shared.config()
    }

    /// Tells whether clients should be sent to this node.
    pub fn is_ready(&self) -> bool {
        !self.shared.is_stopping() && self.shared.config().is_some()
    }

    /// Stores a job.
    pub async fn submit(&self, id: JobId, request: &JobRequest, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let outcome = self.store(id, request, deadline).await;
        let taken = started.elapsed();
        self.metrics().answered(CallKind::Submit, outcome, taken);
        log::info!(
            job:% = id,
            queue:% = request.queue,
            steps = request.steps.len(),
            config_version = self.shared.config_version().0,
            taken_ms = whole_millis(taken),
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
            // A repeat may turn an undecided call into an accepted one, so it is worth the time.
            if !may_be_stored && started.elapsed() > REFUSAL_LIMIT {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        if may_be_stored {
            return CallOutcome::Undecided;
        }
        CallOutcome::Unavailable
    }

    /// Stores a job by the node that should, and by way of others if that fails or takes long.
    async fn store_hedged(&self, id: JobId, body: &JobRequestWire) -> StoreOutcome {
        if self.shared.intake.pace().route() == AppendRoute::Collector
            && let Some(outcome) = self.store_by_collector(id, body).await
        {
            return outcome;
        }
        let own = async { StoreOutcome::from(self.shared.intake.store(id, body).await) };
        let peers = self.store_by_peers(id, body);
        hedge(own, peers, HEDGE_DELAY).await
    }

    /// Stores a job by the leader; nothing is returned if no other node leads, or if the leader
    /// certainly hasn't stored it.
    ///
    /// An append beside the leader's would only add to the load of a slow store.
    async fn store_by_collector(&self, id: JobId, body: &JobRequestWire) -> Option<StoreOutcome> {
        let leader = self.shared.view().leader.clone()?.member;
        if leader == self.shared.settings.identity {
            return None;
        }
        let call = JobCallWire::Submit(id.0, body.clone());
        let started = Instant::now();
        let pool = &self.shared.pool;
        let passed = pool.call(leader.address, call, COLLECTOR_LIMIT).await;
        if passed == Ok(JobAnswerWire::Accepted) {
            let taken = started.elapsed();
            self.shared.intake.pace().collector_answered(taken);
        }
        Some(StoreOutcome::from(passed)).filter(|outcome| *outcome != StoreOutcome::NotStored)
    }

    /// Stores a job by way of nodes that may reach the store, one after the other.
    async fn store_by_peers(&self, id: JobId, body: &JobRequestWire) -> StoreOutcome {
        let call = JobCallWire::Submit(id.0, body.clone());
        let mut outcome = StoreOutcome::NotStored;
        for member in self.relays().into_iter().take(RELAY_PEERS) {
            let passed = self
                .shared
                .pool
                .call(member.address, call.clone(), RELAY_LIMIT)
                .await;
            outcome = outcome.or(passed.into());
            if outcome == StoreOutcome::Stored {
                break;
            }
        }
        outcome
    }

    /// Returns how far a job is.
    pub async fn status(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let outcome = self.ask_leader(JobCallWire::Status(id.0), deadline).await;
        let taken = started.elapsed();
        self.metrics().answered(CallKind::Status, outcome, taken);
        if matches!(outcome, CallOutcome::Unavailable | CallOutcome::Unknown) {
            log::info!(
                job:% = id,
                leader:? = self.leader_name(),
                taken_ms = whole_millis(taken),
                outcome = outcome_name(outcome);
                "job's phase was asked for"
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
        self.metrics().answered(CallKind::Pending, outcome, taken);
        outcome
    }

    pub(crate) fn metrics(&self) -> &NodeMetrics {
        self.shared.metrics()
    }

    /// Returns the leader that this node knows.
    fn leader_name(&self) -> Option<SmolStr> {
        let view = self.shared.view();
        view.leader
            .as_ref()
            .map(|record| record.member.name.clone())
    }

    /// Returns other nodes, the leader first.
    pub(crate) fn relays(&self) -> Vec<MemberIdentity> {
        let own = &self.shared.settings.identity;
        let now = self.shared.clock().now();
        let view = self.shared.view();
        let leader = view.leader.iter().map(|record| &record.member);
        let peers = view.peers.iter();
        let heard = view.successors(now).into_iter().map(|one| &one.member);
        let mut relays: Vec<MemberIdentity> = Vec::new();
        for member in leader.chain(peers).chain(heard) {
            if member.address != own.address && !relays.contains(member) {
                relays.push(member.clone());
            }
        }
        relays
    }

    /// Asks the leader, wherever it is, until it answers or the client's time is up.
    pub(crate) async fn ask_leader(&self, call: JobCallWire, deadline: Instant) -> CallOutcome {
        let deadline = deadline - ANSWER_MARGIN;
        loop {
            let answer = match self.own_leader() {
                Some(handle) => ask_own(&handle, &call, deadline).await,
                None => self.ask_remote(&call).await,
            };
            if let Some(outcome) = answer {
                return outcome;
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                log::info!(call:? = call, leader:? = self.leader_name(); "no leader answered in time");
                return CallOutcome::Unavailable;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    pub(crate) fn own_leader(&self) -> Option<LeaderHandle> {
        self.shared.view().handle.clone()
    }

    async fn ask_remote(&self, call: &JobCallWire) -> Option<CallOutcome> {
        let leader = self.shared.view().leader.clone()?;
        if leader.member == self.shared.settings.identity {
            return None;
        }
        let address = leader.member.address;
        let answer = self
            .shared
            .pool
            .call(address, call.clone(), PEER_LIMIT)
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

/// Tries a way to store a job, and another one beside it if the first fails or takes long.
async fn hedge(
    first: impl Future<Output = StoreOutcome>,
    second: impl Future<Output = StoreOutcome>,
    delay: Duration,
) -> StoreOutcome {
    tokio::pin!(first, second);
    if let Ok(outcome) = timeout(delay, &mut first).await {
        return match outcome {
            StoreOutcome::Stored => StoreOutcome::Stored,
            other => other.or(second.await),
        };
    }
    tokio::select! {
        outcome = &mut first => match outcome {
            StoreOutcome::Stored => StoreOutcome::Stored,
            other => other.or(second.await),
        },
        outcome = &mut second => match outcome {
            StoreOutcome::Stored => StoreOutcome::Stored,
            other => other.or(first.await),
        },
    }
}

/// Asks the planner of this process; returns nothing if it ends or takes too long.
pub(crate) async fn ask_own(
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
