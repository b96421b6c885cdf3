//! The leader task, which feeds events to the planner, stores its changes and executes its actions.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::assignment::{
    CancelOutcome, JobPlanner, JobStatus, PlannerSettings, StepClass, StoreBatch, WaitForecast,
};
use geraniumshed_core::job::{JobId, QueueName, QueuePolicy};
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_core::site::ZoneEvacuations;
use geraniumshed_model::prelude::{TimePoint, whole_millis};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::dispatch::ActionDispatcher;
use super::event::{LeaderEvent, LeaderHandle, LeaderQuery, QueuedEvent};
use super::polling::{poll_requests, poll_workers};
use super::start_delays::StartDelayLog;
use super::step_timer::{StepPart, StepTimer};
use super::takeover::RecoveredState;
use super::writer::{BatchWriter, UnansweredSince};
use crate::clock::{NodeClock, ReadMark};
use crate::courier::CourierRoster;
use crate::forecast::ForecastBoard;
use crate::site::{RenewOutcome, SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::store_health::HealthMonitor;
use crate::store_monitor::StoreMonitor;
use crate::telemetry::NodeMetrics;

/// The minimum delay between appends, during which changes can accumulate.
const APPEND_INTERVAL: Duration = Duration::from_millis(15);
/// The minimum interval between steps, during which events can accumulate.
const STEP_INTERVAL: Duration = Duration::from_millis(3);
/// The maximum interval between advances of the planner.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between placement attempts without any event, since quarantines of workers expire.
const REVISIT_INTERVAL: Duration = Duration::from_millis(200);
/// The time that a leader that resigns waits for its last changes to be stored.
const FINAL_BATCH_TIMEOUT: Duration = Duration::from_millis(250);
/// The time after a read of new jobs until which the leader tells that a job doesn't exist, or how
/// many wait.
const REQUESTS_AGE_LIMIT: Duration = Duration::from_secs(2);
/// The time without an answer to an append after which other nodes are asked whether they reach the
/// store.
const STORE_PROBE_DELAY: Duration = Duration::from_millis(900);

/// The clients, clocks, metrics and settings that the leader task uses.
#[derive(Debug, Clone)]
pub(crate) struct LeaderContext<S, F, W> {
    /// The client of the store.
    pub(crate) store: S,
    /// The source of configurations and registered workers.
    pub(crate) feed: F,
    /// The client for calls to workers.
    pub(crate) caller: W,
    /// The clocks.
    pub(crate) clock: NodeClock,
    /// Whether the store is slow to store progress.
    pub(crate) progress_monitor: StoreMonitor,
    /// Whether the store serves this node.
    pub(crate) store_health: HealthMonitor,
    /// The counters and histograms.
    pub(crate) metrics: NodeMetrics,
    /// The planner's settings.
    pub(crate) settings: PlannerSettings,
    /// The nodes that call workers for this one while it leads.
    pub(crate) couriers: CourierRoster,
    /// The forecasts of waits that this node knows.
    pub(crate) forecasts: ForecastBoard,
}

/// The reason why the leader task has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderEnd {
    /// A later leader has taken over.
    Deposed,
    /// It was asked to resign, or another node is better placed to lead.
    Resigned,
}

/// Spawns the leader task, and returns its handle and the receiver of the reason of its end.
pub(crate) fn run<S, F, W>(
    context: LeaderContext<S, F, W>,
    term: LeaderTerm,
    recovered: RecoveredState,
    queues: BTreeMap<QueueName, QueuePolicy>,
    evacuations: ZoneEvacuations,
    probe_requests: mpsc::UnboundedSender<ProbeRequest>,
) -> (LeaderHandle, oneshot::Receiver<LeaderEnd>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let (handle, events) = LeaderHandle::open();
    // What the leader before has seen doesn't count any more.
    let now = context.clock.now();
    context.forecasts.publish(now, WaitForecast::default());
    let (batches, unanswered_since) = BatchWriter::spawn(&context, handle.clone(), term);
    let next_request = recovered.next_request;
    let store = context.store.clone();
    tokio::spawn(poll_requests(store, handle.clone(), next_request));
    tokio::spawn(poll_workers(context.feed.clone(), handle.clone()));
    let mut planner = JobPlanner::new(context.settings.clone(), term.first_token());
    planner.replace_queues(queues);
    planner.replace_evacuations(context.clock.planner_time(), evacuations);
    let dispatcher = ActionDispatcher {
        caller: context.caller,
        handle: handle.clone(),
        couriers: context.couriers,
        metrics: context.metrics.clone(),
        delays: StartDelayLog::default(),
    };
    let mut task = LeaderTask {
        dispatcher,
        clock: context.clock,
        metrics: context.metrics,
        forecasts: context.forecasts,
        progress_monitor: context.progress_monitor,
        handle: handle.clone(),
        planner,
        backlog: BTreeMap::new(),
        batches,
        unanswered_since,
        probe_requests,
        probed_at: None,
        stored_batch: 0,
        sent_batch: 0,
        next_append: Instant::now(),
        next_revisit: Instant::now(),
        next_step: Instant::now(),
        has_new_events: false,
        timer: StepTimer::default(),
        cancels: Vec::new(),
        requests_read: recovered.requests_read,
        // A successor may have been elected during a slow takeover.
        awake_at: recovered.requests_read,
    };
    task.restore(recovered);
    let (sender, end) = oneshot::channel();
    tokio::spawn(async move {
        let reason = task.run(events).await;
        if sender.send(reason).is_err() {
            log::debug!("leader task ended, but nothing waits for its end");
        }
    });
    (handle, end)
}

/// Asks whether other nodes reach the store, which doesn't answer this node.
///
/// The receiver calls [`LeaderHandle::yield_lead`] on the handle if one does.
#[derive(Debug, Clone)]
pub(crate) struct ProbeRequest {
    /// The handle of the leader task that asks.
    pub(crate) handle: LeaderHandle,
    /// Whether the store has answered since the request before.
    pub(crate) is_first: bool,
    /// Since when an append is unanswered.
    pub(crate) unanswered_since: Instant,
}

impl LeaderHandle {
    /// Asks the leader task to resign, since another node is better placed to lead.
    pub(crate) fn yield_lead(&self) {
        self.send(LeaderEvent::Yield);
    }

    /// Tells the leader task that a later leader has been elected.
    pub(crate) fn report_replaced(&self) {
        self.send(LeaderEvent::Deposed);
    }

    /// Tells the leader task that no successor had taken over at a time, although nothing can be stored.
    pub(crate) fn report_unreplaced(&self, at: TimePoint) {
        self.send(LeaderEvent::Unreplaced(at));
    }
}

#[derive(Debug)]
struct LeaderTask<W> {
    dispatcher: ActionDispatcher<W>,
    clock: NodeClock,
    metrics: NodeMetrics,
    forecasts: ForecastBoard,
    progress_monitor: StoreMonitor,
    handle: LeaderHandle,
    planner: JobPlanner,
    /// The number of waiting steps by priority and class, as it was last published.
    backlog: BTreeMap<(u32, StepClass), usize>,
    batches: mpsc::UnboundedSender<StoreBatch>,
    unanswered_since: UnansweredSince,
    probe_requests: mpsc::UnboundedSender<ProbeRequest>,
    /// When other nodes were last asked whether they reach the store, if an append is unanswered.
    probed_at: Option<Instant>,
    /// The number of the last batch that is stored.
    stored_batch: u64,
    /// The number of the last batch that was passed to the writer.
    sent_batch: u64,
    next_append: Instant,
    next_revisit: Instant,
    next_step: Instant,
    /// Whether events have been handled since the last step.
    has_new_events: bool,
    /// Measures what the steps take.
    timer: StepTimer,
    /// The cancellations that are answered once the batch with the given number is stored.
    cancels: Vec<(u64, CancelOutcome, oneshot::Sender<CancelOutcome>)>,
    /// All jobs that were stored before this moment are known.
    requests_read: ReadMark,
    /// When the task was last known to run.
    awake_at: ReadMark,
}

impl<W: WorkerCaller> LeaderTask<W> {
    /// Restores the recovered state in the planner.
    fn restore(&mut self, recovered: RecoveredState) {
        let now = self.clock.planner_time();
        self.planner.confirm_lead(recovered.led_at);
        log::info!(jobs = recovered.jobs.len(), ended_without_request = recovered.ended_without_request.len(); "leading with the jobs from the store");
        self.planner
            .restore_leases(now, recovered.leases_counted_from, recovered.leases);
        self.planner.restore_queues(recovered.queues);
        for (id, request, stored) in recovered.jobs {
            match stored {
                Some(stored) => self.planner.restore(now, id, request, stored),
                None => self.planner.submit(id, request),
            }
        }
        for (id, crashes) in recovered.crashes {
            self.planner.restore_crashes(id, crashes);
        }
        self.planner.restore_waits(now, recovered.waits);
        self.planner.restore_tracks(now.point, recovered.tracks);
        self.planner.restore_interference(recovered.interference);
        for (id, stored) in recovered.ended_without_request {
            self.planner.restore_ended(id, stored);
        }
        for id in recovered.cancelled {
            let outcome = self.planner.cancel(now, id);
            log::info!(job:% = id, outcome:? = outcome; "applied a cancellation that was active on a node during the takeover");
        }
    }

    /// Handles events and takes steps until the leader has to end.
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<QueuedEvent>) -> LeaderEnd {
        loop {
            if self.next_step <= Instant::now() {
                self.step();
                self.next_step = Instant::now() + STEP_INTERVAL;
            }
            let wake = self.wake_at();
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else {
                        return LeaderEnd::Resigned;
                    };
                    self.has_new_events = true;
                    if let Some(end) = self.handle_events(event, &mut events) {
                        return self.finish(end, events).await;
                    }
                }
                () = sleep_until(wake) => {}
            }
        }
    }

    /// Handles an event and all that are queued behind it. Returns the reason if the leader task has
    /// to end.
    fn handle_events(
        &mut self,
        first: QueuedEvent,
        events: &mut mpsc::UnboundedReceiver<QueuedEvent>,
    ) -> Option<LeaderEnd> {
        self.watch_stalls();
        let begun = Instant::now();
        let mut next = Some(first);
        while let Some(queued) = next {
            self.timer
                .record_event(begun.duration_since(queued.sent_at));
            let end = self.handle_event(queued.event);
            if end.is_some() {
                return end;
            }
            next = events.try_recv().ok();
        }
        self.timer.record_part(StepPart::Events, begun.elapsed());
        None
    }

    /// Stores what has changed if the leader resigns, orders the placements in it, and returns the
    /// reason of its end. Otherwise, the successor would have to find out again which runs were given
    /// up, and which were placed but don't exist.
    async fn finish(
        mut self,
        end: LeaderEnd,
        mut events: mpsc::UnboundedReceiver<QueuedEvent>,
    ) -> LeaderEnd {
        // A slow store would only delay the successor.
        if end != LeaderEnd::Resigned || self.progress_monitor.is_slow() {
            return end;
        }
        let deadline = Instant::now() + FINAL_BATCH_TIMEOUT;
        let mut is_stored = self.await_batches(&mut events, deadline).await;
        if is_stored && let Some(batch) = self.planner.take_final_batch(self.clock.planner_time()) {
            self.sent_batch = batch.number;
            is_stored =
                self.batches.send(batch).is_ok() && self.await_batches(&mut events, deadline).await;
        }
        if !is_stored {
            log::info!(batch = self.sent_batch; "resigning before the last changes are stored");
        }
        end
    }

    /// Waits until all batches that were sent are stored, and orders the placements in them. Returns
    /// whether they are stored. Other events and queries are for the successor.
    async fn await_batches(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<QueuedEvent>,
        deadline: Instant,
    ) -> bool {
        while self.stored_batch < self.sent_batch {
            let Ok(Some(event)) = timeout_at(deadline, events.recv()).await else {
                return false;
            };
            if let LeaderEvent::BatchStored(number) = event.event {
                self.batch_stored(number);
                self.execute_actions();
            }
        }
        true
    }

    /// Suspends starts and extensions of leases if the process has stood still for so long that a
    /// successor may have been elected.
    fn watch_stalls(&mut self) {
        let stalled = self.awake_at.age();
        self.awake_at = ReadMark::now();
        if self.planner.process_stalled(self.clock.now(), stalled) {
            log::warn!(stalled_ms = whole_millis(stalled); "process stood still; confirming that it leads before it orders anything");
        }
    }

    /// Advances the planner, stores its changes and executes its actions.
    fn step(&mut self) {
        self.watch_stalls();
        self.has_new_events = false;
        let now = Instant::now();
        if self.next_revisit <= now {
            self.next_revisit = now + REVISIT_INTERVAL;
            self.planner.request_placement();
        }
        // A slow store prolongs a takeover, so leases have to last longer.
        self.planner.prolong_leases(self.progress_monitor.is_slow());
        self.planner.advance(self.clock.planner_time());
        if let Some(forecast) = self.planner.take_forecast() {
            self.forecasts.publish(self.clock.now(), forecast);
        }
        let advanced = Instant::now();
        self.timer
            .record_part(StepPart::Plan, advanced.duration_since(now));
        if self.stored_batch == self.sent_batch
            && self.next_append <= now
            && let Some(batch) = self.planner.take_batch(self.clock.planner_time())
        {
            self.sent_batch = batch.number;
            self.next_append = now + APPEND_INTERVAL;
            if self.batches.send(batch).is_err() {
                log::debug!("the writer has ended, and its event ends the leader task");
            }
        }
        let collected = Instant::now();
        self.timer
            .record_part(StepPart::Collect, collected.duration_since(advanced));
        self.execute_actions();
        self.timer.record_part(StepPart::Order, collected.elapsed());
        self.timer
            .finish_step(now, self.planner.work(), &self.metrics);
        self.record_backlog();
        self.dispatcher.delays.log_due(now);
        self.probe_stalled_store(now);
    }

    /// Publishes the number of waiting steps if it has changed.
    fn record_backlog(&mut self) {
        let counts = self.planner.backlog();
        if *counts != self.backlog {
            self.metrics.record_backlog(counts);
            self.backlog.clone_from(counts);
        }
    }

    fn execute_actions(&mut self) {
        let actions = self.planner.take_actions();
        self.dispatcher.execute(actions);
    }

    /// Returns when the next step is due without any event.
    fn wake_at(&self) -> Instant {
        if self.has_new_events {
            return self.next_step;
        }
        let advance = Instant::now() + ADVANCE_INTERVAL;
        if self.stored_batch == self.sent_batch && self.planner.has_changes() {
            return advance.min(self.next_append);
        }
        advance
    }

    /// Asks other nodes whether they reach the store if an append has been unanswered for too long.
    fn probe_stalled_store(&mut self, now: Instant) {
        let Some(since) = *self.unanswered_since.borrow() else {
            self.probed_at = None;
            return;
        };
        let last = self.probed_at.map_or(since, |asked| asked.max(since));
        if now.duration_since(last) < STORE_PROBE_DELAY {
            return;
        }
        let request = ProbeRequest {
            handle: self.handle.clone(),
            is_first: self.probed_at.is_none(),
            unanswered_since: since,
        };
        self.probed_at = Some(now);
        let waited_ms = whole_millis(now.duration_since(since));
        log::warn!(waited_ms; "store leaves an append unanswered; asking other nodes");
        if self.probe_requests.send(request).is_err() {
            log::debug!(
                "dropped a probe request, since the node no longer supervises the leader task"
            );
        }
    }

    /// Passes an event to the planner, and returns the reason if the leader task has to end.
    fn handle_event(&mut self, event: LeaderEvent) -> Option<LeaderEnd> {
        let now = self.clock.planner_time();
        match event {
            LeaderEvent::Submitted(requests) => {
                for (id, request) in requests {
                    self.planner.submit(id, request);
                }
            }
            LeaderEvent::RequestsRead(mark) => self.requests_read = mark,
            LeaderEvent::WorkersListed(listings) => {
                self.planner.replace_workers(now, listings);
                let count = self.planner.worker_count();
                self.dispatcher.couriers.set_worker_count(count);
            }
            LeaderEvent::WorkersChanged(changes) => self.planner.update_workers(now, changes),
            LeaderEvent::StartAnswered(worker, task, run, reply) => {
                self.planner.start_answered(now, &worker, task, run, reply);
            }
            LeaderEvent::StopAnswered(worker, reply) => {
                self.planner.stop_answered(now, &worker, reply);
            }
            LeaderEvent::RenewAnswered(worker, sent, outcome) => match outcome {
                RenewOutcome::Answered(reply) => {
                    self.planner.renewal_answered(now, &worker, sent, reply);
                }
                RenewOutcome::OtherWorker => self.planner.renewal_failed(now, &worker, sent, true),
                RenewOutcome::Failed(_) => self.planner.renewal_failed(now, &worker, sent, false),
                RenewOutcome::Fenced => {
                    if self.planner.is_newest_token(&worker, sent) {
                        log::warn!(worker:% = worker, token:? = sent.token; "worker rejected the fencing token, since a later leader has called it");
                        return Some(LeaderEnd::Deposed);
                    }
                    self.planner.renewal_failed(now, &worker, sent, false);
                }
            },
            LeaderEvent::AdviceAnswered(request, reply) => {
                self.planner.advice_answered(now, &request, reply);
            }
            LeaderEvent::BatchStored(number) => self.batch_stored(number),
            LeaderEvent::QueuesChanged(queues) => self.planner.replace_queues(queues),
            LeaderEvent::EvacuationsChanged(evacuations) => {
                self.planner.replace_evacuations(now, evacuations);
            }
            LeaderEvent::Query(query) => self.answer(query),
            LeaderEvent::Deposed => return Some(LeaderEnd::Deposed),
            LeaderEvent::Unreplaced(at) => {
                log::warn!("nothing can be stored, and no other node leads; leases are extended");
                self.planner.resume_leases(at);
            }
            LeaderEvent::Yield | LeaderEvent::Resign => {
                self.planner.hand_over(now);
                self.execute_actions();
                return Some(LeaderEnd::Resigned);
            }
        }
        None
    }

    /// Records a stored batch, and answers the cancellations that it contains.
    fn batch_stored(&mut self, number: u64) {
        self.watch_stalls();
        self.stored_batch = number;
        self.planner.batch_stored(self.clock.planner_time(), number);
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.cancels)
            .into_iter()
            .partition(|(batch, ..)| *batch <= number);
        self.cancels = waiting;
        for (_, outcome, sender) in done {
            reply(sender, outcome);
        }
    }

    /// Answers a client's query; a cancellation is answered once it is stored. A query is dropped, so
    /// that it is repeated, if jobs that were stored meanwhile could change the answer.
    fn answer(&mut self, query: LeaderQuery) {
        let knows_all_jobs = self.requests_read.age() < REQUESTS_AGE_LIMIT;
        match query {
            LeaderQuery::Status(id, sender) => match self.planner.status(id) {
                JobStatus::Unknown if !knows_all_jobs => {
                    log::info!(job:% = id; "new jobs have not been read for too long to tell that there is no such job");
                }
                status => reply(sender, status),
            },
            LeaderQuery::Pending(queue, _) if !knows_all_jobs => {
                log::info!(queue:% = queue; "new jobs have not been read for too long to count them");
            }
            LeaderQuery::Pending(queue, sender) => {
                reply(sender, self.planner.pending_count(&queue));
            }
            LeaderQuery::Cancel(id, sender) => self.cancel(id, sender),
        }
    }

    fn cancel(&mut self, id: JobId, sender: oneshot::Sender<CancelOutcome>) {
        let outcome = self.planner.cancel(self.clock.planner_time(), id);
        match outcome {
            CancelOutcome::StoredBy(batch) | CancelOutcome::WithdrawnBy(batch) => {
                self.cancels.push((batch, outcome, sender));
            }
            CancelOutcome::Unknown | CancelOutcome::AlreadyEnded => reply(sender, outcome),
        }
    }
}

/// Answers a query. The answer is dropped if the caller no longer waits.
fn reply<T>(sender: oneshot::Sender<T>, answer: T) {
    if sender.send(answer).is_err() {
        log::debug!("a client disconnected before its query was answered");
    }
}
