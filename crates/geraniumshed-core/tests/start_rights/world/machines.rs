//! The workers' processes.

use std::net::SocketAddr;

use geraniumshed_core::job::WorkerId;
use geraniumshed_core::worker::EndKind;

use super::{World, address_of, task};
use crate::step::ReturnKind;
use crate::worker::WorkerProcess;

impl World {
    pub(super) fn finish(&mut self, machine: usize, index: u32) -> Option<()> {
        let process = self.machines.get_mut(machine)?.process.as_mut()?;
        let task = task(index);
        let run = *process.runs.get(&task)?;
        process.end(task, EndKind::Done);
        let process = process.process_id();
        self.checker.record_success(task, run, &process);
        Some(())
    }

    pub(super) fn return_worker(&mut self, machine: usize, kind: ReturnKind) -> Option<()> {
        if self.machines.get(machine)?.process.is_some() {
            return None;
        }
        if kind == ReturnKind::NewId {
            self.machines[machine].worker = self.next_worker();
        }
        self.machines[machine].is_listed = true;
        let id = self.machines[machine].worker.clone();
        let mut process = self.new_process(id, self.assumptions.later_reading);
        if kind == ReturnKind::SameId && !self.assumptions.forgets_token {
            process.token = self.machines[machine].last_token;
        }
        self.machines[machine].process = Some(process);
        Some(())
    }

    pub(super) fn set_listed(&mut self, machine: usize, is_listed: bool) -> Option<()> {
        let one = self.machines.get_mut(machine)?;
        let before = std::mem::replace(&mut one.is_listed, is_listed);
        (before != is_listed).then_some(())
    }

    /// Ends the runs whose lease has expired.
    pub(super) fn check_leases(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            let Some(process) = &mut machine.process else {
                continue;
            };
            if process.check_lease(now) {
                self.checker.record_lapse(&process.process_id());
            }
        }
    }

    pub(super) fn machine_at(&self, address: SocketAddr) -> usize {
        let machines = 0..self.machines.len();
        let mut found = machines.filter(|machine| address_of(*machine) == address);
        found.next().unwrap_or_default()
    }

    pub(super) fn next_worker(&mut self) -> WorkerId {
        let number = self.worker_count;
        self.worker_count += 1;
        WorkerId(format!("w{number}").into())
    }

    pub(super) fn new_process(&self, id: WorkerId, first_reading: u64) -> WorkerProcess {
        let started_unix_ms = self.planner_time().unix_ms;
        WorkerProcess::new(id, started_unix_ms, self.now, first_reading)
    }
}
