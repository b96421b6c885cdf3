//! Tests of the serialized form of records and of configurations.

use std::time::Duration;

use geraniumshed_batch::topic::{crashes_key, job_key, parse_crashes_key, parse_job_key};
use geraniumshed_batch::wire::{
    ConfigUpdateWire, ForecastReplyWire, ForecastWire, InterferenceWire, JobCrashesWire,
    JobRequestWire, LeaseSnapshotWire, MemberWire, StoredJobWire, TrackSnapshotWire,
    WaitSnapshotWire, WireDecodeError, decode, encode,
};
use geraniumshed_core::assignment::{
    IdleRun, InterferenceSnapshot, LeaseSnapshot, QueueWait, ServedImageRecord, SlopeRecord,
    StepWait, TrackSnapshot, WaitForecast, WaitSnapshot, WorkerHold,
};
use geraniumshed_core::job::{
    AdvicePolicy, CrashEvidence, CrashHistory, JobEntry, JobId, JobPhase, JobRequest, QueuePolicy,
    RunSuspicion, StepRequest, StoredJob, StoredOccurrence, StoredTask, TaskCrashes, TaskKey,
    TaskStage,
};
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::site::{ConfigUpdate, ConfigVersion, RouteEntry, RouteKey};
use geraniumshed_core::worker::StoredTrack;
use geraniumshed_model::prelude::TimePoint;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Guards against forecasts that take more of a link than 2 KB a second, at four a second.
#[test]
fn forecasts_survive_the_way_and_are_small() {
    let wait = |number: u64| QueueWait {
        queue: format!("team-{number}").as_str().into(),
        in_time: Duration::from_millis(1_500 + number),
        late: Duration::from_millis(90_000 + number),
    };
    let forecast = WaitForecast {
        queues: (0..40).map(wait).collect(),
    };
    let record = encode(&ForecastWire::from(&forecast));
    assert!(record.len() <= 512, "{}", record.len());
    let decoded = decode::<ForecastWire>(&record).map(WaitForecast::from);
    assert_eq!(decoded.unwrap().queues, forecast.queues[..32]);
}

/// Guards against a forecast that counts as recent since its answer took long to arrive.
#[test]
fn age_of_a_forecast_counts_from_the_answer_of_the_leader() {
    let reply = ForecastReplyWire {
        held_ms: 700,
        age_ms: 200,
        ..ForecastReplyWire::default()
    };
    assert_eq!(reply.made_at(TimePoint(1_000_000)), TimePoint(1_500_000));
    let old = ForecastReplyWire {
        age_ms: 9_000,
        ..reply
    };
    assert_eq!(old.made_at(TimePoint(1_000_000)), TimePoint(0));
}

#[test]
fn waits_survive_storage() {
    let task = TaskKey {
        job: JobId(1),
        occurrence: 2,
        step: 3,
        index: 4,
    };
    let wait = StepWait {
        job: JobId(5),
        occurrence: 6,
        step: 7,
        since_unix_ms: 1_700_000_000_008,
    };
    let hold = WorkerHold {
        task,
        worker: "w".into(),
    };
    let idle = IdleRun {
        task,
        run: 9,
        percent: 10,
        idle_time: Duration::from_millis(11),
    };
    let snapshot = WaitSnapshot {
        steps: vec![wait],
        holds: vec![hold],
        idle_runs: vec![idle],
    };
    let stored = encode(&WaitSnapshotWire::from(snapshot.clone()));
    let read: WaitSnapshotWire = decode(&stored).unwrap();
    assert_eq!(WaitSnapshot::from(read), snapshot);
}

/// A record that lost a field would give a slow worker tasks after a takeover.
#[test]
fn track_records_are_read_as_stored() {
    let stored = StoredTrack {
        is_slow: true,
        speed_percent: 12,
        incident_percent: 150,
    };
    let snapshot = TrackSnapshot {
        tracks: vec![("w".into(), stored)],
    };
    let bytes = encode(&TrackSnapshotWire::from(snapshot.clone()));
    let read: TrackSnapshotWire = decode(&bytes).unwrap();
    assert_eq!(TrackSnapshot::from(read), snapshot);
}

#[rstest]
#[case(CrashEvidence::None)]
#[case(CrashEvidence::Shared)]
#[case(CrashEvidence::Possible)]
#[case(CrashEvidence::Likely)]
#[case(CrashEvidence::AtStart)]
fn crashes_survive_storage(#[case] evidence: CrashEvidence) {
    let job = JobId(1);
    let task = TaskKey {
        job,
        occurrence: 2,
        step: 3,
        index: 4,
    };
    let crashes = vec![
        TaskCrashes {
            task,
            history: CrashHistory { total: 5, score: 6 },
            suspicion: Some(RunSuspicion { run: 7, evidence }),
        },
        TaskCrashes {
            task: TaskKey { index: 8, ..task },
            history: CrashHistory::default(),
            suspicion: None,
        },
    ];
    let stored = encode(&JobCrashesWire::from(crashes.clone()));
    let read: JobCrashesWire = decode(&stored).unwrap();
    assert_eq!(read.into_crashes(job), crashes);
}

/// Earlier releases read the progress of jobs, and skip records whose keys aren't job IDs.
#[test]
fn crashes_leave_the_progress_of_jobs_readable_for_earlier_releases() {
    let id = JobId(0x0123_4567_89ab_cdef);
    let key = crashes_key(id);
    assert_eq!(parse_job_key(&key), None);
    assert_eq!(parse_crashes_key(&key), Some(id));
    assert_eq!(parse_crashes_key(&job_key(id)), None);
    let stored = StoredJob {
        phase: JobPhase::Running,
        ended_unix_ms: 0,
        ended_occurrences: 0,
        occurrences: vec![StoredOccurrence {
            number: 0,
            tasks: vec![StoredTask {
                stage: TaskStage::Placed("w".into()),
                run: 3,
                failures: 1,
                checkpoint: None,
            }],
        }],
    };
    // As the release before the record of crashes has written it.
    let earlier: &[u8] = &[1, 1, 0, 0, 1, 0, 1, 1, 1, b'w', 3, 1, 0];
    assert_eq!(encode(&StoredJobWire::from(stored)), earlier);
}

fn update(base: u64, version: u64) -> ConfigUpdate {
    let policy = QueuePolicy {
        service: "s".into(),
        priority: 2,
        attempt_limit: 4,
        stretch: 1.5,
        latency_objective: Duration::from_micros(250_500),
        advice: Some(AdvicePolicy {
            decision_time: Duration::from_millis(40),
            worker_time: Duration::from_micros(2_500),
        }),
    };
    let entry = RouteEntry {
        queue: "q".into(),
        policy,
    };
    ConfigUpdate {
        base: Some(ConfigVersion(base)),
        version: ConfigVersion(version),
        body_limit: 262_144,
        removed: vec![RouteKey::new("h.example", "/b/".into())],
        changed: vec![(RouteKey::new("h.example", "/a/".into()), entry)],
    }
}

#[test]
fn changes_of_a_configuration_survive_the_wire() {
    let update = update(7, 9);
    let sent = encode(&ConfigUpdateWire::from(update.clone()));
    let received: ConfigUpdateWire = decode(&sent).unwrap();
    assert_eq!(ConfigUpdate::try_from(received), Ok(update));
}

#[test]
fn changes_that_lead_to_no_later_version_are_rejected() {
    let wire = ConfigUpdateWire::from(update(9, 9));
    let result = ConfigUpdate::try_from(wire);
    assert!(matches!(result, Err(WireDecodeError::Invalid(_))));
}

/// Guards against a node that fails on what another one sends.
#[test]
fn damaged_changes_of_a_configuration_do_not_panic() {
    let sent = encode(&ConfigUpdateWire::from(update(7, 9)));
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut damaged = sent.to_vec();
        for _ in 0..random.random_range(1..4) {
            let position = random.random_range(0..damaged.len());
            damaged[position] = random.random();
        }
        damaged.truncate(random.random_range(0..=damaged.len()));
        if let Ok(wire) = decode::<ConfigUpdateWire>(&damaged) {
            drop(ConfigUpdate::try_from(wire));
        }
    }
}

/// Decodes bytes as each kind of record, and converts what can be decoded.
fn decode_as_all(bytes: &[u8]) {
    if let Ok(wire) = decode::<JobRequestWire>(bytes)
        && let Ok(request) = JobRequest::try_from(wire)
    {
        JobEntry::new(JobId(1), request).begin_due(0);
    }
    drop(decode::<StoredJobWire>(bytes).map(StoredJob::from));
    drop(decode::<JobCrashesWire>(bytes).map(|wire| wire.into_crashes(JobId(1))));
    drop(decode::<WaitSnapshotWire>(bytes).map(WaitSnapshot::from));
    drop(decode::<TrackSnapshotWire>(bytes).map(TrackSnapshot::from));
    drop(decode::<InterferenceWire>(bytes).map(InterferenceSnapshot::from));
    drop(decode::<LeaseSnapshotWire>(bytes).map(LeaseSnapshot::from));
    drop(decode::<MemberWire>(bytes).map(MemberIdentity::from));
    if let Ok(wire) = decode::<ConfigUpdateWire>(bytes) {
        drop(ConfigUpdate::try_from(wire));
    }
}

/// Guards against a record of another writer that ends each leader that reads it.
#[test]
fn random_records_do_not_panic() {
    let mut random = SmallRng::seed_from_u64(2);
    for _ in 0..20_000 {
        let length = random.random_range(0..64);
        let mut bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        if let Some(version) = bytes.first_mut() {
            *version = 1;
        }
        decode_as_all(&bytes);
    }
}

/// A length that is larger than the record is rejected, without memory for as many elements.
#[rstest]
#[case::largest_length(&[1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01])]
#[case::large_length(&[1, 0xff, 0xff, 0xff, 0xff, 0x0f])]
#[case::lengths(&[1, 0x7f, 0x7f, 0x7f, 0x7f, 0x7f, 0x7f, 0x7f, 0x7f, 0x7f, 0x7f])]
#[case::empty(&[])]
#[case::other_version(&[9, 0, 0])]
fn records_with_odd_lengths_do_not_panic(#[case] bytes: &[u8]) {
    decode_as_all(bytes);
    decode_as_all(&[&[1, 0, 0, 0, 0], bytes].concat());
}

fn request(steps: Vec<StepRequest>) -> JobRequest {
    JobRequest {
        queue: "q".into(),
        payload: "p".into(),
        steps,
        repeat: None,
        submitted_unix_ms: 5,
    }
}

/// Guards against a stored job whose tasks use up the memory of each leader that reads it.
#[rstest]
#[case::most(&[20_000], true)]
#[case::one_more(&[20_001], false)]
#[case::largest(&[u32::MAX], false)]
#[case::sum(&[15_000, 15_000], false)]
#[case::sum_beyond_type(&[u32::MAX, u32::MAX], false)]
fn stored_jobs_have_a_bounded_number_of_tasks(#[case] counts: &[u32], #[case] is_valid: bool) {
    let step = |count: &u32| StepRequest {
        task_count: *count,
        ..StepRequest::default()
    };
    let stored = encode(&JobRequestWire::from(&request(
        counts.iter().map(step).collect(),
    )));
    let wire: JobRequestWire = decode(&stored).unwrap();
    assert_eq!(JobRequest::try_from(wire).is_ok(), is_valid);
}

/// What isn't finite can't have been learned, and would spoil all that is learned later.
#[rstest]
#[case::tail(ServedImageRecord { lowest_tail: f64::NAN, ..served("odd") })]
#[case::infinite_tail(ServedImageRecord { lowest_tail: f64::INFINITY, ..served("odd") })]
#[case::negative_tail(ServedImageRecord { lowest_tail: -1.0, ..served("odd") })]
#[case::peak(ServedImageRecord { peak: f64::NAN, ..served("odd") })]
#[case::infinite_peak(ServedImageRecord { peak: f64::INFINITY, ..served("odd") })]
fn learned_interference_that_is_not_finite_is_left_out(#[case] odd: ServedImageRecord) {
    let snapshot = InterferenceSnapshot {
        served: vec![odd, served("good")],
    };
    let stored = encode(&InterferenceWire::from(snapshot));
    let read: InterferenceWire = decode(&stored).unwrap();
    let read = InterferenceSnapshot::from(read);
    assert_eq!(read.served, [served("good")]);
}

#[rstest]
#[case::slope(f64::NAN, 1.0)]
#[case::slope_beyond_type(1e300, 1.0)]
#[case::weight(1.0, f64::INFINITY)]
#[case::negative_weight(1.0, -1.0)]
fn learned_slopes_that_are_not_finite_are_left_out(#[case] slope: f64, #[case] weight: f64) {
    let mut odd = served("odd");
    odd.slopes.push(SlopeRecord {
        image: "bad".into(),
        slope,
        weight,
    });
    let snapshot = InterferenceSnapshot { served: vec![odd] };
    let stored = encode(&InterferenceWire::from(snapshot));
    let read: InterferenceWire = decode(&stored).unwrap();
    let read = InterferenceSnapshot::from(read);
    assert_eq!(read.served, [served("odd")]);
}

fn served(image: &str) -> ServedImageRecord {
    let slope = SlopeRecord {
        image: "b".into(),
        slope: 0.5,
        weight: 2.0,
    };
    ServedImageRecord {
        image: image.into(),
        lowest_tail: 10.0,
        peak: 2.0,
        slopes: vec![slope],
    }
}
