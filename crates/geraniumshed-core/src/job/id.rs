//! Ids of jobs, tasks, queues and workers.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use geraniumshed_model::prelude::ParseIdError;
use smol_str::SmolStr;

/// The number of hexadecimal digits in the text form of a job id.
const JOB_ID_DIGITS: usize = 16;

/// The id that a client gives to its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl Display for JobId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid = text.len() == JOB_ID_DIGITS
            && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_valid);
        number.map(Self).ok_or_else(|| ParseIdError {
            expected: "job id",
            found: text.chars().take(JOB_ID_DIGITS).collect(),
            hint: "use 16 lower-case hexadecimal digits",
        })
    }
}

/// Identifies a task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, counted from 0.
    pub occurrence: u32,
    /// The index of the step within the job, counted from 0.
    pub step: u32,
    /// The index of the task within its step, counted from 0.
    pub index: u32,
}

impl Display for TaskKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            expected: "task key",
            found: text.chars().take(64).collect(),
            hint: "use JOB.OCCURRENCE.STEP.INDEX",
        };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = next()?.parse()?;
        let mut number = || next()?.parse().map_err(|_| error());
        let key = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(key),
            Some(_) => Err(error()),
        }
    }
}

/// Identifies a step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, counted from 0.
    pub occurrence: u32,
    /// The index of the step within the job, counted from 0.
    pub step: u32,
}

impl From<TaskKey> for StepKey {
    fn from(task: TaskKey) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

impl Display for StepKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Defines newtypes over names that clients, operators and workers choose.
macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub SmolStr);

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(SmolStr::new(text))
            }
        }
    )*};
}

name_types! {
    /// The name of the queue that a job is submitted to.
    QueueName;
    /// The name of the service whose workers run a queue's tasks.
    ServiceName;
    /// The id under which a worker registers itself.
    WorkerId;
}
