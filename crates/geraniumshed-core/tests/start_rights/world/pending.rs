//! The steps that are possible.

use super::{SentCall, World};
use crate::leader::{Leader, LeaderPhase};
use crate::step::{CallChoice, CallId, CallKind, ReturnKind, Step};

impl World {
    /// Returns the steps that are possible now, apart from those that are always possible.
    pub fn pending_steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.calls.iter().flat_map(call_steps).collect();
        for append in &self.appends {
            let leader = append.leader;
            steps.extend([Step::Store(leader), Step::StoreUnanswered(leader)]);
            if !append.is_held {
                steps.push(Step::HoldAppend(leader));
            }
        }
        let answers = self.answers.iter();
        steps
            .extend(answers.flat_map(|one| [Step::Answer(one.leader), Step::Overtake(one.leader)]));
        steps.extend(
            self.cuts
                .iter()
                .map(|(leader, machine)| Step::Mend(*leader, *machine)),
        );
        for machine in 0..self.machines.len() {
            steps.extend(self.machine_steps(machine));
        }
        let leaders = self.leaders.iter().enumerate();
        steps.extend(leaders.flat_map(|(number, leader)| leader_steps(number, leader)));
        steps.sort();
        steps.dedup();
        steps
    }

    fn machine_steps(&self, machine: usize) -> Vec<Step> {
        let one = &self.machines[machine];
        let listing = if one.is_listed {
            Step::Unlist(machine)
        } else {
            Step::Relist(machine)
        };
        let Some(process) = &one.process else {
            let same = Step::Return(machine, ReturnKind::SameId);
            return vec![listing, same, Step::Return(machine, ReturnKind::NewId)];
        };
        let runs = process.runs.keys();
        let ends = runs.map(|task| Step::Finish(machine, task.index));
        ends.chain([listing, Step::Crash(machine)]).collect()
    }
}

fn call_steps(call: &SentCall) -> Vec<Step> {
    let CallId {
        leader,
        kind,
        worker,
        ..
    } = call.id;
    let newest = CallChoice::Newest(leader, kind, worker);
    let choice = if call.is_held {
        CallChoice::Late(leader, kind, worker)
    } else {
        newest
    };
    let mut steps = vec![Step::Deliver(choice), Step::DeliverUnanswered(choice)];
    if !call.is_held {
        steps.push(Step::Hold(newest));
    }
    if kind == CallKind::Start {
        steps.push(Step::Double(choice));
    }
    steps
}

fn leader_steps(number: usize, leader: &Leader) -> Vec<Step> {
    let suspension = if leader.is_frozen {
        Step::Thaw(number)
    } else {
        Step::Freeze(number)
    };
    match leader.phase {
        LeaderPhase::Claimed => vec![Step::Fence(number)],
        LeaderPhase::Fenced => vec![Step::Read(number)],
        LeaderPhase::Leading => vec![
            Step::Kill(number),
            Step::Resign(number),
            Step::Cancel(number),
            suspension,
        ],
        LeaderPhase::Resigning | LeaderPhase::Ended => Vec::new(),
    }
}
