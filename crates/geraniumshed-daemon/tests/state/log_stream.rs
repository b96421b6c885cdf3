//! Followers and writers of the log's streams, under faults of the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fake_log::{AppendFault, FakeLog};
use geraniumshed_daemon::clock::ProcessClock;
use geraniumshed_daemon::log::{
    AppendError, FollowerItem, KeyStreams, LogContext, LogSettings, StreamFollower, StreamWriter,
};
use geraniumshed_daemon::request::{KeyLog, KeyLogError};
use geraniumshed_model::prelude::*;
use geraniumshed_wire::log::encode_batch;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use tokio::time::Instant;

const STREAM: LogStream = LogStream::Shard(ShardId(1));

fn context(log: &FakeLog, incarnation: u64) -> Arc<LogContext<FakeLog>> {
    LogContext::open(
        log.clone(),
        DaemonIncarnation(incarnation),
        LogSettings::default(),
        ProcessClock::start(),
    )
}

fn event(number: u64) -> ShardEvent {
    ShardEvent::Cancelled {
        job: "job".parse().unwrap(),
        generation: RecordGeneration(number),
    }
}

fn number(event: &ShardEvent) -> u64 {
    match event {
        ShardEvent::Cancelled { generation, .. } => generation.0,
        other => panic!("unexpected event {other:?}"),
    }
}

/// Reads until the follower has caught up with an offset, and returns the valid entries.
async fn read_up_to(
    follower: &mut StreamFollower<ShardEvent>,
    offset: LogOffset,
) -> Vec<(LogOffset, LogBatch<ShardEvent>)> {
    let mut batches = Vec::new();
    loop {
        match follower.next().await.unwrap() {
            FollowerItem::Batch { offset, batch } => batches.push((offset, batch)),
            FollowerItem::CaughtUp { end, .. } if end >= offset => return batches,
            FollowerItem::CaughtUp { .. }
            | FollowerItem::Unreadable { .. }
            | FollowerItem::EntriesLost { .. } => {}
        }
    }
}

async fn read_all(log: &FakeLog, incarnation: u64) -> Vec<(LogOffset, LogBatch<ShardEvent>)> {
    let context = context(log, incarnation);
    let mut follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    read_up_to(&mut follower, LogOffset(log.len(STREAM) as u64)).await
}

#[rstest]
#[case::no_fault(&[])]
#[case::unreachable(&[AppendFault::Unreachable, AppendFault::Unreachable])]
#[case::request_lost(&[AppendFault::RequestLost, AppendFault::RequestLost])]
#[case::answer_lost(&[AppendFault::AnswerLost])]
#[case::answers_lost(&[AppendFault::AnswerLost, AppendFault::AnswerLost])]
#[case::late_copy(&[AppendFault::Late, AppendFault::None])]
#[case::slow(&[AppendFault::Slow])]
#[case::mixed(&[AppendFault::Unreachable, AppendFault::Late, AppendFault::AnswerLost])]
#[tokio::test(start_paused = true)]
async fn an_append_takes_effect_once_in_spite_of_faults(#[case] faults: &[AppendFault]) {
    let log = FakeLog::default();
    log.plan(faults.iter().copied());
    let context = context(&log, 1);
    let mut follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    let writer = StreamWriter::spawn(&context, STREAM, follower.pending_appends());
    let reader = tokio::spawn(async move { while follower.next().await.is_some() {} });

    let first = writer.append(ShardTerm(1), vec![event(1), event(2)]).await;
    let second = writer.append(ShardTerm(1), vec![event(3)]).await;
    assert!(first.unwrap() < second.unwrap());
    reader.abort();

    let batches = read_all(&log, 2).await;
    let numbers: Vec<_> = batches
        .iter()
        .flat_map(|(_, batch)| batch.events.iter().map(number))
        .collect();
    assert_eq!(numbers, [1, 2, 3]);
}

#[rstest]
#[case::down(&[], AppendError::Unavailable)]
#[case::unknown_then_down(&[AppendFault::RequestLost], AppendError::Unconfirmed)]
#[tokio::test(start_paused = true)]
async fn an_outage_distinguishes_unavailable_from_unconfirmed(
    #[case] faults: &[AppendFault],
    #[case] expected: AppendError,
) {
    let log = FakeLog::default();
    log.plan(faults.iter().copied());
    let context = context(&log, 1);
    let follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    let writer = StreamWriter::spawn(&context, STREAM, follower.pending_appends());
    let append = tokio::spawn(async move { writer.append(ShardTerm(1), vec![event(1)]).await });
    if faults.is_empty() {
        log.set_down(true);
    } else {
        tokio::time::sleep(Duration::from_millis(10)).await;
        log.set_down(true);
    }
    let begin = Instant::now();
    assert_eq!(append.await.unwrap(), Err(expected));
    assert!(begin.elapsed() < LogSettings::default().append_patience * 2 + Duration::from_secs(2));
    assert_eq!(log.len(STREAM), 0);
}

#[tokio::test(start_paused = true)]
async fn an_entry_of_a_superseded_term_is_ignored() {
    let log = FakeLog::default();
    let barrier = LogBatch {
        mark: WriterMark {
            incarnation: DaemonIncarnation(9),
            sequence: 1,
        },
        term: ShardTerm(7),
        events: vec![ShardEvent::Opened],
    };
    log.push(STREAM, encode_batch(&barrier).unwrap());
    let context = context(&log, 1);
    let mut follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    let writer = StreamWriter::spawn(&context, STREAM, follower.pending_appends());
    let stale = writer.append(ShardTerm(6), vec![event(1)]).await;
    let foreign = writer.append(ShardTerm(0), vec![event(2)]).await;
    let owned = writer.append(ShardTerm(7), vec![event(3)]).await;
    assert_eq!(stale, Err(AppendError::Superseded));
    assert_eq!(foreign, Ok(LogOffset(2)));
    assert_eq!(owned, Ok(LogOffset(3)));
    let offsets: Vec<_> = read_up_to(&mut follower, LogOffset(4))
        .await
        .into_iter()
        .map(|(offset, _)| offset.0)
        .collect();
    assert_eq!(offsets, [0, 2, 3]);
}

#[tokio::test(start_paused = true)]
async fn appends_stay_within_the_budget_shared_by_all_streams() {
    let log = FakeLog::default();
    let context = context(&log, 1);
    let mut tasks = Vec::new();
    let begin = Instant::now();
    for shard in 0..4 {
        let stream = LogStream::Shard(ShardId(shard));
        let mut follower = StreamFollower::<ShardEvent>::spawn(&context, stream, LogOffset(0));
        let writer = StreamWriter::spawn(&context, stream, follower.pending_appends());
        tokio::spawn(async move { while follower.next().await.is_some() {} });
        for caller in 0..25 {
            let writer = writer.clone();
            tasks.push(tokio::spawn(async move {
                for round in 0..20 {
                    let numbers = vec![event(caller * 100 + round)];
                    writer.append(ShardTerm(1), numbers).await.unwrap();
                }
            }));
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    let settings = LogSettings::default();
    let allowed = begin.elapsed().as_secs_f64() * f64::from(settings.append_rate)
        + f64::from(settings.append_burst);
    assert!(log.appends() as f64 <= allowed + 1.0, "{}", log.appends());
    assert!(log.appends() < 4 * 25 * 20 / 10);
}

#[tokio::test(start_paused = true)]
async fn a_single_append_is_not_delayed() {
    let log = FakeLog::default();
    let context = context(&log, 1);
    let mut follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    let writer = StreamWriter::spawn(&context, STREAM, follower.pending_appends());
    tokio::spawn(async move { while follower.next().await.is_some() {} });
    let begin = Instant::now();
    writer.append(ShardTerm(1), vec![event(1)]).await.unwrap();
    assert!(begin.elapsed() < Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn lost_entries_are_reported_and_reading_continues() {
    let log = FakeLog::default();
    for sequence in 1..=10 {
        let batch = LogBatch {
            mark: WriterMark {
                incarnation: DaemonIncarnation(9),
                sequence,
            },
            term: ShardTerm(1),
            events: vec![event(sequence)],
        };
        log.push(STREAM, encode_batch(&batch).unwrap());
    }
    log.push(STREAM, vec![99].into());
    log.expire(STREAM, 3);
    let context = context(&log, 1);
    let mut follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    assert_eq!(
        follower.next().await,
        Some(FollowerItem::EntriesLost {
            from: LogOffset(0),
            first: LogOffset(8)
        })
    );
    for offset in 8..10 {
        let item = follower.next().await.unwrap();
        assert!(matches!(item, FollowerItem::Batch { offset: LogOffset(o), .. } if o == offset));
    }
    let item = follower.next().await.unwrap();
    assert!(matches!(item, FollowerItem::Unreadable { .. }), "{item:?}");
    let item = follower.next().await.unwrap();
    assert!(matches!(item, FollowerItem::CaughtUp { end, .. } if end == LogOffset(11)));
}

#[tokio::test(start_paused = true)]
async fn key_streams_skip_repeats_and_report_expiry_and_outages() {
    let log = FakeLog::default();
    let keys = KeyStreams::open(&context(&log, 1));
    let shard = ShardId(3);
    log.plan([AppendFault::AnswerLost]);
    let offset = keys.append(shard, ShardTerm(4), vec![KeyEvent::Opened]);
    assert_eq!(offset.await, Ok(LogOffset(1)));
    let wait = Duration::from_millis(10);
    let page = keys.read(shard, LogOffset(0), wait).await.unwrap();
    assert_eq!((page.entries.len(), page.end), (1, LogOffset(2)));
    log.expire(LogStream::Keys(shard), 1);
    let expired = keys.read(shard, LogOffset(0), wait).await;
    assert_eq!(expired, Err(KeyLogError::Expired(LogOffset(1))));
    log.set_down(true);
    let down = keys.append(shard, ShardTerm(4), vec![KeyEvent::Opened]);
    assert_eq!(down.await, Err(KeyLogError::Unavailable));
}

/// A step of a randomized test.
#[derive(Debug, Clone)]
enum Step {
    /// A writer appends, and the faults are injected into its next attempts.
    Append {
        writer: usize,
        faults: Vec<AppendFault>,
    },
    /// A writer is replaced by one with a new incarnation.
    Restart { writer: usize },
    /// The log is down for some milliseconds.
    Outage { millis: u64 },
}

const WRITERS: usize = 3;

fn fault() -> impl Strategy<Value = AppendFault> {
    prop::sample::select(vec![
        AppendFault::None,
        AppendFault::Unreachable,
        AppendFault::RequestLost,
        AppendFault::AnswerLost,
        AppendFault::Late,
        AppendFault::Slow,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    let append = (0..WRITERS, prop::collection::vec(fault(), 0..4))
        .prop_map(|(writer, faults)| Step::Append { writer, faults });
    prop_oneof![
        6 => append,
        1 => (0..WRITERS).prop_map(|writer| Step::Restart { writer }),
        1 => (1..8_000_u64).prop_map(|millis| Step::Outage { millis }),
    ]
}

/// The handles of one incarnation of a daemon that writes to the stream.
struct TestWriter {
    writer: StreamWriter<ShardEvent>,
    _context: Arc<LogContext<FakeLog>>,
}

fn start_writer(log: &FakeLog, incarnation: u64) -> TestWriter {
    let context = context(log, incarnation);
    let mut follower = StreamFollower::<ShardEvent>::spawn(&context, STREAM, LogOffset(0));
    let writer = StreamWriter::spawn(&context, STREAM, follower.pending_appends());
    tokio::spawn(async move { while follower.next().await.is_some() {} });
    TestWriter {
        writer,
        _context: context,
    }
}

async fn check_steps(steps: Vec<Step>) {
    let log = FakeLog::default();
    let mut incarnations = 100;
    let mut writers: Vec<_> = (0..WRITERS).map(|n| start_writer(&log, n as u64)).collect();
    let mut calls = Vec::new();
    for step in steps {
        match step {
            Step::Append { writer, faults } => {
                log.plan(faults);
                let writer = writers[writer].writer.clone();
                let id = calls.len() as u64;
                calls.push(tokio::spawn(async move {
                    writer.append(ShardTerm(0), vec![event(id)]).await
                }));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Step::Restart { writer } => {
                incarnations += 1;
                writers[writer] = start_writer(&log, incarnations);
            }
            Step::Outage { millis } => {
                log.set_down(true);
                tokio::time::sleep(Duration::from_millis(millis)).await;
                log.set_down(false);
            }
        }
    }
    let mut results = Vec::new();
    for call in calls {
        results.push(call.await.unwrap());
    }

    let batches = read_all(&log, 9_001).await;
    assert_eq!(
        batches,
        read_all(&log, 9_002).await,
        "two readers read different entries"
    );
    let mut counted = BTreeMap::new();
    for (offset, batch) in &batches {
        for event in &batch.events {
            let before = counted.insert(number(event), *offset);
            assert_eq!(before, None, "event {} took effect twice", number(event));
        }
    }
    for (id, result) in results.iter().enumerate() {
        let offset = counted.get(&(id as u64)).copied();
        match result {
            Ok(confirmed) => assert_eq!(offset, Some(*confirmed), "event {id}"),
            Err(AppendError::Unavailable | AppendError::Superseded) => {
                assert_eq!(
                    offset, None,
                    "event {id} took effect although the result is {result:?}"
                );
            }
            Err(AppendError::Unconfirmed) => {}
        }
    }
}

#[test]
fn random_faults_never_duplicate_or_lose_a_confirmed_append() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec(step(), 1..40);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            runtime.block_on(check_steps(steps));
            Ok(())
        })
        .unwrap();
}
