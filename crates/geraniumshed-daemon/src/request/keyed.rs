//! Requests with an idempotency key: dispatched at most once, their answers kept and replayed.

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
use super::flight::{ReadyRequest, RequestFlight};
use super::forward::{KeyOwner, PeerForwarder};
use super::kept::KeptAnswer;
use super::key_log::KeyLog;
use super::key_shard::{ClaimResult, KeyKeeper};
use super::shared::EntryShared;
use super::status::add_one;
use super::target::ServiceTarget;

/// The tickets that one call may ask for.
pub const TICKET_COUNT_LIMIT: u32 = 1000;

/// The idempotency keys of one daemon.
#[derive(Debug)]
pub struct KeyedEntry<P, K> {
    /// The parts of the daemon that all requests share.
    pub shared: Arc<EntryShared>,
    /// The way to the other daemons.
    pub forwarder: P,
    keeper: KeyKeeper<K>,
    answers: Mutex<KeyedAnswers>,
    tickets: Mutex<TicketLedger>,
}

/// The answers that are kept, and those who wait for one.
#[derive(Debug)]
struct KeyedAnswers {
    window: AnswerCache<KeptAnswer>,
    waiters: HashMap<KeyDigest, Vec<oneshot::Sender<KeptAnswer>>>,
}

/// A whole request with an idempotency key.
#[derive(Debug)]
pub struct KeyedRequest {
    /// The name by which the caller called the service.
    pub name: RecordName,
    /// The service.
    pub service: ServiceTarget,
    /// The key.
    pub key: String,
    /// The request.
    pub ready: ReadyRequest,
    /// The bytes of the body.
    pub body: Bytes,
}

/// Who has to dispatch a keyed request.
#[derive(Debug, Clone, Copy)]
pub enum KeyRoute {
    /// This daemon, by a ticket that it issued.
    OwnTicket(RequestTicket),
    /// This daemon, as the owner of the key's shard.
    OwnKey(ShardId, ShardTerm),
    /// Another daemon, which refuses the request if it is not of the incarnation.
    Peer(SocketAddr, Option<DaemonIncarnation>),
}

impl<P: PeerForwarder, K: KeyLog> KeyedEntry<P, K> {
    /// Opens the keys of a daemon.
    pub fn open(shared: Arc<EntryShared>, forwarder: P, key_log: K, secret: u64) -> Self {
        let settings = &shared.settings;
        let window = AnswerCache::open(settings.answer_window, settings.answer_total);
        let lifetime = settings.ticket_lifetime;
        let tickets = TicketLedger::open(shared.incarnation(), secret, lifetime);
        Self {
            forwarder,
            keeper: KeyKeeper::open(key_log, settings.key_append_interval),
            answers: Mutex::new(KeyedAnswers {
                window,
                waiters: HashMap::new(),
            }),
            tickets: Mutex::new(tickets),
            shared,
        }
    }

    /// Issues tickets.
    pub fn issue(&self, count: u32) -> Vec<RequestTicket> {
        let mut tickets = self.tickets.lock().expect("no decision panics");
        tickets.issue(self.shared.now(), count)
    }

    /// Finds who has to dispatch a request with a key.
    ///
    /// # Errors
    ///
    /// Returns the error that the caller is answered with.
    pub fn route(&self, service: &RecordName, key: &str) -> Result<KeyRoute, EntryError> {
        if RequestTicket::is_ticket(key) {
            return self.route_ticket(key);
        }
        let shards = self.shared.settings.key_shards;
        let shard = key_shard(key_digest(service, key), shards);
        match self.forwarder.owner(shard) {
            KeyOwner::Own(term) => Ok(KeyRoute::OwnKey(shard, term)),
            KeyOwner::Peer(peer) => Ok(KeyRoute::Peer(peer, None)),
            KeyOwner::Nobody => Err(unchecked("no daemon holds the key's shard now")),
        }
    }

    fn route_ticket(&self, key: &str) -> Result<KeyRoute, EntryError> {
        let ticket: RequestTicket = key.parse().map_err(|_| {
            let hint = "use a ticket from POST /tickets as it was issued";
            EntryError::new(ErrorKind::Malformed, "the ticket can't be read", hint)
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

    /// Serves a request whose key is this daemon's, in a task that outlives the caller.
    pub async fn serve(self: &Arc<Self>, request: KeyedRequest, route: KeyRoute) -> EntryAnswer {
        let this = Arc::clone(self);
        let served = tokio::spawn(async move { this.serve_once(request, route).await });
        match served.await {
            Ok(Ok(answer)) => answer.into(),
            Ok(Err(error)) => error.into(),
            Err(_) => internal().into(),
        }
    }

    async fn serve_once(
        &self,
        request: KeyedRequest,
        route: KeyRoute,
    ) -> Result<KeptAnswer, EntryError> {
        let key = key_digest(&request.service.service, &request.key);
        let ready = &request.ready;
        let digest = request_digest(ready.method.as_str(), &ready.target, &request.body);
        if let Some(waiter) = self.find_or_begin(key, digest)? {
            return self.wait_for(waiter, request).await;
        }
        if let Err(error) = self.claim(key, digest, &request, route).await {
            let answer = KeptAnswer::from_error(error);
            self.finish_unrun(key, &answer);
            return Ok(answer);
        }
        let answer = self.dispatch(request).await;
        if answer.outcome == RunOutcome::NotRun {
            self.release(key, route);
            self.finish_unrun(key, &answer);
        } else {
            self.finish(key, &answer);
        }
        Ok(answer)
    }

    /// Begins to serve a key, or returns what to wait for if its answer is there or on its way.
    fn find_or_begin(
        &self,
        key: KeyDigest,
        digest: RequestDigest,
    ) -> Result<Option<oneshot::Receiver<KeptAnswer>>, EntryError> {
        let mut answers = self.lock();
        match answers.window.find(self.shared.now(), key, digest) {
            AnswerLookup::Unknown => {
                answers.window.begin(key, digest);
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
    async fn wait_for(
        &self,
        waiter: oneshot::Receiver<KeptAnswer>,
        request: KeyedRequest,
    ) -> Result<KeptAnswer, EntryError> {
        let limit = request.ready.deadline.since(self.shared.now());
        match tokio::time::timeout(limit, waiter).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(internal()),
            Err(_) => Err(EntryError::new(
                ErrorKind::DeadlineAtEndpoint,
                "an earlier request with the same key is still being served",
                "send the request again with the same key",
            )),
        }
    }

    /// Uses the key up, so that its request may be dispatched.
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
                let mut tickets = self.tickets.lock().expect("no decision panics");
                return ticket_result(tickets.consume(now, &ticket));
            }
            KeyRoute::OwnKey(shard, term) => {
                let limit = request.ready.deadline.since(now);
                self.keeper.claim(shard, term, key, digest, limit).await
            }
            KeyRoute::Peer(..) => ClaimResult::Unchecked,
        };
        claim_result(result)
    }

    /// Dispatches a request whose key is used up, and takes in its whole answer.
    async fn dispatch(&self, request: KeyedRequest) -> KeptAnswer {
        // The request goes on without its caller, who may come back for the kept answer.
        let (_caller, gone) = oneshot::channel();
        let mut ready = request.ready;
        ready.body = RequestBody::Whole(request.body);
        let flight = RequestFlight::new(&self.shared, &request.service, ready, gone);
        let answer = flight.run().await;
        KeptAnswer::collect(answer, self.shared.settings.keyed_answer_limit).await
    }

    /// Makes a key usable again, since its request did not run.
    fn release(&self, key: KeyDigest, route: KeyRoute) {
        match route {
            KeyRoute::OwnTicket(ticket) => {
                let mut tickets = self.tickets.lock().expect("no decision panics");
                tickets.release(&ticket);
            }
            KeyRoute::OwnKey(shard, _) => self.keeper.release(shard, key),
            KeyRoute::Peer(..) => {}
        }
    }

    fn finish(&self, key: KeyDigest, answer: &KeptAnswer) {
        let mut answers = self.lock();
        let size = answer.size();
        let now = self.shared.now();
        answers.window.finish(now, key, answer.clone(), size);
        answers.wake(key, answer);
    }

    fn finish_unrun(&self, key: KeyDigest, answer: &KeptAnswer) {
        let mut answers = self.lock();
        answers.window.forget(key);
        answers.wake(key, answer);
    }

    fn lock(&self) -> MutexGuard<'_, KeyedAnswers> {
        self.answers.lock().expect("no decision panics")
    }
}

impl KeyedAnswers {
    /// Hands an answer to all who wait for it.
    fn wake(&mut self, key: KeyDigest, answer: &KeptAnswer) {
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
        ClaimResult::Unclaimed => Err(EntryError::new(
            ErrorKind::LogUnavailable,
            "the log did not confirm the key's claim",
            "send the request again later with the same key, or use a ticket",
        )),
        ClaimResult::Unchecked => Err(unchecked("the log of keys can't be read now")),
    }
}

/// Returns the error of a key whose earlier requests can't be looked up.
pub fn unchecked(detail: &str) -> EntryError {
    let hint = "send the request again later with the same key, or use a ticket";
    EntryError::new(ErrorKind::KeyUnchecked, detail, hint)
}

/// Returns the error of a ticket whose issuer can't be asked.
pub fn issuer_gone() -> EntryError {
    EntryError::new(
        ErrorKind::IssuerGone,
        "the daemon that issued the ticket is gone",
        "find out whether the request ran before you send it again with a new ticket",
    )
}

fn key_expired() -> EntryError {
    EntryError::new(
        ErrorKind::KeyExpired,
        "the key was used before and its answer is not kept",
        "find out whether the request ran before you send it again with a new key",
    )
}

fn mismatch() -> EntryError {
    let hint = "use a new key for each request";
    EntryError::new(
        ErrorKind::KeyMismatch,
        "the key came with another request before",
        hint,
    )
}

fn internal() -> EntryError {
    EntryError::new(ErrorKind::Internal, "the daemon failed", "tell an operator")
}
