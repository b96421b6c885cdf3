//! What a process uses, as the system reports it.

use std::fs;

/// What a process uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessSize {
    /// The largest resident memory since [`reset_peak`], in bytes.
    pub peak_bytes: usize,
    /// The open descriptors.
    pub descriptors: usize,
}

impl ProcessSize {
    /// Reads what a process uses; fails the test if the process has ended.
    pub fn read(pid: i32) -> Self {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|value| value.trim().strip_suffix(" kB")?.parse::<usize>().ok())
            .unwrap();
        Self {
            peak_bytes: peak * 1024,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count(),
        }
    }
}

/// Restarts the measurement of the largest resident memory of a process.
pub fn reset_peak(pid: i32) {
    fs::write(format!("/proc/{pid}/clear_refs"), "5").unwrap();
}
