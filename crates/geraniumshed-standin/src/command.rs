//! The task commands that simulated workers run.
//!
//! A command is `simulate`, followed by parameters of the form `name=value`:
//!
//! | name | value | of | meaning |
//! |---|---|---|---|
//! | `run` | a duration, such as `2s` | batch | the run time without neighbours |
//! | `fail` | `0` to `1` | batch | the probability that an attempt fails at its end |
//! | `checkpoint` | a duration or `none` | batch | the time to write a checkpoint |
//! | `serve` | a duration | service | the mean service time of a request |
//! | `spread` | `0` to `1` | service | the fraction of that time that is random |
//! | `answer` | a size, such as `1KB` | service | the padding of each response |
//! | `queue` | a number | service | the maximum number of requests that wait for a slot |
//! | `idempotent` | `yes` or `no` | service | whether any request may safely run twice |
//! | `linger` | a duration | service | the idle time before a leaving endpoint stops |
//! | `start` | a duration | both | the startup time of an attempt |
//! | `use` | `0%` to `400%` | both | the processor usage relative to the declared size |
//! | `memory` | a size | both | the memory usage |

use std::time::Duration;

use geraniumshed_model::prelude::{MemorySize, TaskClass, TimeSpan};
use smol_str::{SmolStr, format_smolstr};

/// The maximum processor usage relative to the declared size, in percent.
const USE_LIMIT_PERCENT: u32 = 400;

/// The maximum queue length of an endpoint.
const QUEUE_LIMIT: usize = 10_000;

/// A parsed command.
#[derive(Debug, Clone, PartialEq)]
pub struct SimulateCommand {
    /// The run time of a batch task without neighbours.
    pub run: Option<Duration>,
    /// The probability that an attempt fails at its end.
    pub fail: f64,
    /// The time to write a checkpoint, or `None` if the task writes none.
    pub checkpoint: Option<Duration>,
    /// The mean service time of a request.
    pub serve: Option<Duration>,
    /// The fraction of the service time that is random.
    pub spread: f64,
    /// The padding of each response, in bytes.
    pub answer: usize,
    /// The maximum number of requests that wait for a slot, or `None` for the number of slots.
    pub queue: Option<usize>,
    /// Whether requests of any method may safely run twice.
    pub idempotent: bool,
    /// The idle time before a leaving endpoint stops.
    pub linger: Duration,
    /// The startup time of an attempt.
    pub start: Duration,
    /// The processor usage relative to the declared size, in percent.
    pub use_percent: u32,
    /// The memory usage, or `None` for `use_percent` of the declared size.
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
    /// Parses the command of a task.
    ///
    /// # Errors
    ///
    /// Returns the problem and the allowed values.
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
            command.set_parameter(name, value)?;
        }
        command.check(class)?;
        Ok(command)
    }

    fn set_parameter(&mut self, name: &str, value: &str) -> Result<(), SmolStr> {
        match name {
            "run" => self.run = Some(parse_duration(name, value)?),
            "fail" => self.fail = parse_fraction(name, value)?,
            "checkpoint" if value == "none" => self.checkpoint = None,
            "checkpoint" => self.checkpoint = Some(parse_duration(name, value)?),
            "serve" => self.serve = Some(parse_duration(name, value)?),
            "spread" => self.spread = parse_fraction(name, value)?,
            "answer" => self.answer = parse_byte_count(name, value)?,
            "queue" => self.queue = Some(parse_number(name, value, QUEUE_LIMIT)?),
            "idempotent" => self.idempotent = parse_bool(name, value)?,
            "linger" => self.linger = parse_duration(name, value)?,
            "start" => self.start = parse_duration(name, value)?,
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

/// Parses a duration such as `20ms`.
pub(crate) fn parse_duration(name: &str, value: &str) -> Result<Duration, SmolStr> {
    let span: TimeSpan = value
        .parse()
        .map_err(|error| format_smolstr!("`{name}`: {error}"))?;
    Ok(span.0)
}

fn parse_bool(name: &str, value: &str) -> Result<bool, SmolStr> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format_smolstr!(
            "`{name}={value}` is neither `yes` nor `no`"
        )),
    }
}

fn parse_fraction(name: &str, value: &str) -> Result<f64, SmolStr> {
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

/// Parses a size such as `1KB` into a number of bytes, limited to what a response may hold.
pub(crate) fn parse_byte_count(name: &str, value: &str) -> Result<usize, SmolStr> {
    /// The maximum padding of a response.
    const RESPONSE_LIMIT_BYTES: u64 = 256_000_000;
    let MemorySize(bytes) = parse_memory(name, value)?;
    if bytes > RESPONSE_LIMIT_BYTES {
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
