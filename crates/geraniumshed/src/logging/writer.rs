//! A writer that never keeps its caller waiting.

use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, json_format};
use log::{LevelFilter, Record};

use super::limiter::{LineLimiter, LineVerdict};

/// The lines that wait for a slow reader at most; later ones are left out and counted.
const WAITING_LINES: usize = 2000;
/// The time that the last lines have at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
/// The pause before a full output is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(5);
/// The pause between two looks whether the last lines are written.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);

/// Writes lines of JSON from a thread of its own.
#[derive(Debug)]
pub struct LineWriter {
    lines: SyncSender<Vec<u8>>,
    limiter: Mutex<LineLimiter>,
    /// The lines that were left out since the reader was too slow.
    overflow: AtomicU64,
    written: Arc<AtomicU64>,
    sent: AtomicU64,
}

/// Standard output without a buffer, so that it is known how much of a text was taken.
#[derive(Debug)]
struct StandardOutput;

impl Write for StandardOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(nix::unistd::write(io::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LineWriter {
    /// Spawns a writer to standard output.
    ///
    /// # Errors
    ///
    /// Returns the system's error if there is no output or can be no thread.
    pub fn spawn() -> io::Result<Self> {
        Self::spawn_to(StandardOutput)
    }

    /// Spawns a writer to an output.
    ///
    /// # Errors
    ///
    /// Returns the system's error if there can be no thread.
    pub fn spawn_to(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        let written = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&written);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting, output, &counter))?;
        Ok(Self {
            lines,
            limiter: Mutex::default(),
            overflow: AtomicU64::new(0),
            written,
            sent: AtomicU64::new(0),
        })
    }

    /// Hands a line over, or counts it as left out.
    fn send(&self, line: Vec<u8>) {
        match self.lines.try_send(line) {
            Ok(()) => {
                self.sent.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.overflow.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Tells how many lines were left out before the next one.
    fn tell_left_out(&self, now: &mut DeferredNow, record: &Record<'_>, left_out: u64) {
        let fields = [("left_out", left_out)];
        let line = Record::builder()
            .level(record.level())
            .target(record.target())
            .module_path_static(record.module_path_static())
            .file_static(record.file_static())
            .line(record.line())
            .key_values(&fields)
            .args(format_args!("lines like the next one were left out"))
            .build();
        if let Some(line) = format_line(now, &line) {
            self.send(line);
        }
    }
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let site = (
            record.module_path_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let verdict = {
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            limiter.judge(site, Instant::now())
        };
        let LineVerdict::Write { left_out } = verdict else {
            return Ok(());
        };
        let left_out = left_out + self.overflow.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            self.tell_left_out(now, record, left_out);
        }
        if let Some(line) = format_line(now, record) {
            self.send(line);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let end = Instant::now() + FLUSH_LIMIT;
        let is_behind = || self.written.load(Ordering::Acquire) < self.sent.load(Ordering::Relaxed);
        while is_behind() && Instant::now() < end {
            thread::sleep(FLUSH_PAUSE);
        }
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }

    fn shutdown(&self) {
        // A flush never fails: what isn't written in time is lost with the process.
        let _flushed = self.flush();
    }
}

fn format_line(now: &mut DeferredNow, record: &Record<'_>) -> Option<Vec<u8>> {
    let mut line = Vec::with_capacity(320);
    json_format(&mut line, now, record).ok()?;
    line.push(b'\n');
    Some(line)
}

/// Writes lines until there are no more senders; a reader that has gone ends the output only.
fn write_lines(waiting: &Receiver<Vec<u8>>, mut output: impl Write, written: &AtomicU64) {
    let mut text = Vec::new();
    while let Ok(line) = waiting.recv() {
        let mut count = 1;
        text.clear();
        text.extend_from_slice(&line);
        // What has gathered meanwhile goes out with one call.
        for line in waiting.try_iter() {
            text.extend_from_slice(&line);
            count += 1;
        }
        write_whole(&mut output, &text);
        written.fetch_add(count, Ordering::Release);
    }
}

/// Writes a text as a whole, also to an output that takes only a part of it at a time.
fn write_whole(output: &mut impl Write, mut text: &[u8]) {
    while !text.is_empty() {
        match output.write(text) {
            Ok(count) => text = &text[count..],
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::Interrupted => thread::sleep(FULL_PAUSE),
                // There is nobody left to tell.
                _ => return,
            },
        }
    }
}
