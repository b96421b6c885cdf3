//! What each step does.

use super::{JOB, TICKS_PER_PASS, World};
use crate::leader::LeaderPhase;
use crate::step::{CallChoice, Step};

impl World {
    /// Takes a step, or returns `None` if it isn't possible.
    pub(super) fn try_take(&mut self, step: Step) -> Option<()> {
        match step {
            Step::Tick => self.tick(),
            Step::Pass => (0..TICKS_PER_PASS).for_each(|_| self.tick()),
            Step::Hold(choice) => {
                let index = self.find_call(choice)?;
                self.calls[index].is_held = true;
            }
            Step::Deliver(choice) => {
                let index = self.find_call(choice)?;
                let call = self.calls.remove(index);
                self.deliver(call);
            }
            Step::DeliverUnanswered(choice) => self.deliver_unanswered(choice)?,
            Step::Double(choice) => self.double(choice)?,
            Step::Answer(leader) => {
                self.answers.iter().find(|one| one.leader == leader)?;
                self.give_answers(Some(leader));
            }
            Step::Overtake(leader) => {
                let index = self.answers.iter().rposition(|one| one.leader == leader)?;
                let answer = self.answers.remove(index);
                self.pass_input(leader, answer.input);
            }
            Step::HoldAppend(leader) => {
                let append = self.find_append(leader)?;
                self.appends[append].is_held = true;
            }
            Step::Store(leader) => {
                let index = self.find_append(leader)?;
                self.carry_out_append(index, true);
            }
            Step::StoreUnanswered(leader) => {
                let index = self.find_append(leader)?;
                self.carry_out_append(index, false);
            }
            Step::RefuseDeletions(leader) => {
                self.leaders.get_mut(leader)?.is_refused_deletions = true;
            }
            Step::Kill(leader) => {
                self.living(leader)?.phase = LeaderPhase::Ended;
                self.end_leader(leader);
            }
            Step::Freeze(leader) => self.freeze(leader)?,
            Step::Thaw(leader) => self.thaw(leader)?,
            Step::Resign(leader) => self.resign(leader)?,
            Step::Claim => self.claim(),
            Step::Fence(leader) => self.fence(leader)?,
            Step::Read(leader) => self.read(leader)?,
            Step::List(leader) => self.list(leader)?,
            Step::Finish(machine, index) => self.finish(machine, index)?,
            Step::Crash(machine) => {
                let one = self.machines.get_mut(machine)?;
                one.last_token = one.process.take()?.token;
            }
            Step::Return(machine, kind) => self.return_worker(machine, kind)?,
            Step::Unlist(machine) => self.set_listed(machine, false)?,
            Step::Relist(machine) => self.set_listed(machine, true)?,
            Step::Cancel(leader) => self.cancel(leader)?,
            Step::Cut(leader, machine) => self.cut(leader, machine)?,
            Step::Mend(leader, machine) => {
                let mut cuts = self.cuts.iter();
                let index = cuts.position(|one| *one == (leader, machine))?;
                self.cuts.remove(index);
            }
            Step::CutStore(leader) => {
                self.leaders.get(leader)?;
                self.store_cuts.push(leader);
            }
        }
        Some(())
    }

    /// Carries a call out, and loses its answer.
    fn deliver_unanswered(&mut self, choice: CallChoice) -> Option<()> {
        let index = self.find_call(choice)?;
        let mut sent = self.calls.remove(index);
        let is_awaited = std::mem::replace(&mut sent.is_awaited, false);
        let (leader, failure) = (sent.id.leader, sent.failure());
        self.deliver(sent);
        if is_awaited {
            self.answer_later(leader, failure);
        }
        Some(())
    }

    /// Carries a call out, and leaves a copy on its way. A call that finds no process leaves none.
    fn double(&mut self, choice: CallChoice) -> Option<()> {
        let index = self.find_call(choice)?;
        let call = self.calls[index].clone();
        let machine = self.machine_at(call.call.address);
        self.machines[machine].process.as_ref()?;
        self.calls[index].is_held = true;
        self.calls[index].is_awaited = false;
        self.deliver(call);
        Some(())
    }

    fn freeze(&mut self, leader: usize) -> Option<()> {
        let now = self.now;
        let one = self.living(leader)?;
        if std::mem::replace(&mut one.is_frozen, true) {
            return None;
        }
        one.frozen_at = now;
        Some(())
    }

    fn resign(&mut self, leader: usize) -> Option<()> {
        let now = self.planner_time();
        let one = self.leaders.get_mut(leader)?;
        if !one.is_leading() {
            return None;
        }
        one.resign(now);
        self.take_actions(leader);
        self.advance_resigning(leader);
        Some(())
    }

    fn cancel(&mut self, leader: usize) -> Option<()> {
        let now = self.planner_time();
        let one = self.leaders.get_mut(leader)?;
        if !one.is_leading() {
            return None;
        }
        one.planner.cancel(now, JOB);
        self.step_leader(leader);
        Some(())
    }

    fn cut(&mut self, leader: usize, machine: usize) -> Option<()> {
        self.leaders.get(leader)?;
        if self.cuts.contains(&(leader, machine)) {
            return None;
        }
        self.cuts.push((leader, machine));
        Some(())
    }
}
