//! A terminal line that shows the progress of a wait.

use std::io::{self, IsTerminal, Write};

/// A progress line on standard error, redrawn in place if that is a terminal.
#[derive(Debug)]
pub struct ProgressLine {
    is_terminal: bool,
    last: String,
}

impl ProgressLine {
    /// Creates an empty line.
    pub fn open() -> Self {
        Self {
            is_terminal: io::stderr().is_terminal(),
            last: String::new(),
        }
    }

    /// Replaces the shown text. If standard error is not a terminal, prints each new text on a
    /// separate line.
    pub fn show(&mut self, text: &str) {
        if self.last == text {
            return;
        }
        text.clone_into(&mut self.last);
        if self.is_terminal {
            eprint!("\r\x1b[K{text}");
            // A failure to draw the progress line must not end the wait.
            drop(io::stderr().flush());
        } else {
            eprintln!("{text}");
        }
    }

    /// Moves the cursor past the line.
    pub fn close(self) {
        if self.is_terminal && !self.last.is_empty() {
            eprintln!();
        }
    }
}
