//! The workers' client against their stand-in: terms, boot ids, leases, attempts and capacity.

mod support;

use std::time::Duration;

use geraniumshed_model::prelude::{
    AcceleratorCount, AttemptNumber, AttemptPhase, BootId, CheckpointId, CommandResult,
    EndedReport, ExchangeReply, ExchangeRequest, MemorySize, ProcessorShare, ResourceSize,
    SeizeReply, SeizeRequest, ShardId, ShardTerm, SlotCount, TaskClass, TaskId, TaskOutcome,
    TaskSignal, TaskSpec, TimeSpan, UrgencyClass, WorkerCommand,
};
use geraniumshed_platform::{HttpTimeouts, HttpWorkers, PlatformError, WorkerClient};
use geraniumshed_standin::WorkerServer;
use geraniumshed_standin::clock::StandinClock;
use geraniumshed_standin::history::{
    CheckLimits, HistoryRecorder, PlacementEnd, PromiseKind, check_promises,
};
use geraniumshed_standin::worker::{
    CheckpointStore, InterferenceMatrix, WorkerConfig, WorkerSwitch,
};
use rstest::rstest;
use tokio::net::TcpStream;

use support::eventually;

/// Long enough not to expire within a test.
const LONG_LEASE: Duration = Duration::from_mins(5);

/// Short timeouts for calls that are expected to get no response.
const SHORT_TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(400),
    answer: Duration::from_millis(800),
    idle: Duration::from_secs(30),
};

fn size(processors: u32) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors * 1000),
        memory: MemorySize(u64::from(processors) * 1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}

/// The owner of a worker with 4 processors.
struct Owner {
    server: WorkerServer,
    client: HttpWorkers,
    recorder: HistoryRecorder,
    term: ShardTerm,
    boot: BootId,
    sequence: u64,
}

impl Owner {
    async fn open() -> Self {
        Self::with_interference(InterferenceMatrix::disabled(), Duration::ZERO).await
    }

    async fn with_interference(interference: InterferenceMatrix, usage_lag: Duration) -> Self {
        let recorder = HistoryRecorder::open(StandinClock::start());
        let config = WorkerConfig {
            vm: "worker-0".parse().unwrap(),
            size: size(4),
            usage_lag,
            seed: 1,
            proxied: false,
            interference,
            checkpoints: CheckpointStore::default(),
            recorder: recorder.clone(),
        };
        let server = WorkerServer::bind(0, config).unwrap();
        let mut owner = Self {
            server,
            client: HttpWorkers::open(HttpTimeouts::default()),
            recorder,
            term: ShardTerm(5),
            boot: BootId(0),
            sequence: 0,
        };
        owner.boot = owner.seize(ShardTerm(5)).await.unwrap().boot;
        owner
    }

    async fn seize(&mut self, term: ShardTerm) -> Result<SeizeReply, PlatformError> {
        let request = SeizeRequest {
            shard: ShardId(0),
            term,
        };
        let reply = self.client.seize(self.server.address(), request).await?;
        self.term = term;
        Ok(reply)
    }

    fn request(&mut self, commands: Vec<WorkerCommand>) -> ExchangeRequest {
        self.sequence += 1;
        ExchangeRequest {
            term: self.term,
            boot: self.boot,
            sequence: self.sequence,
            lease: Some(TimeSpan(LONG_LEASE)),
            commands,
            with_usage: false,
        }
    }

    async fn send(&self, request: ExchangeRequest) -> Result<ExchangeReply, PlatformError> {
        self.client.exchange(self.server.address(), request).await
    }

    async fn send_commands(&mut self, commands: Vec<WorkerCommand>) -> ExchangeReply {
        let request = self.request(commands);
        self.send(request).await.unwrap()
    }

    /// Polls the worker until an attempt of the task has ended.
    async fn wait_for_end(&mut self, task: &TaskId) -> EndedReport {
        eventually(async || {
            let mut ended = self.send_commands(Vec::new()).await.ended.into_iter();
            ended.find(|report| report.ended.task == *task)
        })
        .await
    }

    /// Polls the inventory until the task is in the phase.
    async fn wait_for_phase(&mut self, task: &TaskId, phase: AttemptPhase) {
        eventually(async || {
            let running = self.seize(self.term).await.unwrap().running;
            let mut found = running.iter().filter(|attempt| attempt.task == *task);
            found.any(|attempt| attempt.phase == phase).then_some(())
        })
        .await;
    }
}

fn task(name: &str) -> TaskId {
    format!("{name}/1/0").parse().unwrap()
}

fn spec(name: &str, class: TaskClass, command: &str) -> TaskSpec {
    TaskSpec {
        task: task(name),
        team: "team-a".parse().unwrap(),
        class,
        group: name.parse().unwrap(),
        urgency: UrgencyClass::Normal,
        size: size(1),
        command: command.into(),
        idempotent: false,
        failure_limit: 1,
        slots: SlotCount(8),
        connections: 60,
    }
}

fn start(name: &str, attempt: u32, command: &str) -> WorkerCommand {
    start_from(name, attempt, command, None)
}

fn start_from(
    name: &str,
    attempt: u32,
    command: &str,
    checkpoint: Option<CheckpointId>,
) -> WorkerCommand {
    WorkerCommand::Start {
        spec: spec(name, TaskClass::Batch, command),
        attempt: AttemptNumber(attempt),
        size: size(1),
        checkpoint,
    }
}

fn stop(name: &str, attempt: u32) -> WorkerCommand {
    WorkerCommand::Stop {
        task: task(name),
        attempt: AttemptNumber(attempt),
        grace: TimeSpan(Duration::from_secs(10)),
    }
}

#[tokio::test]
async fn a_completed_task_is_reported_until_forgotten() {
    let mut owner = Owner::open().await;
    let reply = owner
        .send_commands(vec![start("regrade", 1, "simulate run=20ms")])
        .await;
    assert_eq!(reply.results, [CommandResult::Done]);
    assert_eq!(
        owner.wait_for_end(&task("regrade")).await.ended.outcome,
        TaskOutcome::Completed
    );
    assert_eq!(owner.seize(ShardTerm(5)).await.unwrap().ended.len(), 1);
    let forget = WorkerCommand::Forget {
        task: task("regrade"),
        attempt: AttemptNumber(1),
    };
    assert!(owner.send_commands(vec![forget]).await.ended.is_empty());
}

enum StaleCase {
    LowerTerm,
    HigherTermWithoutSeizure,
    OtherBoot,
    EarlierSequence,
}

#[rstest]
#[case::lower_term(StaleCase::LowerTerm)]
#[case::unseized_term(StaleCase::HigherTermWithoutSeizure)]
#[case::other_boot(StaleCase::OtherBoot)]
#[case::earlier_sequence(StaleCase::EarlierSequence)]
#[tokio::test]
async fn a_stale_exchange_starts_nothing(#[case] case: StaleCase) {
    let mut owner = Owner::open().await;
    owner.send_commands(Vec::new()).await;
    let mut request = owner.request(vec![start("regrade", 1, "simulate run=10s")]);
    let expected = match case {
        StaleCase::LowerTerm => {
            owner.seize(ShardTerm(6)).await.unwrap();
            PlatformError::StaleTerm { held: ShardTerm(6) }
        }
        StaleCase::HigherTermWithoutSeizure => {
            request.term = ShardTerm(9);
            PlatformError::StaleTerm { held: ShardTerm(5) }
        }
        StaleCase::OtherBoot => {
            owner.server.switch(WorkerSwitch::Reboot);
            PlatformError::WrongBoot { boot: BootId(2) }
        }
        StaleCase::EarlierSequence => {
            request.sequence = 1;
            PlatformError::Rejected {
                reason: "exchange 1 came before this one".into(),
            }
        }
    };
    assert_eq!(owner.send(request).await, Err(expected));
    assert!(owner.recorder.snapshot().placements.is_empty());
}

#[tokio::test]
async fn a_lower_term_cannot_seize() {
    let mut owner = Owner::open().await;
    let error = owner.seize(ShardTerm(4)).await.unwrap_err();
    assert_eq!(error, PlatformError::StaleTerm { held: ShardTerm(5) });
    owner.seize(ShardTerm(5)).await.unwrap();
}

#[rstest]
#[case::while_it_runs("simulate run=10s", false)]
#[case::after_it_was_forgotten("simulate run=1ms start=0ms", true)]
#[tokio::test]
async fn a_repeated_start_does_not_run_the_attempt_twice(
    #[case] command: &str,
    #[case] forget: bool,
) {
    let mut owner = Owner::open().await;
    owner
        .send_commands(vec![start("regrade", 1, command)])
        .await;
    if forget {
        owner.wait_for_end(&task("regrade")).await;
        let forget = WorkerCommand::Forget {
            task: task("regrade"),
            attempt: AttemptNumber(1),
        };
        owner.send_commands(vec![forget]).await;
    }
    let reply = owner
        .send_commands(vec![start("regrade", 1, command)])
        .await;
    assert_eq!(reply.results, [CommandResult::Done]);
    assert_eq!(owner.recorder.snapshot().placements.len(), 1);
}

#[tokio::test]
async fn a_start_whose_answer_is_lost_shows_in_the_inventory() {
    let mut owner = Owner::open().await;
    owner.server.switch(WorkerSwitch::LoseAnswer);
    let request = owner.request(vec![start("regrade", 1, "simulate run=10s")]);
    let error = owner.send(request).await.unwrap_err();
    assert!(matches!(error, PlatformError::AnswerLost { .. }), "{error}");
    let inventory = owner.seize(ShardTerm(5)).await.unwrap();
    assert_eq!(inventory.running.len(), 1);
}

#[tokio::test]
async fn a_stop_before_the_start_prevents_the_start() {
    let mut owner = Owner::open().await;
    let reply = owner.send_commands(vec![stop("regrade", 1)]).await;
    let outcome = &reply.ended[0].ended.outcome;
    assert!(
        matches!(outcome, TaskOutcome::NotStarted { .. }),
        "{outcome:?}"
    );
    owner
        .send_commands(vec![start("regrade", 1, "simulate run=1ms")])
        .await;
    assert!(owner.recorder.snapshot().placements.is_empty());
}

#[tokio::test]
async fn a_stopped_task_resumes_from_its_checkpoint() {
    let mut owner = Owner::open().await;
    let command = "simulate run=1s checkpoint=1ms start=0ms";
    owner
        .send_commands(vec![start("regrade", 1, command)])
        .await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    owner.send_commands(vec![stop("regrade", 1)]).await;
    let report = owner.wait_for_end(&task("regrade")).await;
    let TaskOutcome::Stopped {
        checkpoint: Some(checkpoint),
    } = report.ended.outcome
    else {
        panic!("no checkpoint: {report:?}");
    };
    let forget = WorkerCommand::Forget {
        task: task("regrade"),
        attempt: AttemptNumber(1),
    };
    let resume = start_from("regrade", 2, command, Some(checkpoint.clone()));
    owner.send_commands(vec![forget, resume]).await;
    let report = owner.wait_for_end(&task("regrade")).await;
    assert_eq!(report.ended.attempt, AttemptNumber(2));
    let placements = owner.recorder.snapshot().placements;
    assert_eq!(
        placements[1].resumed_from.as_deref(),
        Some(checkpoint.as_str())
    );
    assert!(placements[0].work_after >= 50_000, "{placements:?}");
    assert_eq!(placements[1].work_before, placements[0].work_after);
    assert_eq!(placements[1].work_after, 1_000_000);
    assert_eq!(placements[1].outcome, Some(PlacementEnd::Completed));
}

#[tokio::test]
async fn an_expired_lease_stops_batch_tasks_but_not_services() {
    let mut owner = Owner::open().await;
    let service = WorkerCommand::Start {
        spec: spec("booking", TaskClass::Service, "simulate serve=1ms"),
        attempt: AttemptNumber(1),
        size: size(1),
        checkpoint: None,
    };
    let mut request = owner.request(vec![start("regrade", 1, "simulate run=10s"), service]);
    request.lease = Some(TimeSpan(Duration::from_millis(200)));
    owner.send(request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(250)).await;
    let inventory = owner.seize(ShardTerm(5)).await.unwrap();
    let outcome = &inventory.ended[0].ended.outcome;
    assert!(
        matches!(
            outcome,
            TaskOutcome::Stopped {
                checkpoint: Some(_)
            }
        ),
        "{outcome:?}"
    );
    assert_eq!(inventory.running.len(), 1);
    assert_eq!(inventory.running[0].task, task("booking"));
    let mut request = owner.request(vec![start("regrade", 2, "simulate run=10s")]);
    request.lease = None;
    let reply = owner.send(request).await.unwrap();
    let reason = "the worker has no lease".into();
    assert_eq!(reply.results, [CommandResult::Refused { reason }]);
}

#[tokio::test]
async fn a_start_beyond_the_size_is_refused_and_recorded() {
    let mut owner = Owner::open().await;
    let names = ["a", "b", "c", "d", "e"];
    let starts = names
        .map(|name| start(name, 1, "simulate run=10s"))
        .to_vec();
    let results = owner.send_commands(starts).await.results;
    assert_eq!(
        results
            .iter()
            .filter(|r| **r == CommandResult::Done)
            .count(),
        4
    );
    let report = check_promises(&owner.recorder.snapshot(), &[], CheckLimits::default());
    assert!(!report.row(PromiseKind::Capacity).unwrap().held());
}

#[rstest]
#[case::unknown_program("run.sh", "unknown command")]
#[case::unknown_parameter("simulate run=1s colour=red", "no parameter `colour`")]
#[case::no_unit("simulate run=2", "such as `250ms`")]
#[case::no_work("simulate fail=0.5", "needs `run`")]
#[case::bad_probability("simulate run=1s fail=2", "not from 0 to 1")]
#[case::word_without_value("simulate run", "`name=value`")]
#[tokio::test]
async fn an_invalid_command_fails_the_task_with_its_reason(
    #[case] command: &str,
    #[case] part: &str,
) {
    let mut owner = Owner::open().await;
    owner
        .send_commands(vec![start("regrade", 1, command)])
        .await;
    let outcome = owner.wait_for_end(&task("regrade")).await.ended.outcome;
    let TaskOutcome::Failed { reason } = &outcome else {
        panic!("not failed: {outcome:?}");
    };
    assert!(reason.contains(part), "{reason}");
}

#[tokio::test]
async fn attempts_fail_only_while_the_fault_is_injected() {
    let mut owner = Owner::open().await;
    owner.server.switch(WorkerSwitch::FailEverything);
    owner
        .send_commands(vec![start("a", 1, "simulate run=1ms")])
        .await;
    let outcome = owner.wait_for_end(&task("a")).await.ended.outcome;
    assert!(matches!(outcome, TaskOutcome::Failed { .. }), "{outcome:?}");
    owner.server.switch(WorkerSwitch::FailNothing);
    owner
        .send_commands(vec![start("b", 1, "simulate run=1ms")])
        .await;
    assert_eq!(
        owner.wait_for_end(&task("b")).await.ended.outcome,
        TaskOutcome::Completed
    );
}

#[rstest]
#[case::reboot(WorkerSwitch::Reboot, true)]
#[case::kill(WorkerSwitch::Kill, false)]
#[tokio::test]
async fn a_crashed_worker_loses_all_attempts(#[case] switch: WorkerSwitch, #[case] restarts: bool) {
    let mut owner = Owner::open().await;
    owner
        .send_commands(vec![start("regrade", 1, "simulate run=10s")])
        .await;
    owner.server.switch(switch);
    let placements = owner.recorder.snapshot().placements;
    assert_eq!(placements[0].outcome, Some(PlacementEnd::Killed));
    if restarts {
        let inventory = owner.seize(ShardTerm(5)).await.unwrap();
        assert_eq!(inventory.boot, BootId(2));
        assert!(inventory.running.is_empty() && inventory.ended.is_empty());
        return;
    }
    let connect = async || TcpStream::connect(owner.server.address()).await.err();
    eventually(connect).await;
    let error = owner.seize(ShardTerm(5)).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unreachable { .. }),
        "{error}"
    );
}

#[tokio::test]
async fn a_partitioned_worker_keeps_running_its_tasks() {
    let mut owner = Owner::open().await;
    owner
        .send_commands(vec![start("regrade", 1, "simulate run=10s")])
        .await;
    owner.client = HttpWorkers::open(SHORT_TIMEOUTS);
    owner.server.switch(WorkerSwitch::Partition);
    let error = owner.seize(ShardTerm(6)).await.unwrap_err();
    assert!(!error.has_no_effect(), "{error}");
    owner.server.switch(WorkerSwitch::Heal);
    owner.client = HttpWorkers::open(HttpTimeouts::default());
    let inventory = owner.seize(ShardTerm(6)).await.unwrap();
    assert_eq!(inventory.running.len(), 1);
}

#[tokio::test]
async fn a_throttled_task_runs_longer() {
    let mut owner = Owner::open().await;
    owner
        .send_commands(vec![start("regrade", 1, "simulate run=100ms start=0ms")])
        .await;
    let throttle = WorkerCommand::Throttle {
        task: task("regrade"),
        attempt: AttemptNumber(1),
        percent: 25,
    };
    owner.send_commands(vec![throttle]).await;
    let run_time = owner.wait_for_end(&task("regrade")).await.run_time.0;
    assert!(run_time >= Duration::from_millis(200), "{run_time:?}");
}

#[tokio::test]
async fn neighbours_slow_a_task_down_and_usage_shows_it_after_the_lag() {
    let lag = Duration::from_millis(300);
    let matrix = (0..1000)
        .map(InterferenceMatrix::new)
        .find(|matrix| matrix.added_slowdown(&"a".parse().unwrap(), &"b".parse().unwrap()) > 400);
    let mut owner = Owner::with_interference(matrix.unwrap(), lag).await;
    let command = "simulate run=60s start=0ms use=100%";
    owner
        .send_commands(vec![start("a", 1, command), start("b", 1, command)])
        .await;
    owner
        .wait_for_phase(&task("a"), AttemptPhase::Running)
        .await;
    let (age, progress) = eventually(async || {
        let mut request = owner.request(Vec::new());
        request.with_usage = true;
        let usage = owner.send(request).await.unwrap().usage;
        usage.and_then(|report| {
            let usage = report.tasks.iter().find(|usage| usage.task == task("a"))?;
            let TaskSignal::Progress(progress) = usage.signal else {
                return None;
            };
            (progress < 1000).then_some((report.age.0, progress))
        })
    })
    .await;
    assert!(age >= lag, "{age:?}");
    assert!(progress < 1000 * 1000 / 1400, "{progress}");
}
