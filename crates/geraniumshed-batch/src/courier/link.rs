//! A leader's link to one of its couriers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::worker::{WorkerCall, WorkerFailure};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::order::{CourierOrder, CourierReply};
use super::roster::CourierRoster;
use super::session::HOLD_TIME;
use crate::clock::{NodeClock, unix_millis};
use crate::leader::{CallOrigin, LeaderHandle, deliver_reply};
use crate::peer::{PeerFailure, PeerPool};
use crate::wire::{CourierCallWire, CourierReplyBatchWire, CourierRequestWire};

/// The timeout of the first request, which shows whether a node can be a courier.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// The time, in addition to that for which an answer may be held back, after which a courier that
/// doesn't answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// The minimum interval between two requests with calls, during which calls accumulate.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// The number of requests that may wait for an answer.
const MAX_REQUESTS: usize = 3;
/// The time, in addition to that for which a worker may delay its answer, after which a call counts as
/// unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval between checks for calls without an answer.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// A leader's link to a courier. Clones share it. The courier gets no more calls once all are dropped.
#[derive(Debug, Clone)]
pub(crate) struct CourierLink {
    member: MemberIdentity,
    calls: mpsc::UnboundedSender<Vec<LinkCall>>,
    is_open: Arc<AtomicBool>,
}

/// A call to a worker, with what its answer is delivered with.
pub(crate) type LinkCall = (WorkerCall<CourierOrder>, CallOrigin);

impl CourierLink {
    /// Asks a node to be a courier, and spawns the link to it.
    ///
    /// # Errors
    ///
    /// Returns why the node didn't answer.
    pub(crate) async fn open(
        pool: PeerPool,
        member: MemberIdentity,
        clock: NodeClock,
        handle: LeaderHandle,
        roster: CourierRoster,
    ) -> Result<Self, PeerFailure> {
        let session = rand::random();
        let request = courier_request(session, clock, Vec::new());
        let limit = HOLD_TIME + OPEN_TIMEOUT;
        pool.call_workers(member.address, request, limit).await?;
        let (calls, receiver) = mpsc::unbounded_channel();
        let is_open = Arc::new(AtomicBool::new(true));
        let task = LinkTask {
            pool,
            address: member.address,
            session,
            clock,
            handle,
            roster,
            is_open: Arc::clone(&is_open),
            outbox: Vec::new(),
            pending: HashMap::new(),
            next_number: 0,
            next_request: Instant::now(),
            requests: JoinSet::new(),
        };
        tokio::spawn(task.run(receiver));
        Ok(Self {
            member,
            calls,
            is_open,
        })
    }

    /// Returns the courier.
    pub(crate) fn member(&self) -> &MemberIdentity {
        &self.member
    }

    /// Returns whether the courier answers.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Passes calls to the courier, and returns them if the link has just ended.
    pub(crate) fn send(&self, calls: Vec<LinkCall>) -> Vec<LinkCall> {
        match self.calls.send(calls) {
            Ok(()) => Vec::new(),
            Err(error) => error.0,
        }
    }
}

/// A call that was passed to the courier and isn't answered yet.
#[derive(Debug)]
struct PendingCall {
    origin: CallOrigin,
    address: SocketAddr,
    deadline: Instant,
}

/// The async task of a link.
#[derive(Debug)]
struct LinkTask {
    pool: PeerPool,
    address: SocketAddr,
    session: u64,
    clock: NodeClock,
    handle: LeaderHandle,
    roster: CourierRoster,
    is_open: Arc<AtomicBool>,
    /// The calls of the next request.
    outbox: Vec<(u64, CourierCallWire)>,
    pending: HashMap<u64, PendingCall>,
    next_number: u64,
    /// The earliest time of the next request with calls.
    next_request: Instant,
    requests: JoinSet<Result<CourierReplyBatchWire, PeerFailure>>,
}

impl LinkTask {
    /// Passes calls on until the leader drops the link, or the courier doesn't answer.
    async fn run(mut self, mut calls: mpsc::UnboundedReceiver<Vec<LinkCall>>) {
        let mut is_dropped = false;
        let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
        while !is_dropped || !self.pending.is_empty() {
            self.send_requests();
            let can_send = !self.outbox.is_empty() && self.requests.len() < MAX_REQUESTS;
            tokio::select! {
                received = calls.recv(), if !is_dropped => match received {
                    Some(received) => self.accept(received),
                    None => is_dropped = true,
                },
                Some(answer) = self.requests.join_next() => match answer {
                    Ok(Ok(batch)) => self.deliver(batch),
                    Ok(Err(failure)) => {
                        log::warn!(courier:% = self.address, calls = self.pending.len(), failure:? = failure; "courier does not answer; calling its workers directly");
                        break;
                    }
                    Err(error) => {
                        log::error!(courier:% = self.address, error:% = error; "request to a courier failed");
                        break;
                    }
                },
                () = sleep_until(self.next_request), if can_send => {}
                () = sleep_until(next_expiry) => {
                    self.expire_calls();
                    next_expiry = Instant::now() + EXPIRY_INTERVAL;
                }
            }
        }
        self.close(calls);
    }

    /// Sends a request if calls wait for one, or if none is left that could bring answers.
    fn send_requests(&mut self) {
        let now = Instant::now();
        let has_calls = !self.outbox.is_empty() && self.next_request <= now;
        let can_send = has_calls && self.requests.len() < MAX_REQUESTS;
        if !can_send && !self.requests.is_empty() {
            return;
        }
        let calls = std::mem::take(&mut self.outbox);
        let request = courier_request(self.session, self.clock, calls);
        self.next_request = now + REQUEST_INTERVAL;
        let (pool, address) = (self.pool.clone(), self.address);
        self.requests.spawn(async move {
            let limit = HOLD_TIME + ANSWER_TIMEOUT;
            pool.call_workers(address, request, limit).await
        });
    }

    /// Takes over calls of the leader.
    fn accept(&mut self, calls: Vec<LinkCall>) {
        let now = Instant::now();
        for (call, origin) in calls {
            let number = self.next_number;
            self.next_number += 1;
            let wait = match &call.body {
                CourierOrder::Renew(request) => request.wait,
                CourierOrder::Start(_) | CourierOrder::Stop(_) | CourierOrder::Pace(_) => {
                    Duration::ZERO
                }
            };
            let pending = PendingCall {
                origin,
                address: call.address,
                deadline: now + wait + CALL_TIMEOUT,
            };
            self.pending.insert(number, pending);
            self.outbox.push((number, call.into()));
        }
    }

    /// Delivers answers to the leader.
    fn deliver(&mut self, batch: CourierReplyBatchWire) {
        for (number, reply) in batch.replies {
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            let reply = CourierReply::from(reply);
            if reply.is_failure() {
                self.roster.call_directly(pending.address);
            }
            deliver_reply(&self.handle, pending.origin, reply);
        }
    }

    /// Gives up the calls whose time is over.
    fn expire_calls(&mut self) {
        let now = Instant::now();
        let expired = self
            .pending
            .extract_if(|_, pending| pending.deadline <= now);
        let expired: Vec<PendingCall> = expired.map(|(_, pending)| pending).collect();
        for pending in expired {
            self.fail(pending, WorkerFailure::Unanswered);
        }
    }

    /// Ends the link. Calls that were never sent have certainly had no effect.
    fn close(mut self, mut calls: mpsc::UnboundedReceiver<Vec<LinkCall>>) {
        self.is_open.store(false, Ordering::Relaxed);
        calls.close();
        while let Ok(late) = calls.try_recv() {
            self.accept(late);
        }
        for (number, _) in std::mem::take(&mut self.outbox) {
            if let Some(pending) = self.pending.remove(&number) {
                self.fail(pending, WorkerFailure::NotSent);
            }
        }
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.fail(pending, WorkerFailure::Unanswered);
        }
    }

    fn fail(&self, pending: PendingCall, failure: WorkerFailure) {
        self.roster.call_directly(pending.address);
        let reply = pending.origin.failed(failure);
        deliver_reply(&self.handle, pending.origin, reply);
    }
}

fn courier_request(
    session: u64,
    clock: NodeClock,
    calls: Vec<(u64, CourierCallWire)>,
) -> CourierRequestWire {
    CourierRequestWire {
        session,
        sent_ms: clock.now().0 / 1000,
        sent_unix_ms: unix_millis(),
        calls,
    }
}
