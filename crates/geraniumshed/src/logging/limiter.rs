//! The bound on the volume of a log.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The lines that each place in the code may write in a second, on average.
const LINES_A_SECOND: u32 = 100;
/// The lines that it may write at once.
const BURST_LINES: u32 = 300;
/// The time in which room for one more line comes.
const LINE_PAUSE: Duration = Duration::from_millis(1000 / LINES_A_SECOND as u64);

/// A place in the code that writes lines: its module and its line.
pub type LogSite = (&'static str, u32);

/// What a line may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineVerdict {
    /// It is written, after this many of the same place that were left out.
    Write {
        /// The number of lines that were left out since the last one.
        left_out: u64,
    },
    /// It is left out.
    LeaveOut,
}

/// Bounds the lines of each place in the code, so that one kind of line can't crowd out others.
#[derive(Debug, Default)]
pub struct LineLimiter {
    buckets: HashMap<LogSite, LineBucket>,
}

#[derive(Debug)]
struct LineBucket {
    lines: u32,
    filled_at: Instant,
    left_out: u64,
}

impl LineLimiter {
    /// Decides whether a line of a place is written.
    pub fn judge(&mut self, site: LogSite, now: Instant) -> LineVerdict {
        let bucket = self.buckets.entry(site).or_insert(LineBucket {
            lines: BURST_LINES,
            filled_at: now,
            left_out: 0,
        });
        bucket.fill(now);
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
    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let lines = elapsed.as_millis() / LINE_PAUSE.as_millis();
        let lines = u32::try_from(lines).unwrap_or(u32::MAX);
        if lines > 0 {
            self.lines = self.lines.saturating_add(lines).min(BURST_LINES);
            self.filled_at = now;
        }
    }
}
