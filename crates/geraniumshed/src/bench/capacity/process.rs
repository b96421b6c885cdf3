//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// The clock ticks per second in which the kernel reports processor time.
const TICKS_PER_SECOND: u64 = 100;

/// The position of the user time among the fields after the process's name.
const USER_TIME_FIELD: usize = 11;

/// The resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The processor time since its start.
    pub processor_time: Duration,
    /// The resident memory now, in bytes.
    pub resident: u64,
}

/// Reads the resource usage of a process.
///
/// # Errors
///
/// Returns an I/O error if there is no such process or its files can't be parsed.
pub fn read_usage(process: u32) -> io::Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    Ok(ProcessUsage {
        processor_time: parse_processor_time(&stat).ok_or_else(parse_error)?,
        resident: parse_resident(&status).ok_or_else(parse_error)?,
    })
}

/// Returns the sum of user and system time; the fields follow the process name in parentheses.
fn parse_processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    let millis = (user + system) * 1000 / TICKS_PER_SECOND;
    Some(Duration::from_millis(millis))
}

fn parse_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

fn parse_error() -> io::Error {
    io::Error::other("the files of the process in /proc can't be parsed")
}
