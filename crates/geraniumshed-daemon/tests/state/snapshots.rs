//! Snapshots of the records in force, which replace entries that the log's retention drops.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::member::{OwnerMap, OwnershipPlan, OwnershipTiming};
use geraniumshed_core::schedule::ShardMap;
use geraniumshed_core::state::{ConfigState, split_snapshot};
use geraniumshed_daemon::clock::ProcessClock;
use geraniumshed_daemon::log::{LogContext, LogSettings};
use geraniumshed_daemon::state::{ConfigFeed, ConfigSnapshots, SnapshotSettings};
use geraniumshed_model::prelude::*;
use geraniumshed_wire::log::{decode_config_snapshot, encode_config_snapshot};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::fake_log::FakeLog;

fn open_feed(log: &FakeLog, incarnation: u64) -> ConfigFeed {
    let clock = ProcessClock::start();
    let incarnation = DaemonIncarnation(incarnation);
    let context = LogContext::open(log.clone(), incarnation, LogSettings::default(), clock);
    ConfigFeed::spawn(&context, clock)
}

/// Returns the ownership view of a daemon that owns the only shard.
fn owner_view() -> watch::Receiver<Arc<OwnerMap>> {
    let identity = PeerIdentity {
        daemon: "d-1".parse().unwrap(),
        incarnation: DaemonIncarnation(1),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    let map = ShardMap::new(1, vec!["r".parse().unwrap()]);
    let claim = ClaimEvent::Claim {
        shard: ShardId(0),
        daemon: identity.daemon.clone(),
        incarnation: identity.incarnation,
    };
    let mut plan = OwnershipPlan::new(identity, map, OwnershipTiming::default());
    plan.apply(LogOffset(0), &claim);
    let (sender, view) = watch::channel(Arc::new(plan.owner_map(&[])));
    // The view keeps its last value after the sender is dropped.
    drop(sender);
    view
}

fn key(number: u64) -> RecordKey {
    RecordKey {
        kind: RecordKind::Job,
        name: format!("regrade-{number}").parse().unwrap(),
    }
}

fn body() -> RecordBody {
    RecordBody::Known(RecordSpec::Job(JobSpec {
        team: "patterns".parse().unwrap(),
        tasks: 5,
        size: ResourceSize::default(),
        group: "regrade".parse().unwrap(),
        command: "regrade --gown 17 --size 42".into(),
        urgency: UrgencyClass::Normal,
        idempotent: false,
        failure_limit: 1,
    }))
}

async fn publish(feed: &ConfigFeed, number: u64) -> RecordGeneration {
    let publisher = feed.publisher();
    let replaces = feed.view().borrow().generation(&key(number));
    publisher
        .publish(key(number), SchemaVersion::V2, replaces, body())
        .await
        .unwrap()
}

async fn wait_caught_up(feed: &ConfigFeed) {
    let mut caught_up = feed.caught_up();
    let limit = Duration::from_mins(5);
    timeout(limit, caught_up.wait_for(|caught_up| *caught_up))
        .await
        .expect("the feed did not catch up in time")
        .unwrap();
}

fn large_state(records: u64) -> ConfigState {
    let mut state = ConfigState::default();
    for number in 0..records {
        let event = ConfigEvent::Publish {
            key: key(number),
            schema: SchemaVersion::V2,
            replaces: RecordGeneration(0),
            body: body(),
        };
        state.apply(LogOffset(number), &event);
    }
    state
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_restores_entries_that_the_log_has_dropped() {
    let log = FakeLog::default();
    let feed = open_feed(&log, 1);
    for number in 0..40 {
        publish(&feed, number).await;
    }
    let settings = SnapshotSettings {
        part_bytes: 100,
        ..SnapshotSettings::default()
    };
    let _snapshots = ConfigSnapshots::spawn(&feed, owner_view(), settings);
    sleep(Duration::from_secs(1)).await;
    for number in 40..60 {
        publish(&feed, number).await;
    }
    sleep(Duration::from_secs(30)).await;
    let first_part = 40;
    log.expire(LogStream::Config, log.len(LogStream::Config) - first_part);

    let late = open_feed(&log, 2);
    wait_caught_up(&late).await;
    assert_eq!(**late.view().borrow(), **feed.view().borrow());
    assert_eq!(publish(&late, 3).await, RecordGeneration(2));
}

#[tokio::test(start_paused = true)]
async fn without_a_snapshot_the_owner_continues_and_other_daemons_follow() {
    let log = FakeLog::default();
    let feed = open_feed(&log, 1);
    for number in 0..10 {
        publish(&feed, number).await;
    }
    drop(feed);
    log.expire(LogStream::Config, 2);
    let feeds = [open_feed(&log, 2), open_feed(&log, 3)];
    sleep(Duration::from_secs(10)).await;
    assert!(!*feeds[0].caught_up().borrow());
    let settings = SnapshotSettings::default();
    let _snapshots = ConfigSnapshots::spawn(&feeds[0], owner_view(), settings);
    for feed in &feeds {
        wait_caught_up(feed).await;
    }
    assert_eq!(feeds[1].view().borrow().records(RecordKind::Job).count(), 2);
    let generation = publish(&feeds[1], 100).await;
    assert!(generation > RecordGeneration(8), "{generation}");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(**feeds[0].view().borrow(), **feeds[1].view().borrow());
}

/// Publishes records while a snapshot is written; returns the longest time of a publication and the
/// time of the snapshot.
///
/// If `aligned`, publications wait until the whole snapshot has been written.
async fn longest_publication(aligned: bool) -> (Duration, Duration) {
    let log = FakeLog::default();
    log.set_latency(Duration::from_millis(20));
    let feed = open_feed(&log, 1);
    wait_caught_up(&feed).await;
    let bytes = encode_config_snapshot(large_state(10_000).to_snapshot()).unwrap();
    let parts = split_snapshot(0, &bytes, SnapshotSettings::default().part_bytes);
    let gate = Arc::new(tokio::sync::Mutex::new(()));
    let (held_gate, publisher) = (Arc::clone(&gate), feed.publisher());
    let begin = Instant::now();
    let writing = tokio::spawn(async move {
        let _held = if aligned {
            Some(held_gate.lock().await)
        } else {
            None
        };
        for part in parts {
            let event = ConfigEvent::Snapshot(part);
            publisher.append(vec![event]).await.unwrap();
        }
    });
    let mut longest = Duration::ZERO;
    let mut number = 0;
    sleep(Duration::from_millis(1)).await;
    while !writing.is_finished() {
        let begin = Instant::now();
        drop(gate.lock().await);
        publish(&feed, number).await;
        longest = longest.max(begin.elapsed());
        number += 1;
    }
    (longest, begin.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_does_not_delay_publications() {
    let (interleaved, whole) = longest_publication(false).await;
    println!("interleaved: longest publication {interleaved:?}, snapshot {whole:?}");
    let (aligned, whole) = longest_publication(true).await;
    println!("aligned: longest publication {aligned:?}, snapshot {whole:?}");
    assert!(interleaved < Duration::from_secs(1), "{interleaved:?}");
    assert!(interleaved < aligned);
}

#[test]
fn a_snapshot_round_trips_through_its_encoding() {
    let mut state = large_state(100);
    for (number, offset) in (0..50).zip(1_000..) {
        let progress = ConfigEvent::Progress {
            shard: ShardId(1),
            job: key(number),
            generation: RecordGeneration(1),
            completed: u32::try_from(number).unwrap() % 6,
            failed: 0,
        };
        state.apply(LogOffset(offset), &progress);
    }
    let held = ConfigEvent::Publish {
        key: key(60),
        schema: SchemaVersion(9),
        replaces: RecordGeneration(1),
        body: RecordBody::Held("schema: 9".into()),
    };
    state.apply(LogOffset(2_000), &held);
    let bytes = encode_config_snapshot(state.to_snapshot()).unwrap();
    let restored = ConfigState::from_snapshot(decode_config_snapshot(&bytes).unwrap());
    assert_eq!(restored, state);
}

#[test]
fn decoding_damaged_snapshots_never_panics() {
    let bytes = encode_config_snapshot(large_state(20).to_snapshot()).unwrap();
    let config = Config {
        cases: 5_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let damage = (
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<prop::sample::Index>(),
    );
    TestRunner::new_with_rng(config, rng)
        .run(&damage, |(at, byte, end)| {
            let mut bytes = bytes.clone();
            let at = at.index(bytes.len());
            bytes[at] = byte;
            drop(decode_config_snapshot(&bytes));
            bytes.truncate(end.index(bytes.len()));
            drop(decode_config_snapshot(&bytes));
            Ok(())
        })
        .unwrap();
}

/// Prints the time of a change, a snapshot and its recovery with 10,000 records; run with
/// `--release --ignored --nocapture`.
#[test]
#[ignore = "measures"]
fn measure_copies_and_recovery() {
    let mut state = large_state(10_000);
    let time = |what: &str, rounds: u32, work: &mut dyn FnMut()| {
        let begin = std::time::Instant::now();
        for _ in 0..rounds {
            work();
        }
        println!("{what}: {:?}", begin.elapsed() / rounds);
    };
    let event = ConfigEvent::Publish {
        key: key(1),
        schema: SchemaVersion::V2,
        replaces: RecordGeneration(0),
        body: body(),
    };
    time("copy and one change", 100, &mut || {
        let copy = state.clone();
        state.apply(LogOffset(20_000), &event);
        let mut changed = state.clone();
        changed.apply(
            LogOffset(20_001),
            &ConfigEvent::Withdraw {
                key: key(5),
                replaces: RecordGeneration(1),
            },
        );
        drop(copy);
    });
    let bytes = encode_config_snapshot(state.to_snapshot()).unwrap();
    println!("snapshot of 10,000 jobs: {} bytes", bytes.len());
    time("take and encode", 20, &mut || {
        encode_config_snapshot(state.to_snapshot()).unwrap();
    });
    time("decode and restore", 20, &mut || {
        ConfigState::from_snapshot(decode_config_snapshot(&bytes).unwrap());
    });
}
