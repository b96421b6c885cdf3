//! The commands that a worker's stand-in runs.
//!
//! A command is `simulate` and a list of `name=value`:
//!
//! | name | value | of | meaning |
//! |---|---|---|---|
//! | `run` | a span, such as `2s` | batch | the work, as the time that it takes alone |
//! | `fail` | `0` to `1` | batch | the chance that an attempt fails at its end |
//! | `checkpoint` | a span or `none` | batch | the time to write a checkpoint |
//! | `serve` | a span | service | the mean time to serve a request |
//! | `spread` | `0` to `1` | service | the part of that time that is drawn by chance |
//! | `answer` | a size, such as `1KB` | service | the padding of each answer |
//! | `queue` | a number | service | the requests that wait for a slot |
//! | `idempotent` | `yes` or `no` | service | whether a second run of any request does no harm |
//! | `linger` | a span | service | the time for which an idle endpoint stays before it stops |
//! | `start` | a span | both | the time until the attempt works |
//! | `use` | `0%` to `400%` | both | the processors used, relative to the declared size |
//! | `memory` | a size | both | the memory used, in place of the declared one |

use std::time::Duration;

use geraniumshed_model::prelude::{MemorySize, TaskClass, TimeSpan};
use smol_str::{SmolStr, format_smolstr};

/// The processors that a task may use at most, relative to its declared size, in percent.
const USE_LIMIT_PERCENT: u32 = 400;

/// The requests that may wait at most.
const QUEUE_LIMIT: usize = 10_000;

/// A command, read from its text.
#[derive(Debug, Clone, PartialEq)]
pub struct SimulateCommand {
    /// The work of a batch task.
    pub run: Option<Duration>,
    /// The chance of a failure.
    pub fail: f64,
    /// The time to write a checkpoint, or `None` if the task writes none.
    pub checkpoint: Option<Duration>,
    /// The mean time to serve a request.
    pub serve: Option<Duration>,
    /// The part of the time to serve that is drawn by chance.
    pub spread: f64,
    /// The padding of each answer, in bytes.
    pub answer: usize,
    /// The requests that wait for a slot, or `None` for as many as there are slots.
    pub queue: Option<usize>,
    /// Whether a second run of a request of any method does no harm.
    pub idempotent: bool,
    /// The time for which an idle endpoint stays before it stops.
    pub linger: Duration,
    /// The time until the attempt works.
    pub start: Duration,
    /// The processors used, relative to the declared size, in percent.
    pub use_percent: u32,
    /// The memory used, in place of the declared one.
    pub memory: Option<MemorySize>,
}

impl Default for SimulateCommand {
    fn default() -> Self {
        Self {
            run: None,
            fail: 0.0,
            checkpoint: Some(Duration::from_millis(50)),
            serve: None,
            spread: 0.0,
            answer: 0,
            queue: None,
            idempotent: false,
            linger: Duration::from_millis(500),
            start: Duration::from_millis(10),
            use_percent: 80,
            memory: None,
        }
    }
}

impl SimulateCommand {
    /// Reads the command of a task.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and what is allowed.
    pub fn parse(text: &str, class: TaskClass) -> Result<Self, SmolStr> {
        let mut words = text.split_whitespace();
        if words.next() != Some("simulate") {
            return Err(format_smolstr!(
                "unknown command `{text}`: use `simulate run=2s` or `simulate serve=20ms`"
            ));
        }
        let mut command = Self::default();
        for word in words {
            let Some((name, value)) = word.split_once('=') else {
                return Err(format_smolstr!("`{word}` is not of the form `name=value`"));
            };
            command.set(name, value)?;
        }
        command.check(class)?;
        Ok(command)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), SmolStr> {
        match name {
            "run" => self.run = Some(parse_span(name, value)?),
            "fail" => self.fail = parse_share(name, value)?,
            "checkpoint" if value == "none" => self.checkpoint = None,
            "checkpoint" => self.checkpoint = Some(parse_span(name, value)?),
            "serve" => self.serve = Some(parse_span(name, value)?),
            "spread" => self.spread = parse_share(name, value)?,
            "answer" => self.answer = parse_length(name, value)?,
            "queue" => self.queue = Some(parse_number(name, value, QUEUE_LIMIT)?),
            "idempotent" => self.idempotent = parse_switch(name, value)?,
            "linger" => self.linger = parse_span(name, value)?,
            "start" => self.start = parse_span(name, value)?,
            "use" => self.use_percent = parse_percent(name, value)?,
            "memory" => self.memory = Some(parse_memory(name, value)?),
            _ => return Err(format_smolstr!("`simulate` has no parameter `{name}`")),
        }
        Ok(())
    }

    fn check(&self, class: TaskClass) -> Result<(), SmolStr> {
        match class {
            TaskClass::Batch if self.run.is_none() => {
                Err("a batch task needs `run`, such as `simulate run=2s`".into())
            }
            TaskClass::Service | TaskClass::Listener if self.serve.is_none() => {
                Err("a service needs `serve`, such as `simulate serve=20ms`".into())
            }
            TaskClass::Batch | TaskClass::Service | TaskClass::Listener => Ok(()),
        }
    }
}

/// Reads a span such as `20ms`.
pub(crate) fn parse_span(name: &str, value: &str) -> Result<Duration, SmolStr> {
    let span: TimeSpan = value
        .parse()
        .map_err(|error| format_smolstr!("`{name}`: {error}"))?;
    Ok(span.0)
}

fn parse_switch(name: &str, value: &str) -> Result<bool, SmolStr> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format_smolstr!(
            "`{name}={value}` is neither `yes` nor `no`"
        )),
    }
}

fn parse_share(name: &str, value: &str) -> Result<f64, SmolStr> {
    match value.parse::<f64>() {
        Ok(share) if (0.0..=1.0).contains(&share) => Ok(share),
        _ => Err(format_smolstr!("`{name}={value}` is not from 0 to 1")),
    }
}

fn parse_memory(name: &str, value: &str) -> Result<MemorySize, SmolStr> {
    value
        .parse()
        .map_err(|error| format_smolstr!("`{name}`: {error}"))
}

/// Reads a size such as `1KB` as a number of bytes that fits into memory.
pub(crate) fn parse_length(name: &str, value: &str) -> Result<usize, SmolStr> {
    /// The bytes that an answer may have.
    const LENGTH_LIMIT_BYTES: u64 = 256_000_000;
    let MemorySize(bytes) = parse_memory(name, value)?;
    if bytes > LENGTH_LIMIT_BYTES {
        return Err(format_smolstr!("`{name}={value}` is more than 256MB"));
    }
    usize::try_from(bytes).map_err(|_| format_smolstr!("`{name}={value}` is too large"))
}

fn parse_number(name: &str, value: &str, limit: usize) -> Result<usize, SmolStr> {
    match value.parse() {
        Ok(number) if number <= limit => Ok(number),
        _ => Err(format_smolstr!(
            "`{name}={value}` is not a whole number up to {limit}"
        )),
    }
}

fn parse_percent(name: &str, value: &str) -> Result<u32, SmolStr> {
    let number = value.strip_suffix('%').and_then(|text| text.parse().ok());
    match number {
        Some(percent) if percent <= USE_LIMIT_PERCENT => Ok(percent),
        _ => Err(format_smolstr!(
            "`{name}={value}` is not a percentage from 0% to {USE_LIMIT_PERCENT}%"
        )),
    }
}
