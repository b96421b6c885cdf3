//! The workers' processes and their runs.

use std::time::Duration;

use geraniumshed_core::job::{TaskKey, WorkerId};
use geraniumshed_core::worker::{EndKind, WorkerIncarnation, WorkerListing};
use geraniumshed_model::prelude::TimePoint;

use super::{Event, JobKind, START_UNIX_MS, Simulation, job_id, size};
use crate::checker::ProcessId;
use crate::worker::WorkerProcess;

/// What the clocks of the first processes show.
const FIRST_READING: u64 = 100_000;
/// What the clocks of later processes may show at their start, in milliseconds: less than those of the first
/// processes, and more.
const LATER_READINGS: [u64; 3] = [0, 40_000, 7_000_000];
/// The interval between checks of a gang.
const GANG_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The time within which all members of a gang have to start.
const GANG_TIMEOUT: Duration = Duration::from_secs(2);

/// A machine with the process of its worker, if that is up.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    pub process: Option<WorkerProcess>,
    /// The newest process so far, by its start time in milliseconds of Unix time.
    pub newest_process: u64,
}

impl Machine {
    /// Returns the start time of the process that is up, in milliseconds of Unix time, or 0.
    pub fn incarnation(&self) -> u64 {
        self.process.as_ref().map_or(0, |one| one.incarnation.0)
    }
}

impl Simulation {
    pub(super) fn start_process(&mut self, machine: usize) {
        let before = self.machines[machine].newest_process;
        let (started_unix_ms, first_reading) = if before == 0 {
            (START_UNIX_MS, FIRST_READING)
        } else {
            let started = (before + 1).max(self.planner_time().unix_ms);
            let kind = usize::try_from(started).unwrap_or_default() % LATER_READINGS.len();
            (started, LATER_READINGS[kind])
        };
        self.machines[machine].newest_process = started_unix_ms;
        let id = worker_id(machine);
        let mut process = WorkerProcess::new(id, started_unix_ms, self.now, first_reading);
        process.longest_lease = self.setup.longest_lease;
        process.clock_percent = [98, 100, 99][machine % 3];
        let kinds = self.setup.jobs.iter().enumerate();
        let long_running = kinds.filter(|(_, (_, kind))| matches!(kind, JobKind::LongRunning(_)));
        process.long_running = long_running.map(|(job, _)| job_id(job)).collect();
        self.machines[machine].process = Some(process);
    }

    pub(super) fn crash(&mut self, machine: usize) {
        self.machines[machine].process = None;
        self.log(|| format!("machine {machine} crashes"));
    }

    /// Returns the registrations that the store shows.
    pub(super) fn listings(&self) -> Vec<WorkerListing> {
        let listed = (0..self.machines.len()).filter(|one| self.plan.is_listed(*one, self.now));
        let listing = |machine: usize| WorkerListing {
            id: worker_id(machine),
            service: "s".into(),
            address: format!("10.0.0.{}:80", machine + 1).parse().unwrap(),
            zone: "z".into(),
            incarnation: Some(WorkerIncarnation(self.machines[machine].newest_process)),
            capacity: size(8_000, 16),
            labels: Vec::new(),
            rack: None,
            is_draining: false,
            leaves_in: None,
        };
        listed.map(listing).collect()
    }

    /// Ends the runs whose lease has expired.
    pub(super) fn check_leases(&mut self) {
        let now = self.now;
        for machine in 0..self.machines.len() {
            let Some(process) = &mut self.machines[machine].process else {
                continue;
            };
            let has_runs = !process.runs.is_empty();
            if process.check_lease(now) {
                let id = process.process_id();
                self.checker.record_lapse(&id);
                if has_runs {
                    self.log(|| format!("lease of machine {machine} lapses"));
                    self.answer_all_parked(machine);
                }
            }
        }
    }

    /// Schedules the end of a run that has just started.
    pub(super) fn run_started(&mut self, machine: usize, task: TaskKey, run: u32) {
        let process = self.machines[machine].incarnation();
        match self.kind_of(task.job) {
            JobKind::LongRunning(_) => {}
            JobKind::Batch(_, time_ms) => {
                let time = Duration::from_millis(time_ms + 300 * u64::from(task.index));
                self.push_in(time, Event::RunDone(machine, process, task, run));
            }
            JobKind::Gang(..) => {
                let job = usize::try_from(task.job.0).unwrap_or_default() - 1;
                let event = Event::CheckGang(job, run, self.now);
                self.push_in(GANG_CHECK_INTERVAL, event);
            }
        }
    }

    pub(super) fn finish_run(&mut self, machine: usize, process: u64, task: TaskKey, run: u32) {
        self.end_run(machine, process, task, run, EndKind::Done);
    }

    pub(super) fn finish_stop(&mut self, machine: usize, process: u64, task: TaskKey, run: u32) {
        self.end_run(machine, process, task, run, EndKind::Stopped);
    }

    fn end_run(&mut self, machine: usize, process: u64, task: TaskKey, run: u32, kind: EndKind) {
        if self.machines[machine].incarnation() != process {
            return;
        }
        let Some(one) = &mut self.machines[machine].process else {
            return;
        };
        if one.runs.get(&task) != Some(&run) {
            return;
        }
        one.end(task, kind);
        let id = one.process_id();
        self.log(|| format!("{task} run {run} on machine {machine} ends: {kind:?}"));
        if kind == EndKind::Done {
            self.checker.record_success(task, run, &id);
        }
        self.answer_all_parked(machine);
    }

    /// Ends the runs of a gang's attempt together, or breaks them if members are missing.
    pub(super) fn check_gang(&mut self, job: usize, run: u32, started: TimePoint) {
        let JobKind::Gang(count, time_ms) = self.setup.jobs[job].1 else {
            return;
        };
        let mut alive = Vec::new();
        for (machine, one) in self.machines.iter().enumerate() {
            let runs = one.process.iter().flat_map(|process| process.runs.iter());
            let members = runs.filter(|(task, number)| task.job == job_id(job) && **number == run);
            alive.extend(members.map(|(task, _)| (machine, one.incarnation(), *task)));
        }
        let age = self.now.since(started);
        let is_complete = alive.len() == count as usize;
        let kind = match is_complete {
            true if age >= Duration::from_millis(time_ms) => EndKind::Done,
            false if age >= GANG_TIMEOUT => EndKind::Broken,
            _ => {
                let event = Event::CheckGang(job, run, started);
                return self.push_in(GANG_CHECK_INTERVAL, event);
            }
        };
        for (machine, process, task) in alive {
            self.end_run(machine, process, task, run, kind);
        }
    }

    /// Returns another active run of a task.
    pub(super) fn active_run(
        &self,
        task: TaskKey,
        own: &ProcessId,
        run: u32,
    ) -> Option<(u32, ProcessId)> {
        let processes = self.machines.iter().filter_map(|one| one.process.as_ref());
        let mut runs = processes.filter_map(|process| {
            let active = process.runs.get(&task)?;
            Some((*active, process.process_id()))
        });
        runs.find(|one| *one != (run, own.clone()))
    }
}

pub fn worker_id(machine: usize) -> WorkerId {
    WorkerId(format!("w{machine}").into())
}
