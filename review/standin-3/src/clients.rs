//! Clients, which submit jobs and ask for their state.

use std::collections::HashSet;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::call;
use crate::site::{HOST, Site};
use crate::wide_job::SMALL;
use crate::worker::Shape;

/// The time for which a client waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// The time after its last run from which on a task that lasts has to run.
const LAST_RUN_TIME: Duration = Duration::from_secs(6);
/// The delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A job that a client has sent.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub queue: &'static str,
    pub is_accepted: bool,
}

/// A step of a job.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub count: u64,
    pub shape: Shape,
}

impl Site {
    /// Submits a job of one step, up to the given number of attempts.
    pub fn submit(&self, number: u64, queue: &'static str, step: Step, attempts: usize) -> Job {
        self.submit_chain(number, queue, &[step], attempts)
    }

    /// Submits a job of steps that follow each other.
    pub fn submit_chain(
        &self,
        number: u64,
        queue: &'static str,
        steps: &[Step],
        attempts: usize,
    ) -> Job {
        let id = format!("{:016x}", 0x00c0_ffee_0000_0000 + number);
        let wire: Vec<Value> = steps.iter().enumerate().map(step_wire).collect();
        let body = json!({"spec": "review", "steps": wire}).to_string();
        let shapes = steps.iter().map(|step| step.shape).collect();
        self.jobs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.clone(), shapes);
        let count: u64 = steps.iter().map(|step| step.count).sum();
        let path = format!("/{queue}/{id}");
        let mut job = Job {
            id,
            queue,
            is_accepted: false,
        };
        for attempt in 0..attempts {
            let front = self.fronts[(number as usize + attempt) % self.fronts.len()];
            let answer = call(front, "POST", HOST, &path, body.as_bytes(), CALL_LIMIT);
            let status =
                answer.map_or_else(|error| error.to_string(), |(status, _)| status.to_string());
            self.recorder.note(&format!(
                "client: POST {path} ({count} tasks, {} bytes) to {front}: {status}",
                body.len()
            ));
            if status == "200" {
                job.is_accepted = true;
                return job;
            }
            thread::sleep(RETRY_DELAY);
        }
        job
    }

    /// Asks for the state of a job; returns the status of the answer and the state, or `None` if no daemon
    /// answers in time.
    pub fn state(&self, job: &Job) -> Option<(u16, String)> {
        let path = format!("/{}/{}", job.queue, job.id);
        for front in &self.fronts {
            let answer = call(*front, "GET", HOST, &path, b"", CALL_LIMIT);
            let Ok((status, body)) = answer else {
                continue;
            };
            if status == 200 || status == 410 {
                let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                let state = body["state"].as_str().unwrap_or_default().to_owned();
                return Some((status, state));
            }
        }
        None
    }

    /// Cancels a job; returns the status of the answer.
    pub fn cancel(&self, job: &Job) -> Option<u16> {
        let path = format!("/{}/{}", job.queue, job.id);
        let answer = call(self.fronts[0], "DELETE", HOST, &path, b"", CALL_LIMIT);
        let status = answer.ok().map(|(status, _)| status);
        self.recorder
            .note(&format!("client: DELETE {path}: {status:?}"));
        status
    }

    /// Returns how many of a number of tasks of jobs run at no moment of the given time, and the largest share of
    /// the capacity in use. The rule asks for 3 s.
    pub fn idle_tasks(
        &self,
        jobs: &[Job],
        tasks: usize,
        time: Duration,
        shape: &Shape,
    ) -> (usize, f64, u64) {
        let mut seen = HashSet::new();
        // The time begins 6 s after the last run of a task.
        for job in jobs {
            self.fleet.add_ended(&job.id, LAST_RUN_TIME, &mut seen);
        }
        let mut room = u64::MAX;
        let mut used = 0.0f64;
        let until = Instant::now() + time;
        while Instant::now() < until {
            for job in jobs {
                self.fleet.add_running(&job.id, &mut seen);
            }
            used = used.max(self.fleet.used_share());
            room = room.min(self.fleet.room_for(shape));
            thread::sleep(Duration::from_millis(20));
        }
        for job in jobs {
            self.fleet
                .add_ended(&job.id, time + LAST_RUN_TIME, &mut seen);
        }
        (tasks.saturating_sub(seen.len()), used, room)
    }

    /// Returns the jobs that are neither completed nor have a task that runs at any moment of the given time.
    /// The rule asks for 3 s.
    pub fn idle_jobs(&self, jobs: &[Job], time: Duration) -> (Vec<Job>, f64, u64) {
        let mut idle: Vec<Job> = jobs.iter().filter(|job| job.is_accepted).cloned().collect();
        let mut used = 0.0f64;
        let mut room = u64::MAX;
        let until = Instant::now() + time;
        while Instant::now() < until {
            idle.retain(|job| self.fleet.running(&job.id) == 0);
            used = used.max(self.fleet.used_share());
            room = room.min(self.fleet.room_for(&SMALL.shape));
            thread::sleep(Duration::from_millis(20));
        }
        let states: Vec<Option<(u16, String)>> = thread::scope(|scope| {
            let asking: Vec<_> = idle
                .iter()
                .map(|job| scope.spawn(|| self.state(job)))
                .collect();
            asking
                .into_iter()
                .map(|one| one.join().ok().flatten())
                .collect()
        });
        let mut states = states.into_iter();
        idle.retain(|job| {
            let state = states.next().flatten();
            self.recorder
                .note(&format!("client: GET {}: {state:?}", job.id));
            !state.is_some_and(|(_, state)| state == "completed")
        });
        (idle, used, room)
    }
}

/// Returns a step as a client sends it. Each one but the first follows the one before.
fn step_wire((index, step): (usize, &Step)) -> Value {
    let Step { count, shape } = *step;
    let mut wire = json!({"count": count, "cpu": shape.cpu, "memMb": shape.mem_mb});
    match shape.time {
        Some(time) => wire["estimateMs"] = json!(time.as_millis() as u64),
        None => wire["longRunning"] = json!(true),
    }
    if shape.saves {
        wire["enableCheckpoints"] = json!(true);
    }
    if shape.gang > 0 {
        wire["gang"] = json!(true);
    }
    if let Some(label) = shape.requires {
        wire["requires"] = json!(label);
    }
    if index > 0 {
        wire["after"] = json!([index - 1]);
    }
    wire
}
