//! Serves requests with an idempotency key: dispatches each key at most once, and stores the answer
//! to replay it for repeated requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use geraniumshed_core::request::{
    AnswerCache, AnswerLookup, RequestTicket, TicketLedger, TicketVerdict, key_digest, key_shard,
    request_digest,
};
use geraniumshed_model::prelude::{
    DaemonIncarnation, ErrorKind, KeyDigest, RecordName, RequestDigest, RunOutcome, ShardId,
    ShardTerm,
};
use tokio::sync::oneshot;

use super::answer::{EntryAnswer, EntryError};
use super::body::RequestBody;
use super::buffered_answer::BufferedAnswer;
use super::dispatch::{ReadyRequest, RequestDispatch};
use super::forward::{KeyOwner, PeerForwarder};
use super::key_claim::{ClaimResult, KeyClaimer};
use super::key_log::KeyLog;
use super::shared::EntryShared;
use super::status::add_one;
use super::target::ServiceTarget;

/// The maximum number of tickets per call.
pub const TICKET_COUNT_LIMIT: u32 = 1000;

/// Serves the requests with idempotency keys that one daemon is responsible for.
#[derive(Debug)]
pub struct KeyedHandler<P, K> {
    /// The state that all requests of the daemon share.
    pub shared: Arc<EntryShared>,
    /// Forwards requests to the other daemons.
    pub forwarder: P,
    claimer: KeyClaimer<K>,
    answers: Mutex<KeyedAnswers>,
    tickets: Mutex<TicketLedger>,
}

/// The stored answers, and the requests that wait for the answer to an earlier one.
#[derive(Debug)]
struct KeyedAnswers {
    cache: AnswerCache<BufferedAnswer>,
    waiters: HashMap<KeyDigest, Vec<oneshot::Sender<BufferedAnswer>>>,
}

/// A request with an idempotency key and its complete body.
#[derive(Debug)]
pub struct KeyedRequest {
    /// The name of the binding or service in the caller's path.
    pub name: RecordName,
    /// The service.
    pub service: ServiceTarget,
    /// The key.
    pub key: String,
    /// The request, without its body.
    pub ready: ReadyRequest,
    /// The complete body.
    pub body: Bytes,
}

/// The daemon that has to dispatch a request with an idempotency key.
#[derive(Debug, Clone, Copy)]
pub enum KeyRoute {
    /// This daemon, since it issued the ticket.
    OwnTicket(RequestTicket),
    /// This daemon, since it owns the key's shard in this term.
    OwnKey(ShardId, ShardTerm),
    /// Another daemon, which rejects the request if the given incarnation isn't its own.
    Peer(SocketAddr, Option<DaemonIncarnation>),
}

impl<P: PeerForwarder, K: KeyLog> KeyedHandler<P, K> {
    /// Creates the handler; `secret` protects the tickets against forgery.
    pub fn new(shared: Arc<EntryShared>, forwarder: P, key_log: K, secret: u64) -> Self {
        let settings = &shared.settings;
        let cache = AnswerCache::open(settings.answer_window, settings.answer_total);
        let lifetime = settings.ticket_lifetime;
        let tickets = TicketLedger::open(shared.incarnation(), secret, lifetime);
        Self {
            forwarder,
            claimer: KeyClaimer::new(key_log, settings.key_append_interval),
            answers: Mutex::new(KeyedAnswers {
                cache,
                waiters: HashMap::new(),
            }),
            tickets: Mutex::new(tickets),
            shared,
        }
    }

    /// Issues tickets.
    pub fn issue(&self, count: u32) -> Vec<RequestTicket> {
        let mut tickets = self
            .tickets
            .lock()
            .expect("no thread panics while it holds the lock");
        tickets.issue(self.shared.now(), count)
    }

    /// Finds the daemon that has to dispatch a request with a key.
    ///
    /// # Errors
    ///
    /// Returns the error to send to the caller.
    pub fn route(&self, service: &RecordName, key: &str) -> Result<KeyRoute, EntryError> {
        if RequestTicket::is_ticket(key) {
            return self.route_ticket(key);
        }
        let shards = self.shared.settings.key_shards;
        let shard = key_shard(key_digest(service, key), shards);
        match self.forwarder.owner(shard) {
            KeyOwner::Own(term) => Ok(KeyRoute::OwnKey(shard, term)),
            KeyOwner::Peer(peer) => Ok(KeyRoute::Peer(peer, None)),
            KeyOwner::Unowned => Err(key_unchecked("no daemon owns the key's shard at present")),
        }
    }

    fn route_ticket(&self, key: &str) -> Result<KeyRoute, EntryError> {
        let ticket: RequestTicket = key.parse().map_err(|_| {
            let hint = "use a ticket from POST /tickets as it was issued";
            EntryError::new(ErrorKind::Malformed, "the ticket is malformed", hint)
        })?;
        if ticket.incarnation == self.shared.incarnation() {
            return Ok(KeyRoute::OwnTicket(ticket));
        }
        let incarnation = ticket.incarnation;
        match self.forwarder.issuer(incarnation) {
            Some(peer) => Ok(KeyRoute::Peer(peer, Some(incarnation))),
            None => Err(issuer_gone()),
        }
    }

    /// Serves a request that this daemon has to dispatch, in a background task that goes on if the
    /// caller disconnects.
    pub async fn serve(self: &Arc<Self>, request: KeyedRequest, route: KeyRoute) -> EntryAnswer {
        let this = Arc::clone(self);
        let served = tokio::spawn(async move { this.serve_or_replay(request, route).await });
        match served.await {
            Ok(Ok(answer)) => answer.into(),
            Ok(Err(error)) => error.into(),
            Err(_) => internal_error().into(),
        }
    }

    /// Dispatches a request, or returns the answer to an earlier one with the same key.
    async fn serve_or_replay(
        &self,
        request: KeyedRequest,
        route: KeyRoute,
    ) -> Result<BufferedAnswer, EntryError> {
        let key = key_digest(&request.service.service, &request.key);
        let ready = &request.ready;
        let digest = request_digest(ready.method.as_str(), &ready.target, &request.body);
        if let Some(waiter) = self.find_or_begin(key, digest)? {
            return self.wait_for_answer(waiter, request).await;
        }
        if let Err(error) = self.claim(key, digest, &request, route).await {
            let answer = BufferedAnswer::from_error(error);
            self.finish_not_run(key, &answer);
            return Ok(answer);
        }
        let answer = self.dispatch(request).await;
        if answer.outcome == RunOutcome::NotRun {
            self.release(key, route);
            self.finish_not_run(key, &answer);
        } else {
            self.finish(key, &answer);
        }
        Ok(answer)
    }

    /// Marks a key as being served, or returns the channel of its answer if the answer is stored or
    /// an earlier request is still being served.
    fn find_or_begin(
        &self,
        key: KeyDigest,
        digest: RequestDigest,
    ) -> Result<Option<oneshot::Receiver<BufferedAnswer>>, EntryError> {
        let mut answers = self.lock();
        match answers.cache.find(self.shared.now(), key, digest) {
            AnswerLookup::Unknown => {
                answers.cache.begin(key, digest);
                Ok(None)
            }
            AnswerLookup::Running => {
                let (sender, receiver) = oneshot::channel();
                answers.waiters.entry(key).or_default().push(sender);
                Ok(Some(receiver))
            }
            AnswerLookup::Replay(answer) => {
                add_one(&self.shared.counters.replayed);
                let (sender, receiver) = oneshot::channel();
                drop(sender.send(answer.replayed()));
                Ok(Some(receiver))
            }
            AnswerLookup::Mismatch => Err(mismatch()),
        }
    }

    /// Waits for the answer of an earlier request with the same key.
    async fn wait_for_answer(
        &self,
        waiter: oneshot::Receiver<BufferedAnswer>,
        request: KeyedRequest,
    ) -> Result<BufferedAnswer, EntryError> {
        let limit = request.ready.deadline.since(self.shared.now());
        match tokio::time::timeout(limit, waiter).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(internal_error()),
            Err(_) => Err(EntryError::new(
                ErrorKind::DeadlineAtEndpoint,
                "an earlier request with the same key is still being served",
                "send the request again with the same key",
            )),
        }
    }

    /// Claims the key, so that its request may be dispatched.
    async fn claim(
        &self,
        key: KeyDigest,
        digest: RequestDigest,
        request: &KeyedRequest,
        route: KeyRoute,
    ) -> Result<(), EntryError> {
        let now = self.shared.now();
        let result = match route {
            KeyRoute::OwnTicket(ticket) => {
                let mut tickets = self
                    .tickets
                    .lock()
                    .expect("no thread panics while it holds the lock");
                return ticket_result(tickets.consume(now, &ticket));
            }
            KeyRoute::OwnKey(shard, term) => {
                let limit = request.ready.deadline.since(now);
                self.claimer.claim(shard, term, key, digest, limit).await
            }
            KeyRoute::Peer(..) => ClaimResult::Unchecked,
        };
        claim_result(result)
    }

    /// Dispatches a request whose key is claimed, and collects its complete answer.
    async fn dispatch(&self, request: KeyedRequest) -> BufferedAnswer {
        // The request goes on if its caller disconnects, since the caller may retry and get the
        // stored answer.
        let (_connected, disconnect) = oneshot::channel();
        let mut ready = request.ready;
        ready.body = RequestBody::Buffered(request.body);
        let dispatch = RequestDispatch::new(&self.shared, &request.service, ready, disconnect);
        let answer = dispatch.run().await;
        BufferedAnswer::collect(answer, self.shared.settings.keyed_answer_limit).await
    }

    /// Makes a key usable again after its request did not run.
    fn release(&self, key: KeyDigest, route: KeyRoute) {
        match route {
            KeyRoute::OwnTicket(ticket) => {
                let mut tickets = self
                    .tickets
                    .lock()
                    .expect("no thread panics while it holds the lock");
                tickets.release(&ticket);
            }
            KeyRoute::OwnKey(shard, _) => self.claimer.release(shard, key),
            KeyRoute::Peer(..) => {}
        }
    }

    /// Stores an answer and sends it to all waiting requests with the same key.
    fn finish(&self, key: KeyDigest, answer: &BufferedAnswer) {
        let mut answers = self.lock();
        let size = answer.size();
        let now = self.shared.now();
        answers.cache.finish(now, key, answer.clone(), size);
        answers.notify_waiters(key, answer);
    }

    /// Sends an answer to all waiting requests with the same key, without storing it.
    fn finish_not_run(&self, key: KeyDigest, answer: &BufferedAnswer) {
        let mut answers = self.lock();
        answers.cache.forget(key);
        answers.notify_waiters(key, answer);
    }

    fn lock(&self) -> MutexGuard<'_, KeyedAnswers> {
        self.answers
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl KeyedAnswers {
    /// Sends an answer to all requests that wait for it.
    fn notify_waiters(&mut self, key: KeyDigest, answer: &BufferedAnswer) {
        for waiter in self.waiters.remove(&key).into_iter().flatten() {
            drop(waiter.send(answer.clone()));
        }
    }
}

fn ticket_result(verdict: TicketVerdict) -> Result<(), EntryError> {
    match verdict {
        TicketVerdict::Dispatch => Ok(()),
        TicketVerdict::Used | TicketVerdict::Expired => Err(key_expired()),
        TicketVerdict::Foreign => Err(EntryError::new(
            ErrorKind::Malformed,
            "the ticket was not issued by this system",
            "use a ticket from POST /tickets as it was issued",
        )),
    }
}

fn claim_result(result: ClaimResult) -> Result<(), EntryError> {
    match result {
        ClaimResult::Dispatch => Ok(()),
        ClaimResult::Used => Err(key_expired()),
        ClaimResult::Mismatch => Err(mismatch()),
        ClaimResult::Unconfirmed => Err(EntryError::new(
            ErrorKind::LogUnavailable,
            "the log did not confirm the key's claim",
            "send the request again later with the same key, or use a ticket",
        )),
        ClaimResult::Unchecked => Err(key_unchecked("the log of keys can't be read at present")),
    }
}

/// Returns the error for a key whose earlier use can't be checked.
pub fn key_unchecked(detail: &str) -> EntryError {
    let hint = "send the request again later with the same key, or use a ticket";
    EntryError::new(ErrorKind::KeyUnchecked, detail, hint)
}

/// Returns the error for a ticket whose issuing daemon is gone.
pub fn issuer_gone() -> EntryError {
    EntryError::new(
        ErrorKind::IssuerGone,
        "the daemon that issued the ticket is gone",
        "check whether the request ran before you send it again with a new ticket",
    )
}

fn key_expired() -> EntryError {
    EntryError::new(
        ErrorKind::KeyExpired,
        "the key was used before and its answer is no longer stored",
        "check whether the request ran before you send it again with a new key",
    )
}

fn mismatch() -> EntryError {
    let hint = "use a new key for each request";
    EntryError::new(
        ErrorKind::KeyMismatch,
        "the key was used before with a different request",
        hint,
    )
}

fn internal_error() -> EntryError {
    EntryError::new(ErrorKind::Internal, "the daemon failed", "tell an operator")
}
