//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with their times. Clones share the file.
#[derive(Debug, Clone)]
pub struct Recorder {
    file: Arc<Mutex<BufWriter<File>>>,
    begun: Instant,
}

impl Recorder {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        // The record explains a result; a line that can't be written doesn't change it.
        drop(writeln!(file, "{at:8.3} {line}"));
        drop(file.flush());
    }

    /// Writes a line to the record and to the standard output.
    pub fn tell(&self, line: &str) {
        println!("{line}");
        self.note(line);
    }
}
