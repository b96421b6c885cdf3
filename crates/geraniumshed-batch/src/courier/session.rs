//! The sessions of leaders with this node as their courier.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::worker::{WorkerCall, WorkerFailure};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::order::{CourierOrder, CourierReply, carry_out_in_time};
use crate::clock::{NodeClock, ReadMark, unix_millis};
use crate::site::WorkerCaller;
use crate::wire::{CourierReplyBatchWire, CourierRequestWire};

/// The longest time for which an answer to a request is held back until a worker has answered.
pub(super) const HOLD_TIME: Duration = Duration::from_millis(100);
/// The delay, above the shortest seen in the session, from which on a request counts as outdated: this
/// process or the way to it stood still, and the leader has given the calls up.
const STALE_DELAY: Duration = Duration::from_millis(400);
/// The time without a request after which a session is dropped.
const SESSION_LIFETIME: Duration = Duration::from_secs(10);

/// The sessions of leaders with this node. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct CourierSessions {
    sessions: Arc<Mutex<BTreeMap<u64, Arc<CourierSession>>>>,
}

/// A leader's session with this node.
#[derive(Debug)]
struct CourierSession {
    state: Mutex<SessionState>,
    /// Notified when a worker has answered, and when a newer request waits for answers.
    changed: Notify,
}

#[derive(Debug)]
struct SessionState {
    /// The number of requests so far.
    requests: u64,
    replies: Vec<(u64, CourierReply)>,
    /// The shortest delays of a request by the monotonic and the system clocks, in milliseconds. They
    /// contain the differences between the clocks of the two nodes.
    shortest_delays: Option<(i64, i64)>,
    last_request: Instant,
}

impl CourierSessions {
    /// Makes the calls of a request, and returns the answers of workers that are known by then or within
    /// a short time.
    pub(crate) async fn exchange<W: WorkerCaller>(
        &self,
        caller: &W,
        clock: NodeClock,
        request: CourierRequestWire,
    ) -> CourierReplyBatchWire {
        let session = self.session(request.session);
        let (turn, is_timely) = session.begin_request(clock, &request);
        if !is_timely {
            log::warn!(calls = request.calls.len(); "refusing outdated calls to workers for the leader");
        }
        for (number, call) in request.calls {
            let call = WorkerCall::<CourierOrder>::from(call);
            if is_timely {
                let session = Arc::clone(&session);
                tokio::spawn(session.make_call(caller.clone(), number, call, ReadMark::now()));
            } else {
                session.add_reply(number, call.body.failed(WorkerFailure::NotSent));
            }
        }
        session.collect(turn).await
    }

    /// Returns a session, and drops those that have ended.
    fn session(&self, number: u64) -> Arc<CourierSession> {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.retain(|_, session| session.lock().last_request.elapsed() < SESSION_LIFETIME);
        let session = sessions.entry(number).or_insert_with(CourierSession::open);
        Arc::clone(session)
    }
}

impl CourierSession {
    fn open() -> Arc<Self> {
        let state = SessionState {
            requests: 0,
            replies: Vec::new(),
            shortest_delays: None,
            last_request: Instant::now(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    /// Records a request. Returns its number and whether it arrived in time.
    fn begin_request(&self, clock: NodeClock, request: &CourierRequestWire) -> (u64, bool) {
        let monotonic = signed_delay(clock.now().0 / 1000, request.sent_ms);
        let system = signed_delay(unix_millis(), request.sent_unix_ms);
        let mut state = self.lock();
        state.requests += 1;
        state.last_request = Instant::now();
        let known = state.shortest_delays.unwrap_or((monotonic, system));
        let shortest = (known.0.min(monotonic), known.1.min(system));
        state.shortest_delays = Some(shortest);
        let excess = (monotonic - shortest.0).max(system - shortest.1);
        let is_timely = u128::from(excess.unsigned_abs()) < STALE_DELAY.as_millis();
        let turn = state.requests;
        drop(state);
        self.changed.notify_waiters();
        (turn, is_timely)
    }

    /// Makes a call, unless the process stood still since it arrived.
    async fn make_call<W: WorkerCaller>(
        self: Arc<Self>,
        caller: W,
        number: u64,
        call: WorkerCall<CourierOrder>,
        arrived: ReadMark,
    ) {
        let reply = carry_out_in_time(caller, call, arrived, STALE_DELAY).await;
        self.add_reply(number, reply);
    }

    fn add_reply(&self, number: u64, reply: CourierReply) {
        self.lock().replies.push((number, reply));
        self.changed.notify_waiters();
    }

    /// Takes the known answers. Waits for one if there is none, until a newer request waits.
    async fn collect(&self, turn: u64) -> CourierReplyBatchWire {
        let deadline = Instant::now() + HOLD_TIME;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers for notifications before the state is read.
            changed.as_mut().enable();
            if let Some(replies) = self.take_replies(turn) {
                return replies;
            }
            if timeout_at(deadline, changed).await.is_err() {
                return CourierReplyBatchWire::default();
            }
        }
    }

    /// Takes the known answers if there are any, or if a newer request waits for them.
    fn take_replies(&self, turn: u64) -> Option<CourierReplyBatchWire> {
        let mut state = self.lock();
        if state.requests > turn {
            return Some(CourierReplyBatchWire::default());
        }
        if state.replies.is_empty() {
            return None;
        }
        let replies = std::mem::take(&mut state.replies).into_iter();
        Some(CourierReplyBatchWire {
            replies: replies
                .map(|(number, reply)| (number, reply.into()))
                .collect(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn signed_delay(arrived_ms: u64, sent_ms: u64) -> i64 {
    arrived_ms.cast_signed().wrapping_sub(sent_ms.cast_signed())
}
