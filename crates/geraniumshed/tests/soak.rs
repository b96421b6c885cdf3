//! Daemon processes keep the rules under short seeded series of faults.

use std::path::PathBuf;
use std::time::Duration;

use geraniumshed_soak::faults::FaultKind;
use geraniumshed_soak::limits::SiteLimits;
use geraniumshed_soak::run::{RunSettings, run};
use geraniumshed_soak::store::EpochCheck;
use geraniumshed_soak::worker::EndForgetting;
use rstest::rstest;
use tokio::sync::Mutex;

/// The kinds of faults that are mixed.
const MIXED: [FaultKind; 6] = [
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::Crash,
    FaultKind::Path,
    FaultKind::StoreLoss,
    FaultKind::Recut,
];

/// Lets one run at a time have the addresses of the daemons.
static ADDRESSES: Mutex<()> = Mutex::const_new(());

/// Guards against violations that show only with processes, signals and real clocks.
#[rstest]
#[case::mixed(1, 8, &MIXED)]
#[case::calls_for_former_processes(56002, 12, &[FaultKind::Recut])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_processes_keep_the_rules_under_faults(
    #[case] seed: u64,
    #[case] workers: usize,
    #[case] faults: &[FaultKind],
) {
    let _addresses = ADDRESSES.lock().await;
    let settings = RunSettings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_geraniumshed")),
        seed,
        time: Duration::from_secs(20),
        workers,
        daemons: 3,
        limits: SiteLimits {
            longest_lease: SiteLimits::longest_lease_of(seed),
            lapse_delay: Duration::from_millis(50),
            ..SiteLimits::default()
        },
        standing_jobs: 2,
        cpu_share: 0.2,
        intensity: 1.0,
        faults: faults.to_vec(),
        epoch_check: EpochCheck::WhenExecuted,
        delivers_to_next_life: false,
        serves_backlog: true,
        forgetting: EndForgetting::AtArrival,
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
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
