//! A log writer that never blocks its caller.

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

/// The number of lines buffered for a slow reader; further ones are left out and counted.
const QUEUE_CAPACITY: usize = 2000;
/// The timeout for writing the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay before a write to a full output is retried.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// The time between two checks whether a flush is complete.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Writes JSON lines from a separate thread.
#[derive(Debug)]
pub struct LineWriter {
    lines: SyncSender<Vec<u8>>,
    limiter: Mutex<LineLimiter>,
    /// The lines left out because the queue was full, since the last report of left-out lines.
    overflow: AtomicU64,
    /// The number of lines that the thread has written.
    written: Arc<AtomicU64>,
    /// The number of lines queued so far.
    sent: AtomicU64,
}

/// Unbuffered standard output: `write` returns how many bytes were taken, so that a partial write
/// can be continued.
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
    /// Spawns the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the thread can't be spawned.
    pub fn spawn() -> io::Result<Self> {
        Self::spawn_to(StandardOutput)
    }

    /// Spawns the thread that writes to an output.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the thread can't be spawned.
    pub fn spawn_to(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let written = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&written);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, output, &counter))?;
        Ok(Self {
            lines,
            limiter: Mutex::default(),
            overflow: AtomicU64::new(0),
            written,
            sent: AtomicU64::new(0),
        })
    }

    /// Queues a line, or counts it as left out if the queue is full.
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

    /// Writes a line that reports how many lines were left out before `record`.
    fn report_left_out(&self, now: &mut DeferredNow, record: &Record<'_>, left_out: u64) {
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
            limiter.check(site, Instant::now())
        };
        let LineVerdict::Write { left_out } = verdict else {
            return Ok(());
        };
        let left_out = left_out + self.overflow.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            self.report_left_out(now, record, left_out);
        }
        if let Some(line) = format_line(now, record) {
            self.send(line);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let is_behind = || self.written.load(Ordering::Acquire) < self.sent.load(Ordering::Relaxed);
        while is_behind() && Instant::now() < end {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }

    fn shutdown(&self) {
        // `flush` never fails; lines not written within its timeout are lost with the process.
        let _flushed = self.flush();
    }
}

fn format_line(now: &mut DeferredNow, record: &Record<'_>) -> Option<Vec<u8>> {
    let mut line = Vec::with_capacity(320);
    json_format(&mut line, now, record).ok()?;
    line.push(b'\n');
    Some(line)
}

/// Writes lines until all senders are gone. A closed output ends only the output, not the thread.
fn write_lines(queue: &Receiver<Vec<u8>>, mut output: impl Write, written: &AtomicU64) {
    let mut text = Vec::new();
    while let Ok(line) = queue.recv() {
        let mut count = 1;
        text.clear();
        text.extend_from_slice(&line);
        // All lines queued meanwhile are written with one call.
        for line in queue.try_iter() {
            text.extend_from_slice(&line);
            count += 1;
        }
        write_whole(&mut output, &text);
        written.fetch_add(count, Ordering::Release);
    }
}

/// Writes a whole text, retrying while the output is full or takes only a part.
fn write_whole(output: &mut impl Write, mut text: &[u8]) {
    while !text.is_empty() {
        match output.write(text) {
            Ok(count) => text = &text[count..],
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::Interrupted => thread::sleep(RETRY_DELAY),
                // The output is closed, so there is nowhere to report the error.
                _ => return,
            },
        }
    }
}
