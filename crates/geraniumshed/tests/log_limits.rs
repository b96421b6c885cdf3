//! The bound on the volume of a log.

use std::time::{Duration, Instant};

use geraniumshed::logging::{LineLimiter, LineVerdict, LogSite};

const PLACED: LogSite = ("planner", 10);
const LOST: LogSite = ("planner", 20);

/// Returns the lines that a place may write of those that it tries to within a span.
fn written(limiter: &mut LineLimiter, site: LogSite, begin: Instant, tries: u32) -> usize {
    let verdicts = (0..tries).map(|number| {
        let now = begin + Duration::from_millis(u64::from(number));
        limiter.judge(site, now)
    });
    verdicts
        .filter(|verdict| *verdict != LineVerdict::LeaveOut)
        .count()
}

#[test]
fn a_busy_place_writes_its_burst_and_then_its_rate() {
    let mut limiter = LineLimiter::default();
    let lines = written(&mut limiter, PLACED, Instant::now(), 10_000);
    assert!((1_290..=1_301).contains(&lines), "{lines} lines in 10 s");
}

#[test]
fn a_busy_place_takes_no_line_from_another() {
    let mut limiter = LineLimiter::default();
    let begin = Instant::now();
    written(&mut limiter, PLACED, begin, 5_000);
    assert_eq!(written(&mut limiter, LOST, begin, 100), 100);
}

#[test]
fn the_line_after_a_gap_tells_how_many_were_left_out() {
    let mut limiter = LineLimiter::default();
    let begin = Instant::now();
    let tries: u64 = 400;
    let mut left_out = 0;
    for _ in 0..tries {
        left_out += u64::from(limiter.judge(PLACED, begin) == LineVerdict::LeaveOut);
    }
    assert_eq!(left_out, 100);
    let later = begin + Duration::from_secs(1);
    assert_eq!(
        limiter.judge(PLACED, later),
        LineVerdict::Write { left_out }
    );
    assert_eq!(
        limiter.judge(PLACED, later),
        LineVerdict::Write { left_out: 0 }
    );
}
