//! A daemon as a separate process.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::wait::within;

/// The operators' secret of all test clusters.
pub const OPERATOR_SECRET: &str = "a secret of tests alone";

/// A daemon process, killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    output: PathBuf,
}

impl DaemonProcess {
    /// Starts a daemon with a settings file; its output is appended to a log file beside that.
    pub fn spawn(settings: &Path) -> Self {
        let output = settings.with_extension("log");
        let file = File::options().create(true).append(true).open(&output);
        let file = file.unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_geraniumshed"))
            .args(["run", "--settings"])
            .arg(settings)
            .env("GERANIUMSHED_OPERATOR_SECRET", OPERATOR_SECRET)
            .stdin(Stdio::null())
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, output }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> i32 {
        i32::try_from(self.child.id()).unwrap()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.id()), signal).unwrap();
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process exits by itself.
    pub async fn wait_exit(&mut self, limit: Duration) -> ExitStatus {
        within(limit, "the daemon exits", async || {
            self.child.try_wait().unwrap()
        })
        .await
    }

    /// Returns the last 12 lines that the process printed.
    pub fn last_lines(&self) -> String {
        let text = std::fs::read_to_string(&self.output).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(12).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if self.child.try_wait().is_ok_and(|status| status.is_none()) {
            // SIGKILL also ends a process that SIGSTOP has stopped.
            drop(self.child.kill());
            drop(self.child.wait());
        }
    }
}
