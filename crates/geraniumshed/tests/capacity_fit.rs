//! The fits of `bench capacity` recover the coefficients that generated the points.

use geraniumshed::bench::capacity::{CapacitySnapshot, LinearFit, PlaneFit, fit_costs};

fn assert_near(found: f64, expected: f64) {
    assert!(
        (found - expected).abs() < 1e-6,
        "{found} instead of {expected}"
    );
}

#[test]
fn a_line_fit_recovers_the_coefficients_and_the_error() {
    let fit = LinearFit::least_squares(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert_near(fit.at(0.0), 3.0);
    assert_near(fit.slope, 2.0);
    assert_near(fit.error, 0.0);
    let scattered = LinearFit::least_squares(&[(1.0, 5.0), (2.0, 9.0), (3.0, 9.0)]);
    assert!(scattered.error > 0.5, "{scattered:?}");
}

#[test]
fn a_plane_fit_recovers_both_slopes() {
    let value = |x: f64, y: f64| 7.0 + 20.0 * x + 2.0 * y;
    let sizes = [(10.0, 100.0), (20.0, 100.0), (20.0, 300.0), (40.0, 700.0)];
    let points: Vec<_> = sizes.iter().map(|(x, y)| (*x, *y, value(*x, *y))).collect();
    let fit = PlaneFit::least_squares(&points);
    assert_near(fit.first, 20.0);
    assert_near(fit.second, 2.0);
    assert_near(fit.at(35.0, 604.0), value(35.0, 604.0));
    assert_near(fit.error, 0.0);
}

#[test]
fn collinear_sizes_give_a_flat_plane() {
    let fit = PlaneFit::least_squares(&[(1.0, 10.0, 4.0), (2.0, 20.0, 6.0)]);
    assert_near(fit.at(9.0, 90.0), 5.0);
}

/// Returns a snapshot of counters after some idle seconds and some task starts.
fn snapshot(phase: &str, seconds: u64, starts: u64) -> CapacitySnapshot {
    CapacitySnapshot {
        run: "run".into(),
        phase: phase.into(),
        workers: 30,
        daemons: 3,
        tasks: 100,
        at_ms: seconds * 1000,
        processor_ms: seconds * 60 + starts * 2,
        resident: 40_000_000,
        log_bytes: seconds * 300 + starts * 50,
        list_bytes: seconds * 30,
        worker_bytes: seconds * 600 + starts * 100,
        peer_bytes: seconds * 90,
        appends: starts,
    }
}

#[test]
fn start_costs_exclude_the_idle_cost() {
    let model = fit_costs(&[
        snapshot("start", 0, 0),
        snapshot("idle", 10, 100),
        snapshot("end", 30, 100),
    ]);
    assert_near(model.start_bytes, 150.0);
    assert_near(model.start_processor, 2.0);
    assert_near(model.start_appends, 1.0);
    assert_near(model.list_bytes, 10.0);
    assert_near(model.peer_bytes, 30.0);
}
