//! The appends of leaders to the store.

use super::{APPEND_TIMEOUT, JOB, PendingAppend, World};
use crate::leader::{LeaderInput, LeaderPhase};
use crate::store::{AppendResult, SentAppend};

impl World {
    /// Returns whether the store carries an append out now by itself.
    pub(super) fn is_due_append(&self, append: &PendingAppend) -> bool {
        !append.is_held && !self.store_cuts.contains(&append.leader)
    }

    pub(super) fn send_append(&mut self, leader: usize) {
        let one = &mut self.leaders[leader];
        let Some(mut batch) = one.in_flight.clone() else {
            return;
        };
        one.replace_forgets(&mut batch);
        one.unanswered_since.get_or_insert(self.now);
        one.monitor.append_sent(self.now);
        let one = &self.leaders[leader];
        let is_admitted = self.assumptions.checks_epoch_on_arrival && self.store.admits(one.term);
        self.appends.push(PendingAppend {
            leader,
            append: SentAppend {
                term: one.term,
                sequence: one.sequence,
                batch,
                is_admitted,
            },
            sent_at: self.now,
            is_held: false,
        });
    }

    pub(super) fn find_append(&self, leader: usize) -> Option<usize> {
        self.appends.iter().position(|one| one.leader == leader)
    }

    pub(super) fn carry_out_append(&mut self, index: usize, is_answered: bool) {
        let pending = self.appends.remove(index);
        let result = self.store.append(&pending.append);
        let number = pending.append.batch.number;
        self.log(format!(
            "append {number} of leader {}: {result:?}",
            pending.leader
        ));
        let leader = &mut self.leaders[pending.leader];
        let is_active = leader.phase != LeaderPhase::Ended && !leader.is_refused_deletions;
        if is_active && is_answered && result == AppendResult::Stored && leader.delete_request() {
            self.store.requests.remove(&JOB);
        }
        if is_answered || result == AppendResult::Fenced {
            self.answer_later(pending.leader, LeaderInput::Appended(number, result));
        }
    }

    /// Repeats the appends that got no answer.
    pub(super) fn retry_appends(&mut self) {
        for leader in 0..self.leaders.len() {
            let one = &self.leaders[leader];
            let is_waiting = self.appends.iter().any(|append| {
                append.leader == leader && self.now.since(append.sent_at) < APPEND_TIMEOUT
            });
            let is_active = one.phase != LeaderPhase::Ended && !one.is_frozen;
            if is_active && one.in_flight.is_some() && !is_waiting {
                self.send_append(leader);
            }
        }
    }
}
