//! Tells writers when their stream's follower has read their entries back.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_core::state::EntryVerdict;
use geraniumshed_model::prelude::{DaemonIncarnation, LogOffset, WriterMark};
use tokio::sync::oneshot;

use super::append_error::AppendError;

/// How an append ended.
pub(super) type AppendResult = Result<LogOffset, AppendError>;

/// The appends of this daemon to one stream that wait to be read back.
#[derive(Debug, Clone)]
pub struct StreamReadback {
    incarnation: DaemonIncarnation,
    waiting: Arc<Mutex<BTreeMap<u64, oneshot::Sender<AppendResult>>>>,
}

impl StreamReadback {
    /// Creates a table without any append.
    pub(super) fn new(incarnation: DaemonIncarnation) -> Self {
        Self {
            incarnation,
            waiting: Arc::default(),
        }
    }

    /// Waits for the append of a number; has to be called before it is sent.
    pub(super) fn expect(&self, sequence: u64) -> oneshot::Receiver<AppendResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(sequence, sender);
        receiver
    }

    /// Stops waiting for the append of a number.
    pub(super) fn forget(&self, sequence: u64) {
        self.waiting().remove(&sequence);
    }

    /// Takes note of an entry that the follower read.
    pub(super) fn observe(&self, offset: LogOffset, mark: WriterMark, verdict: EntryVerdict) {
        if mark.incarnation != self.incarnation {
            return;
        }
        let mut waiting = self.waiting();
        let result = match verdict {
            EntryVerdict::Valid => Ok(offset),
            EntryVerdict::Superseded => Err(AppendError::Superseded),
            EntryVerdict::Duplicate => return,
        };
        let later = waiting.split_off(&mark.sequence);
        let passed = std::mem::replace(&mut *waiting, later);
        let own = waiting.remove(&mark.sequence);
        drop(waiting);
        if let Some(sender) = own {
            // A writer that has given up no longer listens.
            let _ = sender.send(result);
        }
        for sender in passed.into_values() {
            let _ = sender.send(Err(AppendError::Superseded));
        }
    }

    /// Takes note that entries were lost before the follower read them.
    pub(super) fn observe_loss(&self) {
        let waiting = std::mem::take(&mut *self.waiting());
        for sender in waiting.into_values() {
            let _ = sender.send(Err(AppendError::Unconfirmed));
        }
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<AppendResult>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
