//! Appends that wait until the stream's follower has read them back.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_core::state::EntryVerdict;
use geraniumshed_model::prelude::{DaemonIncarnation, LogOffset, WriterMark};
use tokio::sync::oneshot;

use super::append_error::AppendError;

/// The offset of a confirmed append, or why it was not confirmed.
pub(super) type AppendResult = Result<LogOffset, AppendError>;

/// The appends of this daemon to one stream that wait to be read back, by their sequence number.
#[derive(Debug, Clone)]
pub struct PendingAppends {
    incarnation: DaemonIncarnation,
    pending: Arc<Mutex<BTreeMap<u64, oneshot::Sender<AppendResult>>>>,
}

impl PendingAppends {
    /// Creates an empty table.
    pub(super) fn new(incarnation: DaemonIncarnation) -> Self {
        Self {
            incarnation,
            pending: Arc::default(),
        }
    }

    /// Adds an append and returns the receiver of its result; must be called before the append is
    /// sent.
    pub(super) fn register(&self, sequence: u64) -> oneshot::Receiver<AppendResult> {
        let (sender, receiver) = oneshot::channel();
        self.pending().insert(sequence, sender);
        receiver
    }

    /// Removes an append that its writer no longer waits for.
    pub(super) fn discard(&self, sequence: u64) {
        self.pending().remove(&sequence);
    }

    /// Resolves the append of an entry that the follower read, and fails all earlier appends, which
    /// readers ignore from now on.
    pub(super) fn resolve(&self, offset: LogOffset, mark: WriterMark, verdict: EntryVerdict) {
        if mark.incarnation != self.incarnation {
            return;
        }
        let mut pending = self.pending();
        let result = match verdict {
            EntryVerdict::Valid => Ok(offset),
            EntryVerdict::Superseded => Err(AppendError::Superseded),
            EntryVerdict::Duplicate => return,
        };
        let later = pending.split_off(&mark.sequence);
        let passed = std::mem::replace(&mut *pending, later);
        let own = pending.remove(&mark.sequence);
        drop(pending);
        if let Some(sender) = own {
            // The send fails if the writer no longer waits.
            let _ = sender.send(result);
        }
        for sender in passed.into_values() {
            let _ = sender.send(Err(AppendError::Superseded));
        }
    }

    /// Fails all appends as unconfirmed, after entries were lost before the follower read them.
    pub(super) fn fail_all(&self) {
        let pending = std::mem::take(&mut *self.pending());
        for sender in pending.into_values() {
            let _ = sender.send(Err(AppendError::Unconfirmed));
        }
    }

    fn pending(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<AppendResult>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
