//! The descriptors that the process may have.

use std::fs;

/// The file in which the system lists the limits of the process.
const LIMITS_FILE: &str = "/proc/self/limits";
/// The row with the number of descriptors; its first number is the limit in force.
const DESCRIPTOR_ROW: &str = "Max open files";

/// Returns the number of descriptors that the process may have, if the system tells it.
pub fn descriptor_limit() -> Option<usize> {
    let limits = fs::read_to_string(LIMITS_FILE).ok()?;
    let row = limits
        .lines()
        .find_map(|line| line.strip_prefix(DESCRIPTOR_ROW))?;
    row.split_whitespace().next()?.parse().ok()
}
