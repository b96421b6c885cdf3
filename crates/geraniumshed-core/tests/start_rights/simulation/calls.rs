//! The calls to workers and their answers.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use geraniumshed_core::assignment::{PlannerAction, PlannerEvent};
use geraniumshed_core::worker::{
    EndKind, RenewReply, RenewRequest, SentRenewal, StartAnswer, StartOrder, StopOrder, WorkerCall,
    WorkerFailure,
};

use super::fault::{Passage, Place};
use super::{Event, Simulation};
use crate::leader::{LeaderInput, RenewOutcome};

/// The time without an answer after which a call fails, in addition to its own wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(300);

/// What a call asks for.
#[derive(Debug, Clone)]
pub enum CallBody {
    Start(StartOrder),
    Stop(StopOrder),
    Renew(RenewRequest, SentRenewal),
}

/// A call on its way.
#[derive(Debug, Clone)]
pub struct MachineCall {
    pub number: u64,
    node: usize,
    node_process: u64,
    machine: usize,
    /// The worker process that was up when the call was sent.
    machine_process: u64,
    call: WorkerCall<CallBody>,
    is_answered: bool,
}

/// A renewal that a worker holds back until a run ends.
#[derive(Debug, Clone)]
pub struct ParkedRenewal {
    call: MachineCall,
    sent: SentRenewal,
}

impl MachineCall {
    fn failure(&self, failure: WorkerFailure) -> LeaderInput {
        let worker = self.call.worker.clone();
        match &self.call.body {
            CallBody::Start(order) => {
                LeaderInput::Start(worker, order.task, order.run, Err(failure))
            }
            CallBody::Stop(_) => LeaderInput::Stop(worker, Err(failure)),
            CallBody::Renew(_, sent) => LeaderInput::Renew(worker, *sent, RenewOutcome::Failed),
        }
    }
}

impl Simulation {
    /// Sends the calls that a leader's planner has decided on.
    pub(super) fn take_actions(&mut self, node: usize) {
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        for action in lead.leader.planner.take_actions() {
            match action {
                PlannerAction::Start(call) => self.send_call(node, wrap(call, CallBody::Start)),
                PlannerAction::Stop(call) => self.send_call(node, wrap(call, CallBody::Stop)),
                PlannerAction::Renew(call, sent) => {
                    self.send_call(node, wrap(call, |body| CallBody::Renew(body, sent)));
                }
                PlannerAction::Event(
                    event @ (PlannerEvent::RunLost(_)
                    | PlannerEvent::WorkerLost(_)
                    | PlannerEvent::WorkerSilent(_)
                    | PlannerEvent::WorkerAnswering(_)
                    | PlannerEvent::RunUnexpected(_)
                    | PlannerEvent::RestartSeen(_)
                    | PlannerEvent::WorkerRestarted(_)),
                ) => self.log(|| format!("node {node}: {event:?}")),
                PlannerAction::Event(_) | PlannerAction::Pace(_) | PlannerAction::Advise(_) => {}
            }
        }
    }

    fn send_call(&mut self, node: usize, call: WorkerCall<CallBody>) {
        self.message_count += 1;
        let number = self.message_count;
        let machine = machine_at(call.address);
        let wait = match &call.body {
            CallBody::Renew(request, _) => request.wait,
            CallBody::Start(_) | CallBody::Stop(_) => Duration::ZERO,
        };
        let node_process = self.nodes[node].process;
        let mut sent = MachineCall {
            number,
            node,
            node_process,
            machine,
            machine_process: self.machines[machine].incarnation(),
            call,
            is_answered: true,
        };
        let failure = sent.failure(WorkerFailure::Unanswered);
        if let Some(lead) = &mut self.nodes[node].lead {
            lead.open_calls.insert(number);
        }
        let timeout = Event::Answer(node, node_process, number, failure);
        self.push_in(CALL_TIMEOUT + wait, timeout);
        let (from, to) = (Place::Node(node), Place::Machine(machine));
        let Passage::Arrives(mut at) = self.plan.passage(from, to, self.now, number) else {
            return;
        };
        if let Some(late_ms) = self.plan.late_call(node, machine, self.now) {
            at = at + Duration::from_millis(late_ms);
            sent.is_answered = false;
        }
        self.push(at, Event::Call(sent));
    }

    /// Lets a machine carry a call out.
    pub(super) fn carry_out(&mut self, sent: MachineCall) {
        let now = self.now;
        let machine = sent.machine;
        if self.machines[machine].incarnation() != sent.machine_process {
            return;
        }
        let Some(process) = self.machines[machine].process.as_mut() else {
            return self.answer(&sent, sent.failure(WorkerFailure::NotSent));
        };
        let id = process.process_id();
        let worker = sent.call.worker.clone();
        let token = sent.call.token;
        let node = sent.node;
        let named = sent.call.process.filter(|_| self.setup.binds_named_calls);
        if named.is_some_and(|named| named != process.incarnation) {
            let reading = process.renew(token, &RenewRequest::reading(), now);
            return self.answer(&sent, refused(&sent, reading.map(|(reply, _)| reply)));
        }
        match &sent.call.body {
            CallBody::Start(order) => {
                let (task, run) = (order.task, order.run);
                let (reply, is_new) = process.start(token, order, now);
                let answer = StartAnswer {
                    reply,
                    process: named,
                };
                self.log(|| {
                    format!(
                        "machine {machine}: start of {task} run {run} by node {node}: {reply:?}"
                    )
                });
                if is_new {
                    let active = self.active_run(task, &id, run);
                    self.checker.record_start(task, run, &id, active);
                    self.run_started(machine, task, run);
                }
                self.answer(&sent, LeaderInput::Start(worker, task, run, Ok(answer)));
            }
            CallBody::Stop(order) => {
                let (task, run) = (order.task, order.run);
                let is_active = process.runs.get(&task) == Some(&run) && token >= process.token;
                if is_active {
                    let event = Event::StopDone(machine, sent.machine_process, task, run);
                    self.push_in(STOP_TIME, event);
                } else {
                    process.stop(token, task, run);
                }
                self.log(|| {
                    format!("machine {machine}: stop of {task} run {run} by node {node}: active {is_active}")
                });
                self.answer(&sent, LeaderInput::Stop(worker, Ok(())));
            }
            CallBody::Renew(request, renewal) => {
                let renewal = *renewal;
                let Some((reply, acknowledged)) = process.renew(token, request, now) else {
                    self.log(|| format!("machine {machine}: renewal by node {node} is fenced"));
                    let outcome = RenewOutcome::Fenced;
                    return self.answer(&sent, LeaderInput::Renew(worker, renewal, outcome));
                };
                let (deadline, wait) = (request.deadline, request.wait);
                self.log(|| {
                    format!(
                        "machine {machine}: renewal by node {node}, deadline {deadline:?}, clock {:?}",
                        reply.clock
                    )
                });
                for end in acknowledged.iter().filter(|end| end.kind == EndKind::Done) {
                    self.checker.record_acknowledgement(end.task, end.run, &id);
                }
                if wait.is_zero() || !reply.ended.is_empty() {
                    let outcome = RenewOutcome::Answered(reply);
                    return self.answer(&sent, LeaderInput::Renew(worker, renewal, outcome));
                }
                self.push_in(wait, Event::Parked(machine, sent.number));
                let parked = ParkedRenewal {
                    sent: renewal,
                    call: sent,
                };
                self.parked.insert(parked.call.number, parked);
            }
        }
    }

    /// Answers a renewal that was held back, unless it is answered already.
    pub(super) fn answer_parked(&mut self, machine: usize, number: u64) {
        let Some(parked) = self.parked.remove(&number) else {
            return;
        };
        let one = &self.machines[machine];
        if one.incarnation() != parked.call.machine_process {
            return;
        }
        let Some(process) = &one.process else {
            return;
        };
        let outcome = RenewOutcome::Answered(process.report(self.now));
        let worker = parked.call.call.worker.clone();
        self.answer(
            &parked.call,
            LeaderInput::Renew(worker, parked.sent, outcome),
        );
    }

    /// Answers all renewals that a machine holds back, since a run has ended.
    pub(super) fn answer_all_parked(&mut self, machine: usize) {
        let parked = self.parked.iter();
        let own = parked.filter(|(_, one)| one.call.machine == machine);
        let numbers: Vec<u64> = own.map(|(number, _)| *number).collect();
        for number in numbers {
            self.answer_parked(machine, number);
        }
    }

    fn answer(&mut self, sent: &MachineCall, input: LeaderInput) {
        if !sent.is_answered {
            return;
        }
        self.message_count += 1;
        let (from, to) = (Place::Machine(sent.machine), Place::Node(sent.node));
        let passage = self.plan.passage(from, to, self.now, self.message_count);
        if let Passage::Arrives(at) = passage {
            let event = Event::Answer(sent.node, sent.node_process, sent.number, input);
            self.push(at, event);
        }
    }

    /// Passes an answer, or the news that none came in time, to the leader that waits for it.
    pub(super) fn handle_answer(&mut self, node: usize, call: u64, input: LeaderInput) {
        let lead = self.nodes[node].lead.as_mut();
        if lead.is_some_and(|lead| lead.open_calls.remove(&call)) {
            self.pass_input(node, input);
        }
    }
}

/// Returns the answer to a call for another process than the one that is up, which has told so on a new
/// connection. It has answered with its lists, unless it refuses the token.
fn refused(sent: &MachineCall, reading: Option<RenewReply>) -> LeaderInput {
    let worker = sent.call.worker.clone();
    match (&sent.call.body, reading) {
        (CallBody::Renew(_, renewal), Some(reply)) => {
            LeaderInput::Renew(worker, *renewal, RenewOutcome::Answered(reply))
        }
        (CallBody::Renew(_, renewal), None) => {
            LeaderInput::Renew(worker, *renewal, RenewOutcome::Fenced)
        }
        (CallBody::Start(_) | CallBody::Stop(_), _) => sent.failure(WorkerFailure::NotSent),
    }
}

fn machine_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        IpAddr::V6(_) => 0,
    }
}

fn wrap<T>(call: WorkerCall<T>, wrap: impl FnOnce(T) -> CallBody) -> WorkerCall<CallBody> {
    let (call, body) = call.split();
    call.with_body(wrap(body))
}
