//! The promises and the report of their check.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A guarantee that must hold under every injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PromiseKind {
    /// No VM holds more than its size.
    Capacity,
    /// No batch task runs in two places at once.
    SingleRun,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// Each caller receives the whole answer to its own request.
    OwnAnswer,
    /// A request that was refused as `not-run` did not run.
    TrueRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving endpoint receives no new work after a few seconds.
    LeavingQuiet,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigInForce,
}

impl PromiseKind {
    /// Returns the promise as a sentence.
    pub fn title(self) -> &'static str {
        match self {
            Self::Capacity => "No VM holds more work than its size",
            Self::SingleRun => "No batch task runs in two places at once",
            Self::ResumeOnce => "Evicted work resumes exactly once",
            Self::OwnAnswer => "Each caller receives the whole answer to its own request",
            Self::TrueRefusal => "What was refused as not run did not run",
            Self::AtMostOnce => "A non-idempotent request runs at most once",
            Self::LeavingQuiet => "A leaving endpoint receives no new work after seconds",
            Self::GracefulStop => "A planned stop cuts no request off",
            Self::ConfigInForce => "Accepted configuration is in force everywhere, for good",
        }
    }
}

impl Display for PromiseKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.title())
    }
}

/// The result of checking one promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseRow {
    /// The promise.
    pub promise: PromiseKind,
    /// The number of checked cases, in which the promise could have been broken.
    pub counted: u64,
    /// A description of each case in which the promise was broken.
    pub breaches: Vec<SmolStr>,
}

impl PromiseRow {
    /// Creates a row without any checked case.
    pub fn new(promise: PromiseKind) -> Self {
        Self {
            promise,
            counted: 0,
            breaches: Vec::new(),
        }
    }

    /// Returns whether the promise was never broken.
    pub fn held(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// The results of checking all promises.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseReport {
    /// One row per promise.
    pub rows: Vec<PromiseRow>,
}

impl PromiseReport {
    /// Returns the row of a promise.
    pub fn row(&self, promise: PromiseKind) -> Option<&PromiseRow> {
        self.rows.iter().find(|row| row.promise == promise)
    }

    /// Returns whether no promise was broken.
    pub fn held(&self) -> bool {
        self.rows.iter().all(PromiseRow::held)
    }

    /// Returns whether each promise had at least one checked case.
    pub fn counted(&self) -> bool {
        self.rows.iter().all(|row| row.counted > 0)
    }
}

impl Display for PromiseReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<58} {:>8}  verdict", "promise", "counted")?;
        for row in &self.rows {
            let verdict = match (row.held(), row.counted) {
                (false, _) => "BROKEN",
                (true, 0) => "nothing counted",
                (true, _) => "held",
            };
            writeln!(
                f,
                "{:<58} {:>8}  {verdict}",
                row.promise.title(),
                row.counted
            )?;
            for breach in &row.breaches {
                writeln!(f, "    {breach}")?;
            }
        }
        Ok(())
    }
}
