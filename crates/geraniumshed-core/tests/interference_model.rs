//! Tests of the interference model.

use std::time::Duration;

use geraniumshed_core::assignment::{InterferenceModel, LoadShare};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

/// The number of best-effort images.
const IMAGES: u32 = 30;

fn image(number: u32) -> SmolStr {
    format_smolstr!("filler-{number}")
}

/// Returns the pressure that a processor of an image adds: every seventh image presses hard.
fn true_slope(number: u32) -> f64 {
    if number.is_multiple_of(7) {
        0.08
    } else {
        0.004
    }
}

/// Lets the model observe changes of the load of three images each, with noise.
fn observe_changes(
    model: &mut InterferenceModel,
    served: &SmolStr,
    count: u32,
    rng: &mut impl Rng,
) {
    model.observe_tail(served, Duration::from_millis(4));
    for _ in 0..count {
        let mut load = Vec::new();
        let mut pressure = rng.random_range(-0.01..0.01);
        for _ in 0..3 {
            let number = rng.random_range(0..IMAGES);
            let processors = rng.random_range(-4.0..4.0);
            pressure += true_slope(number) * processors;
            load.push(LoadShare {
                image: image(number),
                processors,
            });
        }
        model.observe_change(served, pressure, &load, 1.0);
    }
}

/// Pattern: a served image beside many best-effort images on hundreds of workers, which report several
/// times a second. The slopes are as good as before, and are solved for less often as the evidence
/// grows: otherwise, solving takes a twentieth of the leader's processor time.
#[test]
fn slopes_are_solved_for_less_often_with_more_evidence() {
    let served = SmolStr::new("calls");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut model = InterferenceModel::default();
    observe_changes(&mut model, &served, 2_000, &mut rng);
    for number in 0..IMAGES {
        let error = model.slope(&served, &image(number)) - true_slope(number);
        assert!(error.abs() < 0.003, "image {number} is off by {error}");
    }
    let solutions = model.solution_count();
    assert!(solutions <= 300, "{solutions} solutions");
}

/// A strong image is recognized from the first few observations.
#[test]
fn strong_slopes_are_found_within_few_observations() {
    let served = SmolStr::new("calls");
    let mut model = InterferenceModel::default();
    model.observe_tail(&served, Duration::from_millis(4));
    for _ in 0..6 {
        let load = [LoadShare {
            image: image(0),
            processors: 4.0,
        }];
        model.observe_change(&served, 0.32, &load, 1.0);
    }
    assert!(model.slope(&served, &image(0)) > 0.06);
}
