//! Cancellations, which take effect even if the client, the node that accepted them or the leader
//! goes away.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::job::JobId;
use geraniumshed_model::prelude::whole_millis;
use tokio::time::{Instant, timeout, timeout_at};

use crate::service::{ANSWER_MARGIN, CallOutcome, JobService};
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::telemetry::{CallKind, outcome_name};
use crate::wire::JobCallWire;

/// The time for which a cancellation is sent to the leader until it is stored.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(20);
/// The time after which other nodes are asked to send a cancellation to the leader as well.
const REPLICATION_DELAY: Duration = Duration::from_millis(300);
/// The time within which another node has to confirm that it sends a cancellation.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(400);
/// The number of other nodes that send a cancellation as well.
const CANCEL_REPLICAS: usize = 2;

/// The cancellations that a node keeps sending until a leader has stored them. Clones share the
/// set.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveCancels {
    counts: Arc<Mutex<BTreeMap<JobId, usize>>>,
}

impl ActiveCancels {
    /// Counts a cancellation as active until the returned guard is dropped.
    fn register(&self, job: JobId) -> ActiveCancelGuard {
        *self.lock().entry(job).or_default() += 1;
        ActiveCancelGuard {
            active_cancels: self.clone(),
            job,
        }
    }

    /// Returns the jobs whose cancellation is active on this node.
    pub(crate) fn jobs(&self) -> Vec<JobId> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<JobId, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a cancellation from the active ones when it is dropped.
#[derive(Debug)]
struct ActiveCancelGuard {
    active_cancels: ActiveCancels,
    job: JobId,
}

impl Drop for ActiveCancelGuard {
    fn drop(&mut self) {
        let mut counts = self.active_cancels.lock();
        let count = counts.get(&self.job).copied().unwrap_or_default();
        if count > 1 {
            counts.insert(self.job, count - 1);
        } else {
            counts.remove(&self.job);
        }
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> JobService<S, F, W> {
    /// Cancels a job.
    ///
    /// The cancellation continues after the client has disconnected, since a client that got no
    /// answer may still rely on it. If it isn't stored soon, other nodes send it to the leader too.
    pub async fn cancel(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let outcome = self.cancel_within(id, deadline).await;
        let taken = started.elapsed();
        self.metrics().record_call(CallKind::Cancel, outcome, taken);
        log::info!(
            job:% = id,
            taken_ms = whole_millis(taken),
            outcome = outcome_name(outcome);
            "client asked to cancel a job"
        );
        outcome
    }

    /// Sends a cancellation in the background, and waits for its outcome until shortly before the
    /// deadline.
    async fn cancel_within(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let service = self.clone();
        let send_deadline = deadline.max(Instant::now() + CANCEL_TIMEOUT);
        let sending =
            tokio::spawn(async move { service.send_cancel_redundantly(id, send_deadline).await });
        if let Ok(Ok(outcome)) = timeout_at(deadline - ANSWER_MARGIN, sending).await {
            return outcome;
        }
        log::info!(job:% = id; "cancellation continues after the client's deadline");
        CallOutcome::Undecided
    }

    /// Sends a cancellation that another node accepted to the leader.
    pub(crate) async fn run_replicated_cancel(self, id: JobId) {
        let outcome = self.send_cancel(id, Instant::now() + CANCEL_TIMEOUT).await;
        log::info!(job:% = id, outcome = outcome_name(outcome); "finished a cancellation that another node accepted");
    }

    /// Sends a cancellation to the leader, and has other nodes send it too if it isn't stored soon.
    async fn send_cancel_redundantly(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let sending = self.send_cancel(id, deadline);
        tokio::pin!(sending);
        if let Ok(outcome) = timeout(REPLICATION_DELAY, &mut sending).await {
            return outcome;
        }
        let (outcome, ()) = tokio::join!(sending, self.replicate_to_peers(id));
        outcome
    }

    /// Sends a cancellation to the leader until it is stored or the deadline passes.
    async fn send_cancel(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let _guard = self.shared.active_cancels.register(id);
        self.ask_leader(JobCallWire::Cancel(id.0), deadline).await
    }

    /// Asks other nodes to send a cancellation to the leader as well. The leader itself is asked
    /// last, since it has probably received the cancellation.
    async fn replicate_to_peers(&self, id: JobId) {
        let leader = self.shared.view().leader.clone();
        let mut others = self.relays();
        others.sort_by_key(|member| leader.as_ref().is_some_and(|one| one.member == *member));
        let mut replicas = 0;
        for member in others {
            let asked = self
                .shared
                .pool
                .replicate_cancel(member.address, id, REPLICATION_TIMEOUT);
            match asked.await {
                Ok(()) => replicas += 1,
                Err(error) => log::debug!("cancellation not sent to {member}: {error:?}"),
            }
            if replicas == CANCEL_REPLICAS {
                return;
            }
        }
    }
}
