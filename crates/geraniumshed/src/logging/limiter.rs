//! Rate limiting of log lines per call site.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The average number of lines that each call site may write per second.
const LINES_PER_SECOND: u32 = 100;
/// The number of lines that a call site may write in a burst.
const BURST_LINES: u32 = 300;
/// The time after which a call site may write one more line.
const LINE_INTERVAL: Duration = Duration::from_millis(1000 / LINES_PER_SECOND as u64);

/// A call site of the log macros: its module and its line number.
pub type LogSite = (&'static str, u32);

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// The line is written.
    Write {
        /// The lines of the same call site that were left out since its last written line.
        left_out: u64,
    },
    /// The line is left out because its call site exceeds its rate.
    LeaveOut,
}

/// Limits the lines of each call site, so that a busy one can't crowd out the others.
#[derive(Debug, Default)]
pub struct LineLimiter {
    buckets: HashMap<LogSite, LineBucket>,
}

/// A token bucket with one token per line.
#[derive(Debug)]
struct LineBucket {
    lines: u32,
    refilled_at: Instant,
    left_out: u64,
}

impl LineLimiter {
    /// Decides whether a line of a call site is written, and counts it.
    pub fn check(&mut self, site: LogSite, now: Instant) -> LineVerdict {
        let bucket = self.buckets.entry(site).or_insert(LineBucket {
            lines: BURST_LINES,
            refilled_at: now,
            left_out: 0,
        });
        bucket.refill(now);
        if bucket.lines == 0 {
            bucket.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        bucket.lines -= 1;
        LineVerdict::Write {
            left_out: std::mem::take(&mut bucket.left_out),
        }
    }
}

impl LineBucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let lines = elapsed.as_millis() / LINE_INTERVAL.as_millis();
        let lines = u32::try_from(lines).unwrap_or(u32::MAX);
        if lines > 0 {
            self.lines = self.lines.saturating_add(lines).min(BURST_LINES);
            self.refilled_at = now;
        }
    }
}
