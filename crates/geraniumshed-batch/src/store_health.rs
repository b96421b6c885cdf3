//! Watches whether the store serves this node, and probes it when an answer is overdue.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::intake::{
    CallTicket, JobRoute, RetryDelay, StoreCall, StoreHealth, StoreReply, StoreVerdict,
    VerdictChange,
};
use geraniumshed_model::prelude::whole_millis;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::clock::NodeClock;
use crate::node::NodeShared;
use crate::service::{JobService, RELAY_PEERS};
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::telemetry::NodeMetrics;
use crate::topic::LEADERS;

/// The interval between two checks for overdue answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of a probe. Shorter ones would miss a store that takes this long.
const PROBE_TIMEOUT: Duration = Duration::from_millis(750);
/// The time after an outage for which an append that was sent before waits for its answer. A slow store takes
/// 120 ms.
const RECOVERY_GRACE: Duration = Duration::from_millis(200);
/// The timeout for the answer of a peer that is asked whether the store answers it.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time for which jobs are held back until it is known whether the store answers. A silent store
/// is known by then, after two probes.
const DOUBT_LIMIT: Duration = Duration::from_millis(600);

#[derive(Debug)]
struct HealthState {
    clock: NodeClock,
    metrics: NodeMetrics,
    health: Mutex<StoreHealth>,
    verdict: watch::Sender<StoreVerdict>,
    /// Notified when a call ends.
    call_ended: Notify,
}

/// Watches whether the store serves this node. Clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct HealthMonitor {
    state: Arc<HealthState>,
}

impl HealthMonitor {
    /// Creates a monitor that has seen no call yet.
    pub(crate) fn new(clock: NodeClock, metrics: NodeMetrics) -> Self {
        let state = HealthState {
            clock,
            metrics,
            health: Mutex::new(StoreHealth::new(clock.now())),
            verdict: watch::Sender::default(),
            call_ended: Notify::new(),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Makes a call to the store, and records how it ends.
    pub(crate) async fn observe<T>(
        &self,
        call: StoreCall,
        calling: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let ticket = self.lock().call_sent(self.state.clock.now(), call);
        let open_call = OpenCall {
            monitor: self,
            ticket,
        };
        let result = calling.await;
        let change = self
            .lock()
            .call_ended(self.state.clock.now(), ticket, store_reply(&result));
        drop(open_call);
        self.publish(change);
        self.state.call_ended.notify_waiters();
        result
    }

    /// Makes an append like [`Self::observe`], and gives it up some time after the end of an outage. Without an
    /// answer by then, it is lost, and others wouldn't be sent before its timeout.
    pub(crate) async fn observe_append<T>(
        &self,
        appending: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        tokio::select! {
            result = self.observe(StoreCall::Append, appending) => result,
            () = self.recovered() => Err(StoreError::Unanswered),
        }
    }

    /// Waits for the next outage, and then until some time after its end.
    async fn recovered(&self) {
        let mut verdicts = self.subscribe();
        loop {
            let silent = |verdict: &StoreVerdict| *verdict == StoreVerdict::Silent;
            // The sender lives as long as the monitor, so that waiting doesn't fail.
            drop(verdicts.wait_for(silent).await);
            drop(verdicts.wait_for(|verdict| !verdict.is_outage()).await);
            if timeout(RECOVERY_GRACE, verdicts.wait_for(silent))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Records whether the leader reports that the store is slow to answer it.
    pub(crate) fn leader_reported(&self, is_slow: bool) {
        self.lock().leader_reported(self.state.clock.now(), is_slow);
    }

    /// Returns the verdict.
    pub(crate) fn verdict(&self) -> StoreVerdict {
        *self.state.verdict.borrow()
    }

    /// Returns a receiver of the verdicts.
    pub(crate) fn subscribe(&self) -> watch::Receiver<StoreVerdict> {
        self.state.verdict.subscribe()
    }

    /// Returns where a new job is sent.
    pub(crate) fn route(&self) -> JobRoute {
        self.lock().route(self.state.clock.now())
    }

    /// Returns the delay after which a client should try again.
    pub(crate) fn retry_delay(&self, random: u32) -> RetryDelay {
        let age = self.lock().outage_age(self.state.clock.now());
        age.map_or_else(RetryDelay::default, |age| {
            RetryDelay::during_outage(age, random)
        })
    }

    /// Records that the store answers a peer.
    fn peer_served(&self) {
        self.lock().peer_served(self.state.clock.now());
    }

    /// Returns whether peers should be asked now whether the store answers them.
    fn take_peer_probe(&self) -> bool {
        self.lock().take_peer_probe(self.state.clock.now())
    }

    /// Waits until the store has answered lately, or until an outage is known. Sends a probe if there has been
    /// no other call.
    pub(crate) async fn confirm<S: StoreClient>(&self, store: &S) {
        let confirmed = async {
            loop {
                let ended = self.state.call_ended.notified();
                let now = self.state.clock.now();
                if !self.lock().is_doubtful(now) {
                    return;
                }
                if self.lock().take_confirmation(now) {
                    self.spawn_probe(store);
                }
                // The verdict also changes without the end of a call.
                drop(timeout(CHECK_INTERVAL, ended).await);
            }
        };
        // After the limit, jobs are sent as if there were no doubt.
        drop(timeout(DOUBT_LIMIT, confirmed).await);
    }

    /// Sends a cheap read, whose end is recorded.
    fn spawn_probe<S: StoreClient>(&self, store: &S) {
        let (health, store) = (self.clone(), store.clone());
        tokio::spawn(async move {
            let probe = store.newest(LEADERS, None, PROBE_TIMEOUT);
            if let Err(error) = health.observe(StoreCall::Read, probe).await {
                log::debug!("probe of the store failed: {error}");
            }
        });
    }

    /// Judges what is known by now, and returns whether to send a probe.
    fn check(&self) -> bool {
        let now = self.state.clock.now();
        let (change, is_probe_due) = {
            let mut health = self.lock();
            (health.check(now), health.take_probe(now))
        };
        self.publish(change);
        is_probe_due
    }

    fn publish(&self, change: Option<VerdictChange>) {
        let Some(change) = change else {
            return;
        };
        // Changes that cross each other on the way here leave the newest verdict.
        self.state
            .verdict
            .send_modify(|verdict| *verdict = self.lock().verdict());
        self.state.metrics.record_store_verdict(self.verdict());
        log_change(&change);
    }

    fn lock(&self) -> MutexGuard<'_, StoreHealth> {
        let health = &self.state.health;
        health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets a call when it is dropped before its end.
#[derive(Debug)]
struct OpenCall<'a> {
    monitor: &'a HealthMonitor,
    ticket: CallTicket,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.monitor.lock().call_dropped(self.ticket);
    }
}

/// Checks for overdue answers, and probes the store if there are any, until the process ends.
pub(crate) async fn watch_store<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    loop {
        sleep(CHECK_INTERVAL).await;
        let health = &shared.context.store_health;
        if health.check() {
            health.spawn_probe(&shared.context.store);
        }
        if health.take_peer_probe() {
            tokio::spawn(probe_peers(Arc::clone(&shared)));
        }
    }
}

/// Asks the leader, or other nodes if this one leads, whether the store answers them.
async fn probe_peers<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let service = JobService::new(Arc::clone(&shared));
    // The leader is the first relay.
    let count = if shared.view().is_leading {
        RELAY_PEERS
    } else {
        1
    };
    for member in service.relays().into_iter().take(count) {
        let answer = shared.pool.probe_store(member.address, PEER_TIMEOUT).await;
        if answer == Ok(true) {
            shared.context.store_health.peer_served();
            return;
        }
    }
}

fn store_reply<T>(result: &Result<T, StoreError>) -> StoreReply {
    match result {
        Err(StoreError::Refused) => StoreReply::Refused,
        Err(StoreError::Unanswered) => StoreReply::Lost,
        // Any other error is an answer.
        Ok(_) | Err(_) => StoreReply::Served,
    }
}

fn log_change(change: &VerdictChange) {
    let is_outage = change.from.is_outage() || change.to.is_outage();
    let level = if is_outage {
        log::Level::Warn
    } else {
        log::Level::Info
    };
    log::log!(
        level,
        verdict:% = change.to,
        before:% = change.from,
        outage_ms = change.outage.map(whole_millis),
        unanswered = change.evidence.unanswered,
        refusals = change.evidence.refusals,
        last_answer_ms = whole_millis(change.evidence.last_answer),
        leader_slow = change.evidence.leader_slow;
        "verdict on the store has changed"
    );
}
