//! Accounts for the memory, the connections and the progress of clients.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use crate::cause::{RefusalCause, RefusalCounts};
use crate::settings::GateSettings;

/// The memory in bytes of a connection without a request: the first read buffer of the HTTP library.
const IDLE_MEMORY: usize = 8192;
/// The lowest rate at which a body has to arrive, in bytes per second, once the body timeout is over.
/// Below it, a legal body would take minutes.
const MIN_BODY_RATE: u32 = 8192;
/// The time for which a connection is kept after its body is late, so that the handler can answer.
const BODY_ANSWER_TIME: Duration = Duration::from_millis(500);
/// The part of the memory limit that is freed at once, so that connections aren't compared for each
/// read under pressure.
const SHED_PART: usize = 32;

/// Admits connections, and accounts for what they hold. Clones share the accounts.
#[derive(Debug, Clone)]
pub struct ClientGate {
    pub(crate) shared: Arc<GateShared>,
}

#[derive(Debug)]
pub(crate) struct GateShared {
    pub(crate) settings: GateSettings,
    counts: RefusalCounts,
    table: Mutex<AccountTable>,
}

/// All connections.
#[derive(Debug, Default)]
struct AccountTable {
    /// The memory in bytes that all connections hold.
    held: usize,
    next_id: u64,
    accounts: HashMap<u64, Account>,
}

/// How far a connection's request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// There is no request.
    Idle,
    /// The headers arrive.
    Header,
    /// The body arrives.
    Body,
    /// The request has arrived, and is not answered yet.
    Handling,
}

/// What a connection holds.
#[derive(Debug)]
struct Account {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// Since when a read waits for the client. Backpressure of the handler isn't the client's delay.
    awaited: Option<Instant>,
    /// The time for which reads of the body have waited for the client.
    waited: Duration,
    /// When bytes were last written, or could first not be written.
    written_at: Instant,
    /// The bytes read since the last request was answered.
    read: usize,
    /// The bytes of answers that the client doesn't take.
    unsent: usize,
    /// The memory for the decoded request, in bytes.
    decoded: usize,
    /// The memory that is reserved, in bytes.
    held: usize,
    closing: Option<RefusalCause>,
    waker: Option<Waker>,
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            phase: Phase::Idle,
            since: now,
            awaited: None,
            waited: Duration::ZERO,
            written_at: now,
            read: 0,
            unsent: 0,
            decoded: 0,
            held: 0,
            closing: None,
            waker: None,
        }
    }

    /// Returns the memory that the connection needs to read once more.
    fn needed(&self, settings: &GateSettings) -> usize {
        let read = (self.read + IDLE_MEMORY).min(settings.connection_memory.max(IDLE_MEMORY));
        read + self.unsent + self.decoded
    }

    /// Returns how much the connection holds and for how long, if it may be closed: a request that
    /// is handled may have run.
    fn weight(&self, now: Instant) -> Option<u128> {
        let may_close = self.phase != Phase::Handling && self.closing.is_none();
        let age = now.duration_since(self.since).as_millis() + 1;
        may_close.then(|| age * self.held as u128)
    }

    /// Returns until when the connection has to make progress, and the cause for closing it then.
    fn deadline(&self, settings: &GateSettings) -> Option<(Instant, RefusalCause)> {
        let reading = match self.phase {
            Phase::Idle => Some((self.since + settings.idle_timeout, RefusalCause::Idle)),
            Phase::Header => Some((
                self.since + settings.header_timeout,
                RefusalCause::SlowHeader,
            )),
            Phase::Body => self.awaited.map(|awaited| {
                let late = awaited + self.body_patience(settings);
                (late + BODY_ANSWER_TIME, RefusalCause::SlowBody)
            }),
            Phase::Handling => None,
        };
        if self.unsent > 0 {
            let writing = self.written_at + settings.write_timeout;
            return Some((writing, RefusalCause::SlowReader));
        }
        reading
    }

    /// Returns how long a read of the body may wait for the client from now on.
    fn body_patience(&self, settings: &GateSettings) -> Duration {
        let read = u32::try_from(self.read).unwrap_or(u32::MAX);
        let at_rate = Duration::from_secs(1) * read / MIN_BODY_RATE;
        let left = (settings.body_timeout + at_rate).saturating_sub(self.waited);
        left.min(settings.body_timeout)
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.since = now;
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl AccountTable {
    /// Reserves what a connection needs, if it fits.
    fn reserve(&mut self, id: u64, settings: &GateSettings) -> bool {
        let Some(account) = self.accounts.get_mut(&id) else {
            return false;
        };
        let needed = account.needed(settings);
        let others = self.held - account.held;
        if needed > account.held && others + needed > settings.memory_limit {
            return false;
        }
        account.held = needed;
        self.held = others + needed;
        true
    }

    /// Closes the connections that hold most for longest, until `bytes` and `connections` are free,
    /// and returns their number.
    fn shed(&mut self, except: Option<u64>, bytes: usize, connections: usize) -> usize {
        let now = Instant::now();
        let mut candidates: Vec<(u128, u64)> = self
            .accounts
            .iter()
            .filter(|(id, _)| Some(**id) != except)
            .filter_map(|(id, account)| Some((account.weight(now)?, *id)))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let (mut freed, mut closed) = (0, 0);
        for (_, id) in candidates {
            if freed >= bytes && closed >= connections {
                break;
            }
            if let Some(account) = self.accounts.get_mut(&id) {
                freed += std::mem::take(&mut account.held);
                account.closing = Some(RefusalCause::Shed);
                account.wake();
                closed += 1;
            }
        }
        self.held -= freed;
        closed
    }

    fn open_count(&self) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|account| account.closing.is_none()).count()
    }
}

impl ClientGate {
    /// Creates a gate without connections.
    pub fn open(settings: GateSettings) -> Self {
        Self {
            shared: Arc::new(GateShared {
                settings,
                counts: RefusalCounts::default(),
                table: Mutex::default(),
            }),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &GateSettings {
        &self.shared.settings
    }

    /// Counts a refusal.
    pub fn count(&self, cause: RefusalCause) {
        self.shared.count(cause);
    }

    /// Returns how often requests and connections were refused for a cause.
    pub fn refusals(&self, cause: RefusalCause) -> u64 {
        self.shared.counts.get(cause)
    }

    /// Returns the memory in bytes that clients hold.
    pub fn held(&self) -> usize {
        self.shared.lock().held
    }

    /// Opens the account of a new connection. Another connection is closed for it if there are too
    /// many; `None` if that isn't possible.
    pub async fn admit(&self) -> Option<ConnectionAccount> {
        let (account, has_shed) = self.shared.admit();
        if has_shed {
            // Lets closed connections release their descriptors before more are accepted.
            tokio::task::yield_now().await;
        }
        account.map(|id| ConnectionAccount {
            shared: Arc::clone(&self.shared),
            id,
        })
    }
}

impl GateShared {
    fn lock(&self) -> MutexGuard<'_, AccountTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count(&self, cause: RefusalCause) {
        self.counts.add(cause);
        // The log limits the lines of each call site.
        log::info!(peer = self.settings.peer, cause = cause.name(); "client refused");
    }

    fn admit(&self) -> (Option<u64>, bool) {
        let settings = &self.settings;
        let mut table = self.lock();
        let has_shed =
            table.open_count() >= settings.connection_limit && table.shed(None, 0, 1) > 0;
        if table.open_count() >= settings.connection_limit {
            drop(table);
            self.count(RefusalCause::Connections);
            return (None, has_shed);
        }
        let id = table.next_id;
        table.next_id += 1;
        table.accounts.insert(id, Account::new(Instant::now()));
        (Some(id), has_shed)
    }
}

/// The account of one connection; everything is released on drop.
#[derive(Debug)]
pub struct ConnectionAccount {
    shared: Arc<GateShared>,
    id: u64,
}

impl ConnectionAccount {
    /// Returns the settings of the gate.
    pub fn settings(&self) -> &GateSettings {
        &self.shared.settings
    }

    /// Counts a refusal of this connection's request.
    pub fn count(&self, cause: RefusalCause) {
        self.shared.count(cause);
    }

    /// Reserves memory for the decoded request until it is answered; returns whether there is room.
    pub fn reserve_decoded(&self, bytes: usize) -> bool {
        self.change(|account| account.decoded = bytes);
        self.reserve()
    }

    /// Returns until when the next bytes of the body have to arrive, counted from now.
    pub fn body_deadline(&self) -> Instant {
        let table = self.shared.lock();
        let account = table.accounts.get(&self.id);
        let patience = account.map(|account| account.body_patience(&self.shared.settings));
        Instant::now() + patience.unwrap_or_default()
    }

    /// Marks the request as received: it may run from now on, so that its connection isn't closed
    /// for others.
    pub fn receive(&self) {
        self.change(|account| {
            if account.phase == Phase::Body {
                account.enter(Phase::Handling, Instant::now());
            }
        });
    }

    /// Reserves the memory for one more read; returns whether there is room.
    pub(crate) fn reserve(&self) -> bool {
        let settings = &self.shared.settings;
        let mut table = self.shared.lock();
        if table.reserve(self.id, settings) {
            return true;
        }
        let bytes = settings.memory_limit / SHED_PART;
        table.shed(Some(self.id), bytes.max(IDLE_MEMORY), 0);
        table.reserve(self.id, settings)
    }

    /// Records bytes that were read.
    pub(crate) fn add_read(&self, bytes: usize) {
        let now = Instant::now();
        self.change(|account| {
            if account.phase == Phase::Idle {
                account.enter(Phase::Header, now);
            }
            if let Some(awaited) = account.awaited.take() {
                account.waited += now - awaited;
            }
            account.read += bytes;
        });
    }

    /// Records that a read waits for the client.
    pub(crate) fn await_read(&self) {
        self.change(|account| {
            account.awaited.get_or_insert_with(Instant::now);
        });
    }

    /// Records how many bytes the client took of those that were ready.
    pub(crate) fn record_write(&self, ready: usize, taken: usize) {
        let now = Instant::now();
        self.change(|account| {
            if taken > 0 || account.unsent == 0 {
                account.written_at = now;
            }
            account.unsent = ready - taken;
        });
    }

    /// Returns whether the client doesn't take its answers.
    pub(crate) fn is_blocked(&self) -> bool {
        let table = self.shared.lock();
        let account = table.accounts.get(&self.id);
        account.is_some_and(|account| account.unsent > 0)
    }

    /// Begins a request whose headers have arrived.
    pub(crate) fn begin(&self) {
        let header_bytes = self.shared.settings.header_bytes;
        self.change(|account| {
            // A request that was read along with the one before is in the buffer for reading ahead.
            account.read = if account.read == 0 {
                header_bytes
            } else {
                account.read
            };
            account.waited = Duration::ZERO;
            account.enter(Phase::Body, Instant::now());
        });
    }

    /// Ends a request that is answered, and releases its memory.
    pub(crate) fn finish(&self) {
        let now = Instant::now();
        self.change(|account| {
            account.enter(Phase::Idle, now);
            account.read = 0;
            account.decoded = 0;
        });
        let mut table = self.shared.lock();
        table.reserve(self.id, &self.shared.settings);
    }

    /// Closes the connection for a cause.
    pub(crate) fn close(&self, cause: RefusalCause) {
        self.change(|account| {
            account.closing.get_or_insert(cause);
        });
    }

    /// Returns why the connection is to be closed, if so, else its deadline. The task is woken if it
    /// is to be closed later.
    pub(crate) fn check(&self, waker: &Waker) -> Result<Option<Instant>, RefusalCause> {
        let now = Instant::now();
        let mut table = self.shared.lock();
        let Some(account) = table.accounts.get_mut(&self.id) else {
            return Ok(None);
        };
        if let Some(cause) = account.closing {
            return Err(cause);
        }
        if !account
            .waker
            .as_ref()
            .is_some_and(|known| known.will_wake(waker))
        {
            account.waker = Some(waker.clone());
        }
        match account.deadline(&self.shared.settings) {
            Some((deadline, cause)) if deadline <= now => Err(cause),
            deadline => Ok(deadline.map(|(deadline, _)| deadline)),
        }
    }

    fn change(&self, change: impl FnOnce(&mut Account)) {
        let mut table = self.shared.lock();
        if let Some(account) = table.accounts.get_mut(&self.id) {
            change(account);
        }
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        let mut table = self.shared.lock();
        if let Some(account) = table.accounts.remove(&self.id) {
            table.held -= account.held;
        }
    }
}
