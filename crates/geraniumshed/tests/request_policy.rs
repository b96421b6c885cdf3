//! The dispatch policy against its targets, in the deterministic simulation.

use std::time::Duration;

use geraniumshed::bench::request::ideal::ideal_latencies;
use geraniumshed::bench::request::policies::PLANNED;
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
fn p99_at_80_percent_load_is_within_15_percent_of_the_ideal_queue(
    #[case] profile: LoadProfile,
    #[case] refuse_when_full: bool,
) {
    let options = ModelOptions {
        refuse_when_full,
        ..PLANNED
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
fn under_overload_95_percent_of_the_capacity_goes_to_useful_answers(
    #[case] profile: LoadProfile,
    #[case] refuse_when_full: bool,
) {
    let options = ModelOptions {
        refuse_when_full,
        ..PLANNED
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
fn with_one_slow_endpoint_p99_is_at_most_half_of_random_routing(#[case] profile: LoadProfile) {
    let own = summary(
        &profile,
        0.8,
        ModelOptions {
            slow_endpoints: 1,
            ..PLANNED
        },
    );
    let random = ModelOptions {
        rule: RouteRule::Random,
        shedding: false,
        hedging: false,
        slow_endpoints: 1,
        ..PLANNED
    };
    let random = summary(&profile, 0.8, random);
    assert!(own.p99_ms * 2.0 <= random.p99_ms, "{own:?} {random:?}");
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    let first = summary(&CAMARA, 0.95, PLANNED);
    let second = summary(&CAMARA, 0.95, PLANNED);
    assert_eq!(first, second);
}
