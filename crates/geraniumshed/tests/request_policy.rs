//! The request path's policy against the stated targets, in the deterministic driver.

use std::time::Duration;

use geraniumshed::bench::request::ideal::ideal_latencies;
use geraniumshed::bench::request::policies::OWN;
use geraniumshed::bench::request::profile::{CAMARA, YILDIZ};
use geraniumshed::bench::request::{LoadProfile, ModelOptions, RunSummary, run_model};
use geraniumshed_core::request::RouteRule;
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(2);
const SEED: u64 = 1;

fn summary(profile: &LoadProfile, load: f64, options: ModelOptions) -> RunSummary {
    let requests = profile.draw(load, LENGTH, SEED);
    let report = run_model(profile, &requests, options, SEED);
    RunSummary::of_model(profile, "", load, LENGTH, &report)
}

fn ideal(profile: &LoadProfile, load: f64) -> RunSummary {
    let requests = profile.draw(load, LENGTH, SEED);
    let latencies = ideal_latencies(profile, &requests, 0);
    RunSummary::of_latencies(profile, "", load, LENGTH, &latencies)
}

#[rstest]
#[case::camara(CAMARA, false)]
#[case::yildiz(YILDIZ, false)]
#[case::camara_refusing(CAMARA, true)]
#[case::yildiz_refusing(YILDIZ, true)]
fn the_tail_at_80_percent_is_close_to_an_ideal_queue(
    #[case] profile: LoadProfile,
    #[case] refuse_when_full: bool,
) {
    let options = ModelOptions {
        refuse_when_full,
        ..OWN
    };
    let own = summary(&profile, 0.8, options);
    let ideal = ideal(&profile, 0.8);
    assert!(own.p99_ms <= ideal.p99_ms * 1.15, "{own:?} {ideal:?}");
    assert_eq!((own.doubled, own.lost, own.false_refusals), (0, 0, 0));
}

#[rstest]
#[case::camara(CAMARA, false)]
#[case::yildiz(YILDIZ, false)]
#[case::camara_refusing(CAMARA, true)]
#[case::yildiz_refusing(YILDIZ, true)]
fn overload_keeps_the_capacity_useful(
    #[case] profile: LoadProfile,
    #[case] refuse_when_full: bool,
) {
    let options = ModelOptions {
        refuse_when_full,
        ..OWN
    };
    let own = summary(&profile, 1.2, options);
    let deadline_ms = profile.deadline.as_secs_f64() * 1000.0;
    assert!(own.useful_percent >= 95.0, "{own:?}");
    assert!(own.p99_ms <= deadline_ms, "{own:?}");
    assert_eq!((own.doubled, own.lost, own.false_refusals), (0, 0, 0));
}

#[rstest]
#[case::camara(CAMARA)]
#[case::yildiz(YILDIZ)]
fn one_slow_endpoint_costs_at_most_half_of_random_routing(#[case] profile: LoadProfile) {
    let own = summary(&profile, 0.8, ModelOptions { slow: 1, ..OWN });
    let random = ModelOptions {
        rule: RouteRule::Random,
        shedding: false,
        hedging: false,
        slow: 1,
        ..OWN
    };
    let random = summary(&profile, 0.8, random);
    assert!(own.p99_ms * 2.0 <= random.p99_ms, "{own:?} {random:?}");
}

#[test]
fn one_seed_gives_one_run() {
    let first = summary(&CAMARA, 0.95, OWN);
    let second = summary(&CAMARA, 0.95, OWN);
    assert_eq!(first, second);
}
