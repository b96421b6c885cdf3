//! Daemon processes keep the rules under a short seeded series of faults.

use std::path::PathBuf;
use std::time::Duration;

use geraniumshed_soak::faults::FaultKind;
use geraniumshed_soak::limits::SiteLimits;
use geraniumshed_soak::run::{RunSettings, run};
use geraniumshed_soak::store::EpochCheck;
use geraniumshed_soak::worker::EndForgetting;

/// Guards against violations that show only with processes, signals and real clocks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_processes_keep_the_rules_under_faults() {
    let settings = RunSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_geraniumshed")),
        seed: 1,
        time: Duration::from_secs(20),
        workers: 8,
        daemons: 3,
        limits: SiteLimits {
            lapse_delay: Duration::from_millis(50),
            ..SiteLimits::default()
        },
        standing_jobs: 2,
        cpu_share: 0.2,
        intensity: 1.0,
        faults: vec![
            FaultKind::Kill,
            FaultKind::Freeze,
            FaultKind::Crash,
            FaultKind::Path,
            FaultKind::StoreLoss,
        ],
        epoch_check: EpochCheck::WhenExecuted,
        delivers_to_next_life: false,
        serves_backlog: true,
        forgetting: EndForgetting::AtArrival,
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
    };
    let report = run(&settings).await.unwrap();
    let (_, accepted, runs) = report.counts;
    assert!(accepted > 0 && runs > 0, "nothing ran: {report:?}");
    assert_eq!(report.own_ends, Vec::<String>::new());
    assert!(
        report.violations.is_empty(),
        "{}",
        report.violations.join("\n")
    );
}
