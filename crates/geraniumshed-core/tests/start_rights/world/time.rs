//! The passing of time.

use super::{MAX_ROUNDS, MOMENT, TICK, World};

impl World {
    /// Carries out and answers all that isn't held back, until 100 ms have passed.
    pub(super) fn tick(&mut self) {
        let end = self.now + TICK;
        for _ in 0..MAX_ROUNDS {
            if !self.take_round() {
                break;
            }
            self.now = self.now + MOMENT;
        }
        self.now = self.now.max(end);
        self.check_leases();
        self.fail_late_calls();
        self.retry_appends();
        for leader in 0..self.leaders.len() {
            self.step_leader(leader);
            self.advance_resigning(leader);
        }
    }

    /// Carries out and answers what isn't held back, and returns whether there was anything.
    pub(super) fn take_round(&mut self) -> bool {
        let mut has_work = false;
        for leader in 0..self.leaders.len() {
            has_work |= self.fence(leader).is_some();
            has_work |= self.read(leader).is_some();
            has_work |= self.list(leader).is_some();
        }
        while let Some(index) = self.appends.iter().position(|one| self.is_due_append(one)) {
            self.carry_out_append(index, true);
            has_work = true;
        }
        while let Some(index) = self.calls.iter().position(|one| self.is_due(one)) {
            let call = self.calls.remove(index);
            self.deliver(call);
            has_work = true;
        }
        let has_answers = !self.answers.is_empty();
        self.give_answers(None);
        has_work || has_answers
    }
}
