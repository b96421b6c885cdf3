//! Tests of the scheduler with owners that die, pause or compete, workers that restart or fail,
//! and a log that is down. The runs that the workers recorded are checked for violations.

mod schedule_support;

use std::time::Duration;

use geraniumshed_core::schedule::{
    OwnerStage, SchedulerSettings, ShardInput, TaskPhase, WaitReason,
};
use geraniumshed_model::prelude::*;
use schedule_support::fake_worker::FakeWorker;
use schedule_support::fixture::{job, service, size, task, workers};
use schedule_support::{ActionOutcome, FakeCluster, find_violations};

const SECOND: Duration = Duration::from_secs(1);

fn started(count: u32, spec: JobSpec) -> FakeCluster {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(count));
    cluster.publish("regrade", RecordSpec::Job(spec));
    cluster.take_over();
    cluster.run_until_idle();
    cluster
}

fn long_job(tasks: u32, processors: u32, idempotent: bool) -> JobSpec {
    JobSpec {
        command: "run=30s".into(),
        ..job(tasks, processors, idempotent)
    }
}

fn worker_id(number: u32) -> VmId {
    format!("worker-{number}").parse().expect("a valid id")
}

fn phases(cluster: &FakeCluster, tasks: u32) -> Vec<TaskPhase> {
    let state = cluster.ready_owner().state();
    let entries = (0..tasks).map(|index| state.task(&task("regrade", 1, index)));
    entries
        .map(|entry| entry.expect("a known task").phase.clone())
        .collect()
}

#[rstest::rstest]
#[case::killed(true)]
#[case::paused_and_woken(false)]
fn next_owner_adopts_running_tasks(#[case] killed: bool) {
    let mut cluster = started(2, long_job(8, 2, false));
    cluster.run(5 * SECOND);
    cluster.owners[0].alive = false;
    cluster.run(20 * SECOND);
    cluster.take_over();
    cluster.run(2 * SECOND);
    if !killed {
        cluster.owners[0].alive = true;
    }
    cluster.run(60 * SECOND);
    assert_eq!(find_violations(&cluster, false), Vec::<String>::new());
    assert_eq!(cluster.runs("regrade").len(), 8, "no task ran twice");
    assert_eq!(phases(&cluster, 8), vec![TaskPhase::Completed; 8]);
    if !killed {
        assert_eq!(cluster.owners[0].scheduler.stage(), OwnerStage::Superseded);
    }
}

#[test]
fn paused_owner_confirms_its_term_before_it_sends_commands() {
    let mut cluster = started(2, long_job(2, 8, false));
    cluster.run(SECOND);
    cluster.now = cluster.now + 20 * SECOND;
    cluster.publish("late", RecordSpec::Job(job(1, 1, true)));
    assert_eq!(cluster.owners[0].scheduler.stage(), OwnerStage::Suspended);
    let starts = cluster.pending.iter().any(|work| match &work.action {
        geraniumshed_core::schedule::ShardAction::Exchange { request, .. } => {
            !request.commands.is_empty()
        }
        _ => false,
    });
    assert!(!starts, "a suspended owner commands no worker");
    cluster.run_until_idle();
    assert_eq!(cluster.owners[0].scheduler.stage(), OwnerStage::Ready);
}

#[rstest::rstest]
#[case::may_repeat(true, TaskPhase::Completed)]
#[case::may_not_repeat(false, TaskPhase::Unknown)]
fn restarted_worker_loses_its_runs(#[case] idempotent: bool, #[case] expected: TaskPhase) {
    let mut cluster = started(1, long_job(1, 2, idempotent));
    cluster.run(5 * SECOND);
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .reboot();
    cluster.run(60 * SECOND);
    assert_eq!(phases(&cluster, 1), vec![expected]);
    assert_eq!(find_violations(&cluster, idempotent), Vec::<String>::new());
}

#[rstest::rstest]
#[case::run_again(true, 2)]
#[case::counts_as_completed(false, 1)]
fn operator_resolves_an_unknown_task(#[case] rerun: bool, #[case] runs: usize) {
    let mut cluster = started(1, long_job(1, 2, false));
    cluster.run(5 * SECOND);
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .reboot();
    cluster.run(20 * SECOND);
    let unknown = cluster.ready_owner().status().unknown;
    assert_eq!(unknown, vec![task("regrade", 1, 0)]);
    let task = unknown[0].clone();
    cluster.input(0, ShardInput::Resolve { task, rerun });
    cluster.run(60 * SECOND);
    assert_eq!(phases(&cluster, 1), vec![TaskPhase::Completed]);
    assert_eq!(cluster.runs("regrade").len(), runs);
}

#[test]
fn tasks_of_a_removed_worker_rerun_only_after_its_lease_expired() {
    let mut cluster = started(2, long_job(2, 8, true));
    cluster.run(2 * SECOND);
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .remove_vm();
    cluster.run(SECOND);
    let settings = SchedulerSettings::default();
    let wait = settings.list_lag + settings.lease + settings.drift_margin;
    cluster.run(wait.saturating_sub(3 * SECOND));
    assert_eq!(
        cluster.runs("regrade").len(),
        2,
        "the task waits until the lease has expired"
    );
    cluster.run(60 * SECOND);
    assert_eq!(phases(&cluster, 2), vec![TaskPhase::Completed; 2]);
    assert_eq!(find_violations(&cluster, true), Vec::<String>::new());
}

#[test]
fn unreachable_listed_worker_keeps_its_batch_task() {
    let mut cluster = started(2, long_job(1, 8, true));
    cluster.run(2 * SECOND);
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .reachable = false;
    cluster.run(300 * SECOND);
    assert_eq!(
        cluster.runs("regrade").len(),
        1,
        "the task may still run on the worker"
    );
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .reachable = true;
    cluster.run(120 * SECOND);
    assert_eq!(phases(&cluster, 1), vec![TaskPhase::Completed]);
}

#[test]
fn log_outage_delays_batch_tasks_but_not_replicas() {
    let mut cluster = started(3, long_job(4, 1, false));
    cluster.run(2 * SECOND);
    cluster.log_down = true;
    cluster.publish("bookings", RecordSpec::Service(service(3, 1)));
    cluster.publish("night", RecordSpec::Job(job(2, 1, false)));
    cluster.run(30 * SECOND);
    assert_eq!(cluster.ready_endpoints("bookings").len(), 3);
    assert_eq!(cluster.runs("night"), Vec::new());
    // The owner dies during the outage, and the next one waits for the log.
    cluster.owners[0].alive = false;
    cluster.take_over();
    cluster.run(10 * SECOND);
    assert_eq!(cluster.runs("night"), Vec::new());
    cluster.log_down = false;
    cluster.run(90 * SECOND);
    assert_eq!(cluster.runs("night").len(), 2);
    assert_eq!(
        cluster.runs("bookings").len(),
        3,
        "running replicas are adopted"
    );
    assert_eq!(find_violations(&cluster, false), Vec::<String>::new());
    assert_eq!(phases(&cluster, 4), vec![TaskPhase::Completed; 4]);
}

#[test]
fn task_runs_once_if_the_reply_to_its_start_is_lost() {
    let mut cluster = started(1, long_job(1, 2, false));
    let start = |work: &schedule_support::PendingAction| match &work.action {
        geraniumshed_core::schedule::ShardAction::Exchange { request, .. } => {
            !request.commands.is_empty()
        }
        _ => false,
    };
    cluster.publish("second", RecordSpec::Job(long_job(1, 2, false)));
    while !cluster.pending.iter().any(start) {
        if !cluster.pending.is_empty() {
            cluster.perform(0, ActionOutcome::Done);
        } else if !cluster.read_next(0) {
            cluster.now = cluster.now + SECOND / 10;
            cluster.input(0, ShardInput::Tick);
        }
    }
    let index = cluster.pending.iter().position(start).expect("a start");
    cluster.perform(index, ActionOutcome::AnswerLost);
    cluster.run(60 * SECOND);
    assert_eq!(cluster.runs("second").len(), 1);
    assert_eq!(find_violations(&cluster, false), Vec::<String>::new());
}

#[test]
fn urgent_task_preempts_and_starts_within_1100_ms() {
    let mut cluster = started(
        2,
        JobSpec {
            command: "run=600s".into(),
            ..job(8, 2, true)
        },
    );
    cluster.run(5 * SECOND);
    let published = cluster.now;
    cluster.publish(
        "rush",
        RecordSpec::Job(JobSpec {
            urgency: UrgencyClass::Urgent,
            ..job(1, 4, true)
        }),
    );
    cluster.run(3 * SECOND);
    let runs = cluster.runs("rush");
    let first = runs.first().expect("the urgent task started");
    let latency = first.begin.since(published);
    assert!(latency <= Duration::from_millis(1_100), "{latency:?}");
    assert_eq!(
        cluster.ready_owner().status().counters.preempted,
        2,
        "no more attempts are preempted than needed"
    );
    assert_eq!(find_violations(&cluster, true), Vec::<String>::new());
}

#[test]
fn worker_that_refuses_all_starts_is_quarantined_and_probed() {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(2));
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .fails_starts = true;
    for number in 0..6 {
        cluster.publish(&format!("job-{number}"), RecordSpec::Job(job(2, 1, false)));
    }
    cluster.take_over();
    cluster.run(30 * SECOND);
    let status = cluster.ready_owner().status();
    assert!(status.workers[0].quarantined, "{:?}", status.workers);
    for number in 0..6 {
        assert_eq!(cluster.runs(&format!("job-{number}")).len(), 2);
    }
    cluster
        .workers
        .get_mut(&worker_id(0))
        .expect("a worker")
        .fails_starts = false;
    cluster.run(60 * SECOND);
    cluster.publish("probe", RecordSpec::Job(job(12, 1, false)));
    cluster.run(30 * SECOND);
    let status = cluster.ready_owner().status();
    assert!(
        !status.workers[0].quarantined,
        "the probe ended the quarantine"
    );
}

#[test]
fn teams_stay_within_quota_and_share_by_weight() {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(4));
    let team = |quota, weight| {
        RecordSpec::Team(TeamSpec {
            quota: size(quota, 1_000),
            weight,
            rate: None,
        })
    };
    cluster.publish("atelier", team(6, 1));
    let endless = JobSpec {
        command: "run=600s".into(),
        ..job(40, 1, true)
    };
    cluster.publish("regrade", RecordSpec::Job(endless.clone()));
    for (name, weight) in [("heavy", 3), ("light", 1)] {
        cluster.publish(name, team(1_000, weight));
        let team = name.parse().expect("a valid name");
        let spec = JobSpec {
            team,
            ..endless.clone()
        };
        cluster.publish(&format!("{name}-job"), RecordSpec::Job(spec));
    }
    cluster.take_over();
    cluster.run(10 * SECOND);
    assert_eq!(cluster.runs("regrade").len(), 6);
    let (heavy, light) = (
        cluster.runs("heavy-job").len(),
        cluster.runs("light-job").len(),
    );
    assert_eq!(
        heavy + light,
        26,
        "the remaining 26 of 32 processors are shared"
    );
    assert!(
        (17..=21).contains(&heavy),
        "the heavy team gets three quarters: {heavy}"
    );
}

#[test]
fn failing_worker_does_not_use_up_the_attempts_of_a_task() {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(3));
    let bad = cluster.workers.get_mut(&worker_id(0)).expect("a worker");
    bad.fails_runs = true;
    cluster.publish("regrade", RecordSpec::Job(job(24, 2, true)));
    cluster.take_over();
    cluster.run(120 * SECOND);
    let name: RecordName = "regrade".parse().expect("a valid name");
    assert_eq!(cluster.progress.get(&name), Some(&(24, 0)));
}

#[rstest::rstest]
#[case::must_not_run_twice(false)]
#[case::may_run_twice(true)]
fn tasks_whose_history_the_log_dropped_wait_for_an_operator(#[case] idempotent: bool) {
    let mut cluster = started(2, job(4, 2, idempotent));
    cluster.run(60 * SECOND);
    assert_eq!(cluster.runs("regrade").len(), 4);
    cluster.owners[0].alive = false;
    // Restarted workers don't know what they ran before either.
    cluster.workers.values_mut().for_each(FakeWorker::reboot);
    let dropped = cluster.log.len();
    let next = cluster.take_over();
    cluster.owners[next].read = dropped;
    cluster.input(next, ShardInput::EntriesLost);
    cluster.run(60 * SECOND);
    assert_eq!(
        cluster.runs("regrade").len(),
        4,
        "no task ran again without a decision"
    );
    let waiting = cluster.ready_owner().status().waiting;
    let held: Vec<_> = waiting
        .iter()
        .map(|group| (group.tasks, &group.reason))
        .collect();
    assert_eq!(held, vec![(4, &WaitReason::HistoryLost)]);

    cluster.publish("regrade", RecordSpec::Job(job(4, 2, idempotent)));
    cluster.run(60 * SECOND);
    assert_eq!(cluster.runs("regrade").len(), 8, "a new generation runs");
    assert_eq!(find_violations(&cluster, idempotent), Vec::<String>::new());
}
