//! The feed and the publisher of records, under faults of the log.

use std::sync::Arc;
use std::time::Duration;

use crate::fake_log::{AppendFault, FakeLog};
use geraniumshed_daemon::clock::ProcessClock;
use geraniumshed_daemon::log::{LogContext, LogSettings};
use geraniumshed_daemon::state::ConfigFeed;
use geraniumshed_model::prelude::*;
use rstest::rstest;

fn open_feed(log: &FakeLog, incarnation: u64) -> ConfigFeed {
    let clock = ProcessClock::start();
    let context = LogContext::open(
        log.clone(),
        DaemonIncarnation(incarnation),
        LogSettings::default(),
        clock,
    );
    ConfigFeed::spawn(&context, clock)
}

fn team() -> RecordKey {
    RecordKey {
        kind: RecordKind::Team,
        name: "bookings".parse().unwrap(),
    }
}

fn body(weight: u32) -> RecordBody {
    RecordBody::Known(RecordSpec::Team(TeamSpec {
        quota: ResourceSize::default(),
        weight,
        rate: None,
    }))
}

async fn publish(feed: &ConfigFeed, replaces: u64, body: RecordBody) -> Result<u64, ErrorKind> {
    let schema = match &body {
        RecordBody::Known(_) => SchemaVersion::V2,
        RecordBody::Held(_) => SchemaVersion(3),
    };
    let replaces = RecordGeneration(replaces);
    let publisher = feed.publisher();
    match publisher.publish(team(), schema, replaces, body).await {
        Ok(generation) => Ok(generation.0),
        Err(problem) => Err(problem.kind),
    }
}

#[tokio::test(start_paused = true)]
async fn exactly_one_of_concurrent_publications_is_accepted() {
    let log = FakeLog::default();
    let feeds = [open_feed(&log, 1), open_feed(&log, 2)];
    let (first, second, third) = tokio::join!(
        publish(&feeds[0], 0, body(1)),
        publish(&feeds[0], 0, body(2)),
        publish(&feeds[1], 0, body(3)),
    );
    let results = [first, second, third];
    let accepted = results.iter().filter(|result| **result == Ok(1)).count();
    let conflicts = results
        .iter()
        .filter(|result| **result == Err(ErrorKind::GenerationConflict))
        .count();
    assert_eq!((accepted, conflicts), (1, 2), "{results:?}");
}

#[rstest]
#[case::answer_lost(&[AppendFault::AnswerLost], Ok(1))]
#[case::late(&[AppendFault::Late], Ok(1))]
#[case::unreachable(&[AppendFault::Unreachable], Ok(1))]
#[case::slow(&[AppendFault::Slow], Ok(1))]
#[tokio::test(start_paused = true)]
async fn publications_succeed_in_spite_of_append_faults(
    #[case] faults: &[AppendFault],
    #[case] expected: Result<u64, ErrorKind>,
) {
    let log = FakeLog::default();
    log.plan(faults.iter().copied());
    let feed = open_feed(&log, 1);
    assert_eq!(publish(&feed, 0, body(1)).await, expected);
    assert_eq!(publish(&feed, 1, body(2)).await, Ok(2));
    assert_eq!(
        publish(&feed, 1, body(3)).await,
        Err(ErrorKind::GenerationConflict)
    );
    let held = RecordBody::Held("schema: 3".into());
    assert_eq!(publish(&feed, 2, held).await, Err(ErrorKind::UnknownSchema));
    assert_eq!(publish(&feed, 3, body(4)).await, Ok(4));
}

#[tokio::test(start_paused = true)]
async fn publications_fail_during_an_outage_and_succeed_afterwards() {
    let log = FakeLog::default();
    let feed = open_feed(&log, 1);
    publish(&feed, 0, body(1)).await.unwrap();
    log.set_down(true);
    assert_eq!(
        publish(&feed, 1, body(2)).await,
        Err(ErrorKind::LogUnavailable)
    );
    log.set_down(false);
    assert_eq!(publish(&feed, 1, body(3)).await, Ok(2));
    let view = feed.view();
    assert_eq!(view.borrow().generation(&team()), RecordGeneration(2));
}

#[tokio::test(start_paused = true)]
async fn a_new_daemon_reports_caught_up_only_after_reading_all_entries() {
    let log = FakeLog::default();
    let feed = open_feed(&log, 1);
    for generation in 0..50 {
        publish(&feed, generation, body(1)).await.unwrap();
    }
    log.set_down(true);
    let late = open_feed(&log, 2);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(!*late.caught_up().borrow());
    log.set_down(false);
    late.caught_up()
        .wait_for(|caught_up| *caught_up)
        .await
        .unwrap();
    let config = Arc::clone(&late.view().borrow());
    assert_eq!(config.generation(&team()), RecordGeneration(50));
}
