//! Passes the planner's calls to workers to couriers, or makes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::assignment::PlannerAction;
use geraniumshed_core::worker::WorkerCall;

use super::actions::{CallOrigin, LeaderAction, advise, deliver_reply};
use super::event::LeaderHandle;
use super::start_delays::StartDelayLog;
use crate::clock::ReadMark;
use crate::courier::{CourierLink, CourierOrder, CourierRoster, LinkCall, carry_out_in_time};
use crate::site::WorkerCaller;
use crate::telemetry::{NodeMetrics, log_event};

/// The delay from the decision on a call from which on it isn't made. It is shorter than the lifetime of a
/// leader's membership.
const MAX_CALL_DELAY: Duration = Duration::from_millis(700);

/// Executes the planner's actions.
#[derive(Debug)]
pub(super) struct ActionDispatcher<W> {
    pub(super) caller: W,
    pub(super) handle: LeaderHandle,
    pub(super) couriers: CourierRoster,
    pub(super) metrics: NodeMetrics,
    /// Summarizes how long starts take.
    pub(super) delays: StartDelayLog,
}

impl<W: WorkerCaller> ActionDispatcher<W> {
    /// Executes actions. Calls run in the background, and their answers come back as events.
    pub(super) fn execute(&mut self, actions: Vec<PlannerAction>) {
        let mut batches: BTreeMap<SocketAddr, (CourierLink, Vec<LinkCall>)> = BTreeMap::new();
        for action in actions {
            match LeaderAction::from(action) {
                LeaderAction::Call(call, origin) => match self.couriers.courier_of(call.address) {
                    Some(link) => {
                        let courier = link.member().address;
                        let (_, calls) = batches.entry(courier).or_insert((link, Vec::new()));
                        calls.push((call, origin));
                    }
                    None => self.call(call, origin),
                },
                LeaderAction::Event(event) => {
                    self.delays.record(&event);
                    self.metrics.record_event(&event);
                    log_event(&event);
                }
                LeaderAction::Advise(request) => {
                    tokio::spawn(advise(self.caller.clone(), self.handle.clone(), request));
                }
            }
        }
        for (link, calls) in batches.into_values() {
            for (call, origin) in link.send(calls) {
                self.call(call, origin);
            }
        }
    }

    /// Makes a call, unless the process stands still before it is made.
    fn call(&self, call: WorkerCall<CourierOrder>, origin: CallOrigin) {
        let (caller, handle) = (self.caller.clone(), self.handle.clone());
        let decided = ReadMark::now();
        tokio::spawn(async move {
            let reply = carry_out_in_time(caller, call, decided, MAX_CALL_DELAY).await;
            deliver_reply(&handle, origin, reply);
        });
    }
}
