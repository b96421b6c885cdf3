//! The leaders and their takeovers.

use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_core::worker::WorkerListing;
use geraniumshed_model::prelude::TimePoint;

use super::{World, listing};
use crate::leader::{Leader, LeaderInput, LeaderPhase};

impl World {
    pub(super) fn thaw(&mut self, leader: usize) -> Option<()> {
        let now = self.now;
        let one = self.living(leader)?;
        if !std::mem::replace(&mut one.is_frozen, false) {
            return None;
        }
        one.planner.process_stalled(now, now.since(one.frozen_at));
        for input in std::mem::take(&mut one.inbox) {
            self.pass_input(leader, input);
        }
        Some(())
    }

    pub(super) fn living(&mut self, leader: usize) -> Option<&mut Leader> {
        let one = self.leaders.get_mut(leader)?;
        (one.phase != LeaderPhase::Ended).then_some(one)
    }

    /// Leaves the calls and appends of a leader on their way, but nobody waits for their answers.
    pub(super) fn end_leader(&mut self, leader: usize) {
        self.log(format!("leader {leader} has ended"));
        self.answers.retain(|one| one.leader != leader);
        for call in self.calls.iter_mut().filter(|one| one.id.leader == leader) {
            call.is_held = true;
            call.is_awaited = false;
        }
        for append in self.appends.iter_mut().filter(|one| one.leader == leader) {
            append.is_held = true;
        }
    }

    /// Takes a step of a leader: plans, stores and sends calls.
    pub(super) fn step_leader(&mut self, leader: usize) {
        let now = self.planner_time();
        let one = &mut self.leaders[leader];
        if !one.is_leading() {
            return;
        }
        one.planner.request_placement();
        one.planner.prolong_leases(one.monitor.is_slow(now.point));
        one.planner.advance(now);
        let batch = if one.in_flight.is_none() {
            one.planner.take_batch(now)
        } else {
            None
        };
        if let Some(batch) = batch {
            one.sequence += 1;
            one.in_flight = Some(batch);
            self.send_append(leader);
        }
        self.take_actions(leader);
    }

    pub(super) fn advance_resigning(&mut self, leader: usize) {
        let now = self.planner_time();
        let one = &mut self.leaders[leader];
        if one.phase != LeaderPhase::Resigning || one.is_frozen {
            return;
        }
        if let Some(batch) = one.take_resigning_batch(now) {
            one.sequence += 1;
            one.in_flight = Some(batch);
            self.send_append(leader);
        }
        self.take_actions(leader);
        if self.leaders[leader].phase == LeaderPhase::Ended {
            self.end_leader(leader);
        }
    }

    pub(super) fn claim(&mut self) {
        let term = LeaderTerm(self.leaders.len() as u64 + 1);
        let mut leader = Leader::new(term, self.job_retention);
        let before = self.leaders.last();
        let resigned = before.filter(|one| one.resigned_at > TimePoint::default());
        leader.requested_at = resigned.map(|_| self.now);
        self.leaders.push(leader);
    }

    pub(super) fn fence(&mut self, leader: usize) -> Option<()> {
        let one = self.leaders.get_mut(leader)?;
        if one.phase != LeaderPhase::Claimed || one.is_frozen {
            return None;
        }
        one.fence(&mut self.store, self.now);
        Some(())
    }

    pub(super) fn read(&mut self, leader: usize) -> Option<()> {
        let now = self.planner_time();
        let one = self.leaders.get_mut(leader)?;
        if one.phase != LeaderPhase::Fenced || one.is_frozen {
            return None;
        }
        one.read(&self.store, now);
        Some(())
    }

    /// Passes the registered workers to a leader, if they have changed.
    pub(super) fn list(&mut self, leader: usize) -> Option<()> {
        let machines = self.machines.iter().enumerate();
        let registered = machines.filter(|(_, one)| one.is_listed);
        let listings = registered.map(|(machine, one)| listing(machine, one.worker.clone()));
        let listings: Vec<WorkerListing> = listings.collect();
        let one = self.leaders.get(leader)?;
        if !one.is_leading() || one.listed == listings {
            return None;
        }
        self.pass_input(leader, LeaderInput::Listed(listings));
        Some(())
    }
}
