//! Checks the runs on the workers: no task runs twice at once, and none is started again after its
//! success was acknowledged.

use std::collections::BTreeMap;

use geraniumshed_core::job::{TaskKey, WorkerId};

/// Identifies a process of a worker.
pub type ProcessId = (WorkerId, u64);

/// A run that broke the rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A task was started while another run of it was active on a worker that is up.
    RunsAtOnce {
        task: TaskKey,
        first: (u32, ProcessId),
        second: (u32, ProcessId),
    },
    /// A task was started after the success of an earlier run, which was acknowledged.
    StartedAfterSuccess {
        task: TaskKey,
        done: (u32, ProcessId),
        started: (u32, ProcessId),
    },
}

/// The start of a run.
#[derive(Debug, Clone)]
struct RecordedStart {
    run: u32,
    process: ProcessId,
    position: usize,
}

/// The success of a run.
#[derive(Debug, Clone)]
struct RecordedSuccess {
    run: u32,
    process: ProcessId,
    position: usize,
    is_acknowledged: bool,
}

/// Records what happens on the workers, in order.
#[derive(Debug, Clone, Default)]
pub struct RunChecker {
    starts: BTreeMap<TaskKey, Vec<RecordedStart>>,
    successes: BTreeMap<TaskKey, Vec<RecordedSuccess>>,
    position: usize,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl RunChecker {
    /// Records a start, given the other active runs of the task.
    pub fn record_start(
        &mut self,
        task: TaskKey,
        run: u32,
        process: &ProcessId,
        active: Option<(u32, ProcessId)>,
    ) {
        self.position += 1;
        let start = RecordedStart {
            run,
            process: process.clone(),
            position: self.position,
        };
        self.starts.entry(task).or_default().push(start);
        if let Some(first) = active {
            self.report(Violation::RunsAtOnce {
                task,
                first,
                second: (run, process.clone()),
            });
        }
        self.check_successes(task);
    }

    /// Records that a run has succeeded.
    pub fn record_success(&mut self, task: TaskKey, run: u32, process: &ProcessId) {
        self.position += 1;
        let success = RecordedSuccess {
            run,
            process: process.clone(),
            position: self.position,
            is_acknowledged: false,
        };
        self.successes.entry(task).or_default().push(success);
    }

    /// Records that the success of a run was acknowledged to its worker.
    pub fn record_acknowledgement(&mut self, task: TaskKey, run: u32, process: &ProcessId) {
        self.position += 1;
        let successes = self.successes.entry(task).or_default();
        let matching = successes
            .iter_mut()
            .filter(|one| one.run == run && one.process == *process);
        for success in matching {
            success.is_acknowledged = true;
        }
        self.check_successes(task);
    }

    /// Forgets the successes of a process that aren't acknowledged, since its lease has expired.
    pub fn record_lapse(&mut self, process: &ProcessId) {
        for successes in self.successes.values_mut() {
            successes.retain(|one| one.is_acknowledged || one.process != *process);
        }
    }

    fn check_successes(&mut self, task: TaskKey) {
        let successes = self.successes.get(&task).into_iter().flatten();
        let starts = self.starts.get(&task).map_or(&[][..], Vec::as_slice);
        let acknowledged = successes.filter(|one| one.is_acknowledged);
        let found = acknowledged
            .flat_map(|success| starts.iter().map(move |start| (success, start)))
            .find(|(success, start)| start.position > success.position);
        let Some((success, start)) = found else {
            return;
        };
        let violation = Violation::StartedAfterSuccess {
            task,
            done: (success.run, success.process.clone()),
            started: (start.run, start.process.clone()),
        };
        self.report(violation);
    }

    fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }
}
