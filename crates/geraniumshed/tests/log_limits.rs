//! The rate limit of log lines, and the log writer that never blocks.

use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use geraniumshed::logging::{LineLimiter, LineVerdict, LineWriter, LogSite};
use log::{Level, Record};

const PLACED: LogSite = ("planner", 10);
const LOST: LogSite = ("planner", 20);

/// Returns how many of `tries` lines, one per millisecond, a call site may write.
fn written(limiter: &mut LineLimiter, site: LogSite, begin: Instant, tries: u32) -> usize {
    let verdicts = (0..tries).map(|number| {
        let now = begin + Duration::from_millis(u64::from(number));
        limiter.check(site, now)
    });
    verdicts
        .filter(|verdict| *verdict != LineVerdict::LeaveOut)
        .count()
}

#[test]
fn a_busy_call_site_writes_a_burst_and_then_its_rate() {
    let mut limiter = LineLimiter::default();
    let lines = written(&mut limiter, PLACED, Instant::now(), 10_000);
    assert!((1_290..=1_301).contains(&lines), "{lines} lines in 10 s");
}

#[test]
fn call_sites_are_limited_independently() {
    let mut limiter = LineLimiter::default();
    let begin = Instant::now();
    written(&mut limiter, PLACED, begin, 5_000);
    assert_eq!(written(&mut limiter, LOST, begin, 100), 100);
}

#[test]
fn the_next_written_line_carries_the_number_of_left_out_lines() {
    let mut limiter = LineLimiter::default();
    let begin = Instant::now();
    let tries: u64 = 400;
    let mut left_out = 0;
    for _ in 0..tries {
        left_out += u64::from(limiter.check(PLACED, begin) == LineVerdict::LeaveOut);
    }
    assert_eq!(left_out, 100);
    let later = begin + Duration::from_secs(1);
    assert_eq!(
        limiter.check(PLACED, later),
        LineVerdict::Write { left_out }
    );
    assert_eq!(
        limiter.check(PLACED, later),
        LineVerdict::Write { left_out: 0 }
    );
}

/// The time for which a write to a stuck output blocks.
const STUCK_TIME: Duration = Duration::from_mins(1);

/// An output that takes at most 100 bytes per write and fails every other write with `WouldBlock`,
/// or that blocks if it is stuck.
#[derive(Debug, Clone)]
struct SlowOutput {
    text: Arc<Mutex<Vec<u8>>>,
    calls: usize,
    is_stuck: bool,
}

impl SlowOutput {
    fn new(is_stuck: bool) -> Self {
        Self {
            text: Arc::default(),
            calls: 0,
            is_stuck,
        }
    }
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.is_stuck {
            thread::sleep(STUCK_TIME);
        }
        self.calls += 1;
        if self.calls.is_multiple_of(2) {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = buf.len().min(100);
        self.text.lock().unwrap().extend_from_slice(&buf[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(writer: &LineWriter, line: u32) {
    let record = Record::builder()
        .level(Level::Info)
        .module_path_static(Some("test"))
        .line(Some(line))
        .args(format_args!("message"))
        .build();
    writer.write(&mut DeferredNow::new(), &record).unwrap();
}

#[test]
fn partial_writes_are_continued_to_whole_lines() {
    let output = SlowOutput::new(false);
    let writer = LineWriter::spawn_to(output.clone()).unwrap();
    for line in 0..5 {
        write_line(&writer, line);
    }
    writer.flush().unwrap();
    let text = String::from_utf8(output.text.lock().unwrap().clone()).unwrap();
    let read: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a whole line"))
        .collect();
    assert_eq!(read.len(), 5);
}

#[test]
fn a_stuck_output_does_not_block_callers() {
    let writer = LineWriter::spawn_to(SlowOutput::new(true)).unwrap();
    let begin = Instant::now();
    for line in 0..10_000 {
        write_line(&writer, line);
    }
    assert!(begin.elapsed() < Duration::from_secs(5));
}
