//! Summaries of simulation runs.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::model::{ModelReport, RequestEnd};
use super::profile::LoadProfile;

/// The highest latency that the histogram can record, in microseconds; longer ones count as this.
const LONGEST_MICROS: u64 = 60_000_000;

/// The results of one policy under one load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunSummary {
    /// The name of the profile.
    pub profile: String,
    /// The name of the policy.
    pub policy: String,
    /// The load, in percent of the slots' capacity.
    pub load_percent: u32,
    /// The number of requests.
    pub requests: usize,
    /// The median latency of requests with an answer or an unknown outcome, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// The answers within the deadline, in percent of the capacity of all slots.
    pub useful_percent: f64,
    /// The requests refused without running, in percent.
    pub refused_percent: f64,
    /// The requests with an unknown outcome, in percent.
    pub unknown_percent: f64,
    /// The number of non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// The number of requests without an outcome.
    pub lost: usize,
    /// The number of requests reported as refused without running although they ran.
    pub false_refusals: usize,
    /// The highest number of requests running or queued at one endpoint.
    pub peak: u32,
}

impl RunSummary {
    /// Summarizes a simulation run.
    ///
    /// # Panics
    ///
    /// Panics if the fixed bounds of the histogram are invalid.
    pub fn of_model(
        profile: &LoadProfile,
        policy: &str,
        load: f64,
        length: Duration,
        report: &ModelReport,
    ) -> Self {
        let latencies: Vec<_> = report
            .ends
            .iter()
            .filter_map(|end| match end {
                // Callers of requests with an unknown outcome waited too; leaving them out would
                // understate the latencies.
                Some(RequestEnd::Answered(latency) | RequestEnd::Unknown(latency)) => {
                    Some(*latency)
                }
                Some(RequestEnd::Refused) | None => None,
            })
            .collect();
        let mut summary = Self::of_latencies(profile, policy, load, length, &latencies);
        let total = report.ends.len();
        let count = |expected| report.ends.iter().filter(|end| **end == expected).count();
        summary.requests = total;
        summary.refused_percent = percent(count(Some(RequestEnd::Refused)), total);
        let is_unknown = |end: &&_| matches!(end, Some(RequestEnd::Unknown(_)));
        summary.unknown_percent = percent(report.ends.iter().filter(is_unknown).count(), total);
        summary.lost = count(None);
        let is_useful = |end: &&_| match end {
            Some(RequestEnd::Answered(latency)) => *latency <= useful_limit(profile),
            Some(RequestEnd::Refused | RequestEnd::Unknown(_)) | None => false,
        };
        let useful = report.ends.iter().filter(is_useful).count();
        summary.useful_percent = useful_percent(profile, length, useful);
        summary.doubled = if profile.idempotent {
            0
        } else {
            report.runs.iter().filter(|runs| **runs > 1).count()
        };
        summary.false_refusals = report
            .ends
            .iter()
            .zip(&report.runs)
            .filter(|(end, runs)| **end == Some(RequestEnd::Refused) && **runs > 0)
            .count();
        summary.peak = report.peak;
        summary
    }

    /// Summarizes a list of latencies of answered requests.
    ///
    /// # Panics
    ///
    /// Panics if the fixed bounds of the histogram are invalid.
    pub fn of_latencies(
        profile: &LoadProfile,
        policy: &str,
        load: f64,
        length: Duration,
        latencies: &[Duration],
    ) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, 3).expect("valid bounds");
        for latency in latencies {
            histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let limit = useful_limit(profile);
        let useful = latencies
            .iter()
            .filter(|latency| **latency <= limit)
            .count();
        Self {
            profile: profile.name.into(),
            policy: policy.into(),
            load_percent: to_percent(load),
            requests: latencies.len(),
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            p999_ms: millis(0.999),
            useful_percent: useful_percent(profile, length, useful),
            refused_percent: 0.0,
            unknown_percent: 0.0,
            doubled: 0,
            lost: 0,
            false_refusals: 0,
            peak: 0,
        }
    }
}

/// Returns the highest latency at which an answer is still within the deadline.
///
/// The deadline counts from the arrival at a daemon, the latency from the caller's send.
fn useful_limit(profile: &LoadProfile) -> Duration {
    profile.deadline + profile.caller_delay * 2
}

/// Returns useful answers in percent of the capacity of all slots during the arrivals.
fn useful_percent(profile: &LoadProfile, length: Duration, useful: usize) -> f64 {
    let capacity = profile.slot_total() / profile.mean().as_secs_f64() * length.as_secs_f64();
    useful as f64 / capacity * 100.0
}

/// Returns the header line of the table of summaries.
pub fn table_heading() -> String {
    format!(
        "{:<8} {:<22} {:>5} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7} {:>5} {:>5} {:>5}",
        "profile",
        "policy",
        "load%",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "useful%",
        "refused%",
        "unknown%",
        "doubled",
        "lost",
        "false",
        "peak"
    )
}

/// Returns the line of a summary in the table.
pub fn table_line(summary: &RunSummary) -> String {
    format!(
        "{:<8} {:<22} {:>5} {:>9.2} {:>9.2} {:>9.2} {:>8.2} {:>8.2} {:>8.3} {:>7} {:>5} {:>5} {:>5}",
        summary.profile,
        summary.policy,
        summary.load_percent,
        summary.p50_ms,
        summary.p99_ms,
        summary.p999_ms,
        summary.useful_percent,
        summary.refused_percent,
        summary.unknown_percent,
        summary.doubled,
        summary.lost,
        summary.false_refusals,
        summary.peak
    )
}

fn percent(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64 * 100.0
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "loads are small percentages"
)]
#[expect(clippy::cast_sign_loss, reason = "loads are positive")]
fn to_percent(load: f64) -> u32 {
    (load * 100.0).round() as u32
}
