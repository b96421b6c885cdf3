//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes the record. Clones share the file.
#[derive(Debug, Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the time since the beginning of the case.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Adds a line with the time in seconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
        }
    }

    /// Adds a line, and prints it as well.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.line(text);
    }
}
