//! One line on the terminal that shows how far a wait has come.

use std::io::{self, IsTerminal, Write};

/// A line on standard error that is written over, if that is a terminal.
#[derive(Debug)]
pub struct ProgressLine {
    live: bool,
    last: String,
}

impl ProgressLine {
    /// Opens the line.
    pub fn open() -> Self {
        Self {
            live: io::stderr().is_terminal(),
            last: String::new(),
        }
    }

    /// Shows a text in place of the last one; elsewhere than on a terminal only changes are shown.
    pub fn show(&mut self, text: &str) {
        if self.last == text {
            return;
        }
        text.clone_into(&mut self.last);
        if self.live {
            eprint!("\r\x1b[K{text}");
            // A progress line that can't be written is no reason to stop waiting.
            drop(io::stderr().flush());
        } else {
            eprintln!("{text}");
        }
    }

    /// Ends the line.
    pub fn close(self) {
        if self.live && !self.last.is_empty() {
            eprintln!();
        }
    }
}
