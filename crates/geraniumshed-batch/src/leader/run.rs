//! The leader's task: events go to the planner, and what it decides is stored and carried out.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::assignment::{CancelOutcome, JobPlanner, PlannerSettings, StoreBatch};
use geraniumshed_core::job::{JobId, QueueName, QueuePolicy};
use geraniumshed_core::membership::LeaderTerm;
use geraniumshed_model::prelude::whole_millis;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::calls::carry_out;
use super::event::{LeaderEvent, LeaderHandle, LeaderQuery};
use super::feeds::{feed_requests, feed_workers};
use super::load::TakeOver;
use super::writer::{BatchWriter, WaitingSince};
use crate::clock::NodeClock;
use crate::pace::StorePace;
use crate::site::{RenewOutcome, SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::telemetry::NodeMetrics;

/// The time between two appends, in which changes gather.
const APPEND_GAP: Duration = Duration::from_millis(15);
/// The shortest time between two steps, in which events gather.
const STEP_GAP: Duration = Duration::from_millis(3);
/// The longest time between two advances of the planner.
const ADVANCE_PAUSE: Duration = Duration::from_millis(50);
/// The time between two placements without any event, since pauses end with time.
const REVISIT_PAUSE: Duration = Duration::from_millis(200);
/// The time for which an append may wait before other nodes are asked whether the store answers.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// What the leader's task works with.
#[derive(Debug, Clone)]
pub(crate) struct LeaderContext<S, F, W> {
    /// The store.
    pub(crate) store: S,
    /// What the platform publishes.
    pub(crate) feed: F,
    /// The calls to workers.
    pub(crate) caller: W,
    /// The clocks.
    pub(crate) clock: NodeClock,
    /// How long the store takes for progress.
    pub(crate) progress_pace: StorePace,
    /// The counters and histograms.
    pub(crate) metrics: NodeMetrics,
    /// The planner's settings.
    pub(crate) settings: PlannerSettings,
}

/// Why the leader's task has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderEnd {
    /// A later leader has taken over.
    Deposed,
    /// It was asked to resign, or another node is better placed.
    Resigned,
}

/// Spawns the leader's task and returns its handle and the channel on which its end is told.
pub(crate) fn run<S, F, W>(
    context: LeaderContext<S, F, W>,
    term: LeaderTerm,
    found: TakeOver,
    queues: BTreeMap<QueueName, QueuePolicy>,
    silence: mpsc::UnboundedSender<StoreQuestion>,
) -> (LeaderHandle, oneshot::Receiver<LeaderEnd>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let (handle, events) = LeaderHandle::open();
    let (batches, waiting) = BatchWriter::spawn(&context, handle.clone(), term);
    let next_request = found.next_request;
    let store = context.store.clone();
    tokio::spawn(feed_requests(store, handle.clone(), next_request));
    tokio::spawn(feed_workers(context.feed.clone(), handle.clone()));
    let mut planner = JobPlanner::new(context.settings.clone(), term.first_token());
    planner.replace_queues(queues);
    let mut task = LeaderTask {
        caller: context.caller,
        clock: context.clock,
        metrics: context.metrics,
        progress_pace: context.progress_pace,
        handle: handle.clone(),
        planner,
        batches,
        waiting,
        silence,
        asked_at: None,
        stored: 0,
        sent: 0,
        next_append: Instant::now(),
        next_revisit: Instant::now(),
        next_step: Instant::now(),
        has_news: false,
        cancels: Vec::new(),
    };
    task.restore(found);
    let (sender, end) = oneshot::channel();
    tokio::spawn(async move {
        let reason = task.run(events).await;
        if sender.send(reason).is_err() {
            log::debug!("nobody waits for the end of the leader's task");
        }
    });
    (handle, end)
}

/// The leader's question whether other nodes reach the store, which doesn't answer here.
///
/// If one does, [`LeaderHandle::outpace`] is called on the handle.
#[derive(Debug, Clone)]
pub(crate) struct StoreQuestion(pub(crate) LeaderHandle);

impl LeaderHandle {
    /// Tells the leader that another node reaches the store while it doesn't.
    pub(crate) fn outpace(&self) {
        self.send(LeaderEvent::Outpaced);
    }
}

#[derive(Debug)]
struct LeaderTask<W> {
    caller: W,
    clock: NodeClock,
    metrics: NodeMetrics,
    progress_pace: StorePace,
    handle: LeaderHandle,
    planner: JobPlanner,
    batches: mpsc::UnboundedSender<StoreBatch>,
    waiting: WaitingSince,
    silence: mpsc::UnboundedSender<StoreQuestion>,
    /// When other nodes were last asked whether they reach the store.
    asked_at: Option<Instant>,
    stored: u64,
    sent: u64,
    next_append: Instant,
    next_revisit: Instant,
    next_step: Instant,
    /// Whether events have come since the last step.
    has_news: bool,
    /// Cancellations that are answered once a batch is stored.
    cancels: Vec<(u64, CancelOutcome, oneshot::Sender<CancelOutcome>)>,
}

impl<W: WorkerCaller> LeaderTask<W> {
    fn restore(&mut self, found: TakeOver) {
        let now = self.clock.moment();
        log::info!(jobs = found.jobs.len(), withdrawn = found.withdrawn.len(); "leading with the jobs from the store");
        for (id, request, image) in found.jobs {
            match image {
                Some(image) => self.planner.restore(now, id, request, image),
                None => self.planner.submit(id, request),
            }
        }
        self.planner.restore_interference(found.interference);
        for (id, cancelled_unix_ms) in found.withdrawn {
            self.planner.restore_withdrawn(id, cancelled_unix_ms);
        }
        for id in found.cancelled {
            let outcome = self.planner.cancel(now, id);
            log::info!(job:% = id, outcome:? = outcome; "cancellation was pursued by another node");
        }
    }

    async fn run(mut self, mut events: mpsc::UnboundedReceiver<LeaderEvent>) -> LeaderEnd {
        loop {
            if self.next_step <= Instant::now() {
                self.step();
                self.next_step = Instant::now() + STEP_GAP;
            }
            let wake = self.wake_at();
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else {
                        return LeaderEnd::Resigned;
                    };
                    if let Some(end) = self.handle_event(event) {
                        return end;
                    }
                    self.has_news = true;
                    while let Ok(event) = events.try_recv() {
                        if let Some(end) = self.handle_event(event) {
                            return end;
                        }
                    }
                }
                () = sleep_until(wake) => {}
            }
        }
    }

    /// Advances the planner, stores its changes and carries its calls out.
    fn step(&mut self) {
        self.has_news = false;
        let now = Instant::now();
        if self.next_revisit <= now {
            self.next_revisit = now + REVISIT_PAUSE;
            self.planner.revisit();
        }
        // A takeover takes longer while the store is slow.
        self.planner.prolong_leases(self.progress_pace.is_slow());
        self.planner.advance(self.clock.moment());
        if self.stored == self.sent
            && self.next_append <= now
            && let Some(batch) = self.planner.take_batch(self.clock.moment())
        {
            self.sent = batch.number;
            self.next_append = now + APPEND_GAP;
            if self.batches.send(batch).is_err() {
                log::debug!("the writer has ended; its event tells why");
            }
        }
        self.carry_out_actions();
        self.watch_store(now);
    }

    fn carry_out_actions(&mut self) {
        for action in self.planner.take_actions() {
            carry_out(&self.caller, &self.handle, &self.metrics, action);
        }
    }

    /// Returns when the next step is due without any event.
    fn wake_at(&self) -> Instant {
        if self.has_news {
            return self.next_step;
        }
        let advance = Instant::now() + ADVANCE_PAUSE;
        if self.stored == self.sent && self.planner.has_changes() {
            return advance.min(self.next_append);
        }
        advance
    }

    /// Asks other nodes whether they reach the store, if it doesn't answer here.
    fn watch_store(&mut self, now: Instant) {
        let Some(since) = *self.waiting.borrow() else {
            self.asked_at = None;
            return;
        };
        let last = self.asked_at.map_or(since, |asked| asked.max(since));
        if now.duration_since(last) < STORE_SILENCE_LIMIT {
            return;
        }
        self.asked_at = Some(now);
        let waited_ms = whole_millis(now.duration_since(since));
        log::warn!(waited_ms; "store leaves an append unanswered; asking other nodes");
        let question = StoreQuestion(self.handle.clone());
        if self.silence.send(question).is_err() {
            log::debug!("the node is stopping");
        }
    }

    fn handle_event(&mut self, event: LeaderEvent) -> Option<LeaderEnd> {
        let now = self.clock.moment();
        match event {
            LeaderEvent::Submitted(requests) => {
                for (id, request) in requests {
                    self.planner.submit(id, request);
                }
            }
            LeaderEvent::Listed(listings) => self.planner.list_workers(now, listings),
            LeaderEvent::WorkersChanged(changes) => self.planner.update_workers(now, changes),
            LeaderEvent::StartAnswered(worker, task, run, reply) => {
                self.planner.start_answered(now, &worker, task, run, reply);
            }
            LeaderEvent::StopAnswered(worker, reply) => self.planner.stop_answered(&worker, reply),
            LeaderEvent::RenewAnswered(worker, mark, outcome) => match outcome {
                RenewOutcome::Answered(reply) => {
                    self.planner.renewal_answered(now, &worker, mark, reply);
                }
                RenewOutcome::OtherWorker => self.planner.renewal_failed(now, &worker, mark, true),
                RenewOutcome::Failed(_) => self.planner.renewal_failed(now, &worker, mark, false),
                RenewOutcome::Fenced => {
                    if self.planner.is_newest_token(&worker, mark) {
                        log::warn!(worker:% = worker, token:? = mark.token; "worker has seen the token of a later leader");
                        return Some(LeaderEnd::Deposed);
                    }
                    self.planner.renewal_failed(now, &worker, mark, false);
                }
            },
            LeaderEvent::Advised(request, reply) => {
                self.planner.advice_answered(now, &request, reply);
            }
            LeaderEvent::Stored(number) => self.batch_stored(number),
            LeaderEvent::Queues(queues) => self.planner.replace_queues(queues),
            LeaderEvent::Query(query) => self.answer(query),
            LeaderEvent::Deposed => return Some(LeaderEnd::Deposed),
            LeaderEvent::Outpaced | LeaderEvent::Resign => {
                self.planner.hand_over(now);
                self.carry_out_actions();
                return Some(LeaderEnd::Resigned);
            }
        }
        None
    }

    fn batch_stored(&mut self, number: u64) {
        self.stored = number;
        self.planner.batch_stored(self.clock.moment(), number);
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.cancels)
            .into_iter()
            .partition(|(batch, ..)| *batch <= number);
        self.cancels = waiting;
        for (_, outcome, sender) in done {
            reply(sender, outcome);
        }
    }

    fn answer(&mut self, query: LeaderQuery) {
        match query {
            LeaderQuery::Status(id, sender) => reply(sender, self.planner.status(id)),
            LeaderQuery::Pending(queue, sender) => {
                reply(sender, self.planner.pending_count(&queue));
            }
            LeaderQuery::Cancel(id, sender) => self.cancel(id, sender),
        }
    }

    fn cancel(&mut self, id: JobId, sender: oneshot::Sender<CancelOutcome>) {
        let outcome = self.planner.cancel(self.clock.moment(), id);
        match outcome {
            CancelOutcome::StoredBy(batch) | CancelOutcome::WithdrawnBy(batch) => {
                self.cancels.push((batch, outcome, sender));
            }
            CancelOutcome::Unknown | CancelOutcome::AlreadyEnded => reply(sender, outcome),
        }
    }
}

/// Answers a query; a caller that has gone needs no answer.
fn reply<T>(sender: oneshot::Sender<T>, answer: T) {
    if sender.send(answer).is_err() {
        log::debug!("a client went before its answer was there");
    }
}
