//! Cancellations, which take effect although their client, their node or the leader may go.

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

/// The time for which a cancellation is pursued.
const CANCEL_LIMIT: Duration = Duration::from_secs(20);
/// The time after which other nodes are asked to pursue a cancellation as well.
const HELP_DELAY: Duration = Duration::from_millis(300);
/// The time within which another node has to take a cancellation on.
const HELP_LIMIT: Duration = Duration::from_millis(400);
/// The number of other nodes that pursue a cancellation.
const HELPERS: usize = 2;

/// The cancellations that a node pursues until a leader has stored them; its clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct CancelPursuits {
    counts: Arc<Mutex<BTreeMap<JobId, usize>>>,
}

impl CancelPursuits {
    /// Begins a pursuit, which lasts until the returned guard is dropped.
    fn begin(&self, job: JobId) -> PursuitGuard {
        *self.lock().entry(job).or_default() += 1;
        PursuitGuard {
            pursuits: self.clone(),
            job,
        }
    }

    /// Returns the jobs whose cancellation is pursued.
    pub(crate) fn jobs(&self) -> Vec<JobId> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<JobId, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends a pursuit when it is dropped.
#[derive(Debug)]
struct PursuitGuard {
    pursuits: CancelPursuits,
    job: JobId,
}

impl Drop for PursuitGuard {
    fn drop(&mut self) {
        let mut counts = self.pursuits.lock();
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
    /// The cancellation is pursued also after the client has gone, since a client that got no
    /// answer may rely on it all the same. If it isn't stored soon, other nodes pursue it too.
    pub async fn cancel(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let started = Instant::now();
        let outcome = self.cancel_soon(id, deadline).await;
        let taken = started.elapsed();
        self.metrics().answered(CallKind::Cancel, outcome, taken);
        log::info!(
            job:% = id,
            taken_ms = whole_millis(taken),
            outcome = outcome_name(outcome);
            "cancellation was asked for"
        );
        outcome
    }

    async fn cancel_soon(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let service = self.clone();
        let pursued = deadline.max(Instant::now() + CANCEL_LIMIT);
        let pursuit = tokio::spawn(async move { service.pursue_with_help(id, pursued).await });
        if let Ok(Ok(outcome)) = timeout_at(deadline - ANSWER_MARGIN, pursuit).await {
            return outcome;
        }
        log::info!(job:% = id; "cancellation goes on without its client");
        CallOutcome::Undecided
    }

    /// Pursues a cancellation that another node took.
    pub(crate) async fn take_on_cancel(self, id: JobId) {
        let outcome = self.pursue_cancel(id, Instant::now() + CANCEL_LIMIT).await;
        log::info!(job:% = id, outcome = outcome_name(outcome); "cancellation that another node took has ended");
    }

    async fn pursue_with_help(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let pursuit = self.pursue_cancel(id, deadline);
        tokio::pin!(pursuit);
        if let Ok(outcome) = timeout(HELP_DELAY, &mut pursuit).await {
            return outcome;
        }
        let (outcome, ()) = tokio::join!(pursuit, self.ask_for_help(id));
        outcome
    }

    async fn pursue_cancel(&self, id: JobId, deadline: Instant) -> CallOutcome {
        let _guard = self.shared.pursuits.begin(id);
        self.ask_leader(JobCallWire::Cancel(id.0), deadline).await
    }

    /// Asks other nodes to pursue a cancellation as well, the leader last since it knows of it.
    async fn ask_for_help(&self, id: JobId) {
        let leader = self.shared.view().leader.clone();
        let mut others = self.relays();
        others.sort_by_key(|member| leader.as_ref().is_some_and(|one| one.member == *member));
        let mut helpers = 0;
        for member in others {
            let asked = self
                .shared
                .pool
                .pursue_cancel(member.address, id, HELP_LIMIT);
            match asked.await {
                Ok(()) => helpers += 1,
                Err(error) => log::debug!("{member} can't pursue a cancellation: {error:?}"),
            }
            if helpers == HELPERS {
                return;
            }
        }
    }
}
