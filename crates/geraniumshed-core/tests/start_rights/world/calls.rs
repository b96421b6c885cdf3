//! The calls to workers and their answers.

use geraniumshed_core::assignment::PlannerAction;
use geraniumshed_core::job::TaskKey;
use geraniumshed_core::worker::{
    EndKind, RenewRequest, StartAnswer, StartReply, WorkerCall, WorkerFailure,
};

use super::{CALL_TIMEOUT, CallBody, SentAnswer, SentCall, World, with_body, worker_number};
use crate::checker::ProcessId;
use crate::leader::{LeaderInput, LeaderPhase, RenewOutcome};
use crate::step::{CallChoice, CallId, CallKind};
use crate::worker::WorkerProcess;

impl World {
    /// Returns whether a worker answers a call now by itself.
    pub(super) fn is_due(&self, call: &SentCall) -> bool {
        let machine = self.machine_at(call.call.address);
        let is_cut = self.cuts.contains(&(call.id.leader, machine));
        if call.is_held || is_cut || !call.is_awaited {
            return false;
        }
        let process = self.machines[machine].process.as_ref();
        let has_ends = process.is_none_or(|one| !one.ended.is_empty());
        has_ends || self.now.since(call.sent_at) >= call.call.body.wait()
    }

    /// Carries a call out, and answers it if its leader waits.
    pub(super) fn deliver(&mut self, sent: SentCall) {
        let machine = self.machine_at(sent.call.address);
        let process = self.machines[machine].process.as_ref();
        let process_id = process.map(WorkerProcess::process_id);
        let is_bound = !self.assumptions.reaches_later_process;
        let (id, is_awaited) = (sent.id, sent.is_awaited);
        let input = match &process_id {
            None => {
                self.log(format!("{id:?} finds no process"));
                let failure = WorkerFailure::NotSent;
                sent.call.body.failure(&sent.call.worker, failure)
            }
            Some(_) if is_bound && sent.process != process_id => {
                self.log(format!("{id:?} is lost with its process"));
                sent.failure()
            }
            Some((worker, _)) if *worker != sent.call.worker => refusal(&sent),
            Some(process_id) if !self.may_carry_out(process_id, &sent) => {
                self.refuse_named(machine, sent)
            }
            Some(process_id) => self.carry_out(machine, process_id, sent),
        };
        if is_awaited {
            self.answer_later(id.leader, input);
        }
    }

    /// Returns whether a process is the one that a call names, if calls are bound to that.
    fn may_carry_out(&self, process_id: &ProcessId, sent: &SentCall) -> bool {
        let named = sent.call.process;
        !self.assumptions.binds_named_calls || named.is_none_or(|named| named.0 == process_id.1)
    }

    /// Returns the answer to a call for another process than the one that is up. The sender has lost it together
    /// with its connection, or the process has told on a new connection that it is another one.
    fn refuse_named(&mut self, machine: usize, sent: SentCall) -> LeaderInput {
        let id = sent.id;
        self.log(format!("{id:?} is for an earlier process"));
        let named = sent.call.process.map(|process| process.0);
        let was_up = sent.process.as_ref().map(|process| process.1) == named;
        let process = self.machines[machine].process.as_mut();
        let Some(process) = process.filter(|_| !was_up) else {
            return sent.failure();
        };
        let reading = process.renew(sent.call.token, &RenewRequest::reading(), self.now);
        let worker = sent.call.worker;
        match (sent.call.body, reading) {
            (CallBody::Renew(_, sent), Some((reply, _))) => {
                LeaderInput::Renew(worker, sent, RenewOutcome::Answered(reply))
            }
            (CallBody::Renew(_, sent), None) => {
                LeaderInput::Renew(worker, sent, RenewOutcome::Fenced)
            }
            (body, _) => body.failure(&worker, WorkerFailure::NotSent),
        }
    }

    /// Lets a process carry a call out, and returns its answer.
    fn carry_out(&mut self, machine: usize, process_id: &ProcessId, sent: SentCall) -> LeaderInput {
        let failure = sent.failure();
        let now = self.now;
        let SentCall { id, call, .. } = sent;
        let binds_named_calls = self.assumptions.binds_named_calls;
        let Some(process) = self.machines[machine].process.as_mut() else {
            return failure;
        };
        let worker = call.worker;
        match call.body {
            CallBody::Start(order) => {
                let (task, run) = (order.task, order.run);
                let (reply, is_new) = process.start(call.token, &order, now);
                let answer = StartAnswer {
                    reply,
                    process: call.process.filter(|_| binds_named_calls),
                };
                self.log(format!(
                    "{id:?} {task} run {run}: {reply:?} on {process_id:?}"
                ));
                if is_new {
                    let active = self.active_run(task, process_id, run);
                    self.checker.record_start(task, run, process_id, active);
                }
                LeaderInput::Start(worker, task, run, Ok(answer))
            }
            CallBody::Stop(order) => {
                process.stop(call.token, order.task, order.run);
                self.log(format!("{id:?} {} run {}", order.task, order.run));
                LeaderInput::Stop(worker, Ok(()))
            }
            CallBody::Renew(request, sent) => {
                let Some((reply, acknowledged)) = process.renew(call.token, &request, now) else {
                    self.log(format!("{id:?} is fenced on {process_id:?}"));
                    return LeaderInput::Renew(worker, sent, RenewOutcome::Fenced);
                };
                self.log(format!("{id:?} {request:?} on {process_id:?}: {reply:?}"));
                for end in acknowledged.iter().filter(|end| end.kind == EndKind::Done) {
                    self.checker
                        .record_acknowledgement(end.task, end.run, process_id);
                }
                LeaderInput::Renew(worker, sent, RenewOutcome::Answered(reply))
            }
        }
    }

    /// Returns a run of a task that is active elsewhere.
    pub(super) fn active_run(
        &self,
        task: TaskKey,
        own: &ProcessId,
        run: u32,
    ) -> Option<(u32, ProcessId)> {
        let processes = self.machines.iter().filter_map(|one| one.process.as_ref());
        let runs = processes.filter_map(|process| {
            let active = process.runs.get(&task)?;
            Some((*active, process.process_id()))
        });
        let mut others = runs.filter(|one| *one != (run, own.clone()));
        others.next()
    }

    pub(super) fn answer_later(&mut self, leader: usize, input: LeaderInput) {
        if self.leaders[leader].phase != LeaderPhase::Ended {
            self.answers.push(SentAnswer { leader, input });
        }
    }

    /// Gives the answers of one leader or of all.
    pub(super) fn give_answers(&mut self, leader: Option<usize>) {
        let (given, kept) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|one| leader.is_none_or(|leader| one.leader == leader));
        self.answers = kept;
        let given: Vec<SentAnswer> = given;
        for answer in given {
            self.pass_input(answer.leader, answer.input);
        }
    }

    pub(super) fn pass_input(&mut self, leader: usize, input: LeaderInput) {
        let now = self.planner_time();
        let one = &mut self.leaders[leader];
        if one.is_frozen {
            one.inbox.push_back(input);
            return;
        }
        one.handle(now, input);
        if one.phase == LeaderPhase::Ended {
            self.end_leader(leader);
            return;
        }
        self.step_leader(leader);
        self.advance_resigning(leader);
    }

    /// Tells the leaders of calls that got no answer in time. The calls stay on their way.
    pub(super) fn fail_late_calls(&mut self) {
        let now = self.now;
        let mut failed = Vec::new();
        for sent in &mut self.calls {
            let timeout = CALL_TIMEOUT + sent.call.body.wait();
            if sent.is_awaited && now.since(sent.sent_at) >= timeout {
                sent.is_awaited = false;
                sent.is_held = true;
                failed.push((sent.id.leader, sent.failure()));
            }
        }
        for (leader, input) in failed {
            self.pass_input(leader, input);
        }
    }

    /// Sends the calls that a leader's planner has decided on.
    pub(super) fn take_actions(&mut self, leader: usize) {
        for action in self.leaders[leader].planner.take_actions() {
            let (kind, call) = match action {
                PlannerAction::Start(call) => (CallKind::Start, with_body(call, CallBody::Start)),
                PlannerAction::Stop(call) => (CallKind::Stop, with_body(call, CallBody::Stop)),
                PlannerAction::Renew(call, sent) => (
                    CallKind::Renew,
                    with_body(call, |body| CallBody::Renew(body, sent)),
                ),
                PlannerAction::Pace(_) | PlannerAction::Advise(_) | PlannerAction::Event(_) => {
                    continue;
                }
            };
            self.send_call(leader, kind, call);
        }
    }

    pub(super) fn send_call(&mut self, leader: usize, kind: CallKind, call: WorkerCall<CallBody>) {
        let worker = worker_number(&call.worker);
        let is_same = |one: &&CallId| (one.leader, one.kind, one.worker) == (leader, kind, worker);
        let number = self.call_counts.iter().filter(is_same).count();
        let id = CallId {
            leader,
            kind,
            worker,
            number,
        };
        self.call_counts.push(id);
        let machine = self.machine_at(call.address);
        let process = self.machines[machine].process.as_ref();
        let process = process.map(WorkerProcess::process_id);
        self.calls.push(SentCall {
            id,
            call,
            sent_at: self.now,
            process,
            is_held: false,
            is_awaited: true,
        });
    }

    pub(super) fn find_call(&self, choice: CallChoice) -> Option<usize> {
        let (is_late, key) = match choice {
            CallChoice::Newest(leader, kind, worker) => (false, (leader, kind, worker)),
            CallChoice::Late(leader, kind, worker) => (true, (leader, kind, worker)),
        };
        let matches = |one: &SentCall| {
            let id = one.id;
            one.is_held == is_late && (id.leader, id.kind, id.worker) == key
        };
        if is_late {
            self.calls.iter().position(matches)
        } else {
            self.calls.iter().rposition(matches)
        }
    }
}

/// Returns the answer of another worker at the address.
fn refusal(sent: &SentCall) -> LeaderInput {
    let worker = sent.call.worker.clone();
    match &sent.call.body {
        CallBody::Start(order) => {
            let reply = Ok(StartReply::OtherLife.into());
            LeaderInput::Start(worker, order.task, order.run, reply)
        }
        CallBody::Stop(_) => LeaderInput::Stop(worker, Ok(())),
        CallBody::Renew(_, sent) => LeaderInput::Renew(worker, *sent, RenewOutcome::OtherWorker),
    }
}
