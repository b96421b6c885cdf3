//! What a queue runs and has to start.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumshed_model::prelude::whole_millis;

use super::backlog::class_weight;
use super::rank::{LATE_CLAIM_FACTOR, StepClass, allowed_time};
use super::run_time::RunTimeFactor;
use super::timely_set::{OccurrenceKey, TimelyCandidate, choose_late};
use crate::job::{JobEntry, Occurrence, QueuePolicy, TaskPhase};

/// What a queue runs and has to start, without its long-running tasks.
#[derive(Debug)]
pub(super) struct QueueLoad {
    /// The processors that run its tasks.
    pub(super) busy_processors: f64,
    /// The work that waits to be started, in processor-seconds.
    pub(super) waiting_work: f64,
    /// Whether tasks wait of late jobs that claim a part of the starts.
    pub(super) has_late_claims: bool,
    /// The work of all occurrences, and their number.
    total_work: f64,
    occurrence_count: u32,
    /// The occurrences that can be in time, with their work in processor-seconds.
    candidates: Vec<TimelyCandidate>,
    /// The occurrences that can't be in time, since their chains take too long.
    hopeless: Vec<OccurrenceKey>,
    run_time: RunTimeFactor,
}

/// The state of an occurrence's tasks that aren't long-running.
#[derive(Debug, Default)]
struct OccurrenceLoad {
    busy_processors: f64,
    total_work: f64,
    waiting_work: f64,
    /// The work of the largest waiting task.
    task_work: f64,
    /// The longest chain that starts with a waiting step, in milliseconds.
    longest_chain_ms: u64,
    /// The shortest chain that starts with a waiting step, in milliseconds.
    shortest_chain_ms: Option<u64>,
    has_begun: bool,
}

impl QueueLoad {
    /// Creates the load of a queue whose runs take a multiple of their estimates.
    pub(super) fn new(run_time: RunTimeFactor) -> Self {
        Self {
            busy_processors: 0.0,
            waiting_work: 0.0,
            has_late_claims: false,
            total_work: 0.0,
            occurrence_count: 0,
            candidates: Vec::new(),
            hopeless: Vec::new(),
            run_time,
        }
    }

    /// Adds an open job.
    pub(super) fn add_job(
        &mut self,
        job: &JobEntry,
        policy: &QueuePolicy,
        now_unix_ms: u64,
        let_late: &BTreeSet<OccurrenceKey>,
    ) {
        let allowed_ms = whole_millis(allowed_time(job, policy));
        for occurrence in &job.occurrences {
            let load = OccurrenceLoad::of(job, occurrence);
            self.busy_processors += load.busy_processors;
            if load.total_work <= 0.0 {
                continue;
            }
            self.total_work += load.total_work;
            self.occurrence_count += 1;
            self.waiting_work += load.waiting_work;
            let due_unix_ms = job.due_unix_ms(occurrence.number);
            let left_ms = due_unix_ms
                .saturating_add(allowed_ms)
                .saturating_sub(now_unix_ms);
            let key = (job.id, occurrence.number);
            if load.waiting_work > 0.0 {
                match load.candidate(key, left_ms, self.run_time, let_late) {
                    Some(candidate) => self.candidates.push(candidate),
                    None => self.hopeless.push(key),
                }
            }
            let claim_ms = allowed_ms.saturating_mul(u64::from(LATE_CLAIM_FACTOR));
            let claim_unix_ms = due_unix_ms.saturating_add(claim_ms);
            self.has_late_claims |= load.waiting_work > 0.0
                && claim_unix_ms < now_unix_ms.saturating_add(load.longest_chain_ms);
        }
    }

    /// Returns the occurrences that have to be late so that the others can be in time, if a number of
    /// processors run tasks of the queue.
    pub(super) fn choose_late(&self, processors: f64) -> BTreeSet<OccurrenceKey> {
        // Work is started as fast as the runs before it end.
        let mut rate = processors / self.run_time.get();
        if self.has_late_claims {
            rate *= class_weight(StepClass::InTime);
        }
        let mean = self.total_work / f64::from(self.occurrence_count.max(1));
        let candidates = self.candidates.iter().map(|candidate| TimelyCandidate {
            relative_work: candidate.relative_work / mean.max(f64::EPSILON),
            ..candidate.clone()
        });
        let mut late = choose_late(candidates.collect(), rate);
        late.extend(&self.hopeless);
        late
    }
}

impl OccurrenceLoad {
    fn of(job: &JobEntry, occurrence: &Occurrence) -> Self {
        let mut load = Self::default();
        let steps = job.request.steps.iter().zip(&occurrence.steps);
        for (index, (step, tasks)) in (0u32..).zip(steps) {
            if step.is_long_running {
                continue;
            }
            let work = step.task_work();
            let processors = f64::from(step.size.processors.0) / 1000.0;
            let mut is_waiting = false;
            for task in tasks {
                load.total_work += work;
                match task.phase {
                    TaskPhase::Waiting => {
                        load.waiting_work += work;
                        is_waiting = true;
                    }
                    TaskPhase::Placed(_) => {
                        load.busy_processors += processors;
                        load.has_begun = true;
                    }
                    TaskPhase::Done => load.has_begun = true,
                }
            }
            if is_waiting {
                load.task_work = load.task_work.max(work);
                load.add_waiting_step(whole_millis(job.chain_from(index)));
            }
        }
        load
    }

    fn add_waiting_step(&mut self, chain_ms: u64) {
        self.longest_chain_ms = self.longest_chain_ms.max(chain_ms);
        let shortest = self.shortest_chain_ms.unwrap_or(u64::MAX);
        self.shortest_chain_ms = Some(shortest.min(chain_ms));
    }

    /// Returns the candidate for the choice of jobs to keep in time, if tasks wait.
    fn candidate(
        &self,
        key: OccurrenceKey,
        left_ms: u64,
        run_time: RunTimeFactor,
        let_late: &BTreeSet<OccurrenceKey>,
    ) -> Option<TimelyCandidate> {
        let shortest_chain_ms = self.shortest_chain_ms?;
        let seconds = |ms: u64| Duration::from_millis(ms).as_secs_f64();
        let left = seconds(left_ms);
        // The chain that remains can't be finished in time by any rate.
        if seconds(self.longest_chain_ms) * run_time.get() > left {
            return None;
        }
        let start_limit = left - seconds(shortest_chain_ms) * run_time.get();
        Some(TimelyCandidate {
            key,
            remaining: self.waiting_work,
            relative_work: self.total_work,
            task_work: self.task_work,
            start_limit,
            has_begun: self.has_begun,
            was_let_late: let_late.contains(&key),
        })
    }
}
