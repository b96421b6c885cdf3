//! The owner's side of a shard's idempotency keys: claims them in the log, in batches.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use geraniumshed_core::request::{KeyTable, KeyVerdict};
use geraniumshed_model::prelude::{
    KeyDigest, KeyEvent, LogOffset, RequestDigest, ShardId, ShardTerm,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::key_log::{KeyLog, KeyLogError};

/// The claims that one entry of the log carries at most.
const BATCH_LIMIT: usize = 512;

/// The time within which a call to the log has to end.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The time for which a read waits for an entry that is not there yet.
const READ_WAIT: Duration = Duration::from_millis(100);

/// What came of the wish to use a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The key's request may be dispatched now.
    Dispatch,
    /// The key was used before.
    Used,
    /// The key belongs to another request.
    Mismatch,
    /// The log did not confirm the claim; the key's request was never dispatched from here, and
    /// no earlier owner claimed the key.
    Unclaimed,
    /// The shard's keys could not be read, so that nothing is known of the key.
    Unchecked,
}

/// What is asked of a shard's owner.
enum KeyCommand {
    Claim(ClaimCommand),
    GiveBack(KeyDigest),
}

/// The wish to use a key.
struct ClaimCommand {
    key: KeyDigest,
    request: RequestDigest,
    term: ShardTerm,
    reply: oneshot::Sender<ClaimResult>,
}

/// The shards whose keys this daemon has claimed or may claim.
#[derive(Debug)]
pub struct KeyKeeper<K> {
    log: K,
    interval: Duration,
    shards: Mutex<HashMap<ShardId, mpsc::UnboundedSender<KeyCommand>>>,
}

impl<K: KeyLog> KeyKeeper<K> {
    /// Opens a keeper that appends to each shard's stream at most once in an interval.
    pub fn open(log: K, interval: Duration) -> Self {
        Self {
            log,
            interval,
            shards: Mutex::default(),
        }
    }

    /// Claims a key for a request under a term of the shard, within a limit of time.
    pub async fn claim(
        &self,
        shard: ShardId,
        term: ShardTerm,
        key: KeyDigest,
        request: RequestDigest,
        limit: Duration,
    ) -> ClaimResult {
        let (reply, mut result) = oneshot::channel();
        let command = ClaimCommand {
            key,
            request,
            term,
            reply,
        };
        self.send(shard, KeyCommand::Claim(command));
        if let Ok(result) = tokio::time::timeout(limit, &mut result).await {
            return result.unwrap_or(ClaimResult::Unchecked);
        }
        result.close();
        // A reply that came in between counts; later ones are given back by the shard.
        result.try_recv().unwrap_or(ClaimResult::Unchecked)
    }

    /// Makes a claimed key usable again, since its request was never dispatched.
    pub fn release(&self, shard: ShardId, key: KeyDigest) {
        self.send(shard, KeyCommand::GiveBack(key));
    }

    fn send(&self, shard: ShardId, command: KeyCommand) {
        let mut shards = self.shards.lock().expect("no holder panics");
        let sender = shards.entry(shard).or_insert_with(|| {
            let (sender, commands) = mpsc::unbounded_channel();
            let keeper = ShardKeeper {
                log: self.log.clone(),
                shard,
                table: KeyTable::default(),
            };
            tokio::spawn(keeper.serve(commands, self.interval));
            sender
        });
        drop(sender.send(command));
    }
}

/// One shard's keys.
struct ShardKeeper<K> {
    log: K,
    shard: ShardId,
    table: KeyTable,
}

impl<K: KeyLog> ShardKeeper<K> {
    /// Serves commands, all that wait at once.
    async fn serve(
        mut self,
        mut commands: mpsc::UnboundedReceiver<KeyCommand>,
        interval: Duration,
    ) {
        let mut batch = Vec::new();
        while commands.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
            let begin = Instant::now();
            let mut claims = Vec::new();
            for command in batch.drain(..) {
                match command {
                    KeyCommand::Claim(claim) => claims.push(claim),
                    KeyCommand::GiveBack(key) => self.table.release(key),
                }
            }
            if self.serve_claims(claims).await {
                tokio::time::sleep_until(begin + interval).await;
            }
        }
    }

    /// Serves claims, and tells whether anything was appended.
    async fn serve_claims(&mut self, claims: Vec<ClaimCommand>) -> bool {
        let Some(term) = claims.iter().map(|claim| claim.term).max() else {
            return false;
        };
        let mut appended = false;
        if !self.table.is_open(term) {
            appended = true;
            if self
                .append_and_read(term, vec![KeyEvent::Opened])
                .await
                .is_err()
                || !self.table.is_open(term)
            {
                reply_all(&mut self.table, claims, ClaimResult::Unchecked);
                return appended;
            }
        }
        let unclaimed = self.settle(claims, term);
        if unclaimed.is_empty() {
            return appended;
        }
        let events = unclaimed.iter().map(claimed_event).collect();
        // Whether or not the append was confirmed, only what is read back counts.
        let _ = self.append_and_read(term, events).await;
        let unconfirmed = self.settle(unclaimed, term);
        reply_all(&mut self.table, unconfirmed, ClaimResult::Unclaimed);
        true
    }

    /// Replies to the claims that the table decides, and returns the others.
    fn settle(&mut self, claims: Vec<ClaimCommand>, term: ShardTerm) -> Vec<ClaimCommand> {
        let mut unclaimed = Vec::new();
        for claim in claims {
            let result = match self.table.consume(claim.key, claim.request, term) {
                KeyVerdict::Unclaimed => {
                    unclaimed.push(claim);
                    continue;
                }
                KeyVerdict::Dispatch => ClaimResult::Dispatch,
                KeyVerdict::Used => ClaimResult::Used,
                KeyVerdict::Mismatch => ClaimResult::Mismatch,
            };
            reply(&mut self.table, claim, result);
        }
        unclaimed
    }

    /// Appends events and reads the stream up to them.
    async fn append_and_read(
        &mut self,
        term: ShardTerm,
        events: Vec<KeyEvent>,
    ) -> Result<(), KeyLogError> {
        let append = self.log.append(self.shard, term, events);
        let appended = limit(append).await;
        match appended {
            Ok(offset) => limit(self.read_past(Some(offset))).await,
            // The entry may be there all the same.
            Err(KeyLogError::Unconfirmed) => limit(self.read_past(None)).await,
            Err(error) => Err(error),
        }
    }

    /// Reads the stream past an offset, or to its end.
    async fn read_past(&mut self, offset: Option<LogOffset>) -> Result<(), KeyLogError> {
        loop {
            let from = self.table.next();
            let page = match self.log.read(self.shard, from, READ_WAIT).await {
                Ok(page) => page,
                Err(KeyLogError::Expired(first)) => {
                    self.table.forget_before(first);
                    self.table.advance_to(first);
                    continue;
                }
                Err(error) => return Err(error),
            };
            for entry in &page.entries {
                self.table.apply(entry.offset, entry.term, &entry.events);
            }
            self.table.forget_before(page.first);
            self.table.advance_to(page.next);
            let target = offset.map_or(page.end, LogOffset::next);
            if self.table.next() >= target {
                return Ok(());
            }
        }
    }
}

fn claimed_event(claim: &ClaimCommand) -> KeyEvent {
    KeyEvent::Claimed {
        key: claim.key,
        request: claim.request,
    }
}

fn reply_all(table: &mut KeyTable, claims: Vec<ClaimCommand>, result: ClaimResult) {
    for claim in claims {
        reply(table, claim, result);
    }
}

/// Replies to a claim; a key whose claimant is gone stays usable.
fn reply(table: &mut KeyTable, claim: ClaimCommand, result: ClaimResult) {
    let lost = claim.reply.send(result).is_err();
    if lost && result == ClaimResult::Dispatch {
        table.release(claim.key);
    }
}

/// Limits the time of a call to the log.
async fn limit<T>(call: impl Future<Output = Result<T, KeyLogError>>) -> Result<T, KeyLogError> {
    match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(result) => result,
        Err(_) => Err(KeyLogError::Unconfirmed),
    }
}
