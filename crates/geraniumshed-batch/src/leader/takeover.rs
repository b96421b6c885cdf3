//! Claims leadership and recovers the state of earlier leaders from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_core::assignment::{
    InterferenceSnapshot, LeaseSnapshot, TrackSnapshot, WaitSnapshot,
};
use geraniumshed_core::job::{JobId, JobRequest, QueueName, QueuePolicy, StoredJob, TaskCrashes};
use geraniumshed_core::leadership::{LeaderRecord, LeaderTerm, MemberIdentity};
use geraniumshed_model::prelude::{LogOffset, TimePoint, whole_millis};
use tokio::time::Instant;

use crate::clock::{NodeClock, ReadMark};
use crate::node::LeadRequest;
use crate::store::{
    AppendCondition, KeyedRecord, StoreClient, StoreError, WriterMark, read_missing, read_newest,
    read_newest_up_to,
};
use crate::topic::{
    INTERFERENCE_KEY, LEADER_KEY, LEADERS, LEASES_KEY, PROGRESS, REQUESTS, TAKEOVER_KEY,
    TRACKS_KEY, WAITS_KEY, job_key, parse_crashes_key, parse_job_key, parse_queue_key,
};
use crate::wire::{
    InterferenceWire, JobCrashesWire, JobRequestWire, LeaseSnapshotWire, MemberWire,
    QueuePolicyWire, StoredJobWire, TrackSnapshotWire, WaitSnapshotWire, decode, encode,
};

/// The timeout for an append during the takeover.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// The producer name that all leaders share, so that the store fences earlier ones.
pub(super) const PRODUCER: &str = "planner";

/// Claims to lead, unless another claim was appended at or after the given offset.
///
/// # Errors
///
/// Returns why the claim failed, or [`StoreError::Unanswered`] if it may be stored.
pub(crate) async fn claim<S: StoreClient>(
    store: &S,
    own: &MemberIdentity,
    end: LogOffset,
) -> Result<LeaderRecord, StoreError> {
    let record = KeyedRecord {
        key: LEADER_KEY,
        value: encode(&MemberWire::from(own.clone())),
    };
    let condition = AppendCondition::EndsAt(end);
    let after = store
        .append(LEADERS, vec![record], condition, APPEND_TIMEOUT)
        .await?;
    Ok(LeaderRecord {
        term: LeaderTerm(after.0),
        member: own.clone(),
    })
}

/// The state that a new leader recovers.
#[derive(Debug)]
pub(crate) struct RecoveredState {
    /// All jobs, with their progress if any is stored.
    pub(crate) jobs: Vec<(JobId, JobRequest, Option<StoredJob>)>,
    /// The ended jobs without a request: those that were cancelled before it was stored, and those whose
    /// request is deleted already or is not shown yet.
    pub(crate) ended_without_request: Vec<(JobId, StoredJob)>,
    /// The jobs with an active cancellation on any node.
    pub(crate) cancelled: BTreeSet<JobId>,
    /// The interference between images that earlier leaders learned.
    pub(crate) interference: InterferenceSnapshot,
    /// A time before this leader fenced the earlier ones.
    pub(crate) led_at: TimePoint,
    /// A time after the leader before took the snapshot of leases.
    pub(crate) leases_counted_from: TimePoint,
    /// What the leader before stored about leases.
    pub(crate) leases: Option<LeaseSnapshot>,
    /// The waits of long-running tasks and the runs without progress.
    pub(crate) waits: WaitSnapshot,
    /// The bad track records of workers.
    pub(crate) tracks: TrackSnapshot,
    /// The crashes under the tasks of each job.
    pub(crate) crashes: Vec<(JobId, Vec<TaskCrashes>)>,
    /// The policies of the queues that had open jobs.
    pub(crate) queues: BTreeMap<QueueName, QueuePolicy>,
    /// The offset from which to read further requests.
    pub(crate) next_request: LogOffset,
    /// A moment before the requests were read.
    pub(crate) requests_read: ReadMark,
}

/// Fences earlier leaders, so that they can no longer write, and reads the state that they stored.
///
/// What was stored about leases is counted from the request of the leader before to become the
/// leader, which it sends after its last snapshot, or else from the fence.
///
/// # Errors
///
/// Returns why the store could not be used.
pub(crate) async fn take_over<S: StoreClient>(
    store: &S,
    clock: NodeClock,
    term: LeaderTerm,
    request: Option<LeadRequest>,
) -> Result<RecoveredState, StoreError> {
    let mark = WriterMark {
        producer: PRODUCER,
        epoch: term.0,
        sequence: 0,
    };
    let started = Instant::now();
    let led_at = clock.now();
    let record = KeyedRecord {
        key: TAKEOVER_KEY,
        value: encode(&term.0),
    };
    let condition = AppendCondition::Writer(mark);
    let progress_end = store
        .append(PROGRESS, vec![record], condition, APPEND_TIMEOUT)
        .await?;
    let requested_at = request.filter(|one| one.term.precedes(term));
    let leases_counted_from = requested_at.map_or_else(|| clock.now(), |one| one.at);
    let fenced_ms = whole_millis(started.elapsed());
    let requests_read = ReadMark::now();
    let ((progress, next_progress), (requests, next_request)) = tokio::try_join!(
        read_newest_up_to(store, PROGRESS, progress_end),
        read_newest(store, REQUESTS)
    )?;
    // Earlier leaders can no longer store progress. The request of each job with progress was stored
    // before that, unless the job was cancelled first.
    let mut stored_jobs: BTreeMap<JobId, StoredJob> =
        progress.iter().filter_map(decode_stored_job).collect();
    let started_jobs = stored_jobs.iter().filter(|(_, job)| !job.phase.is_final());
    let started_keys = started_jobs.map(|(id, _)| job_key(*id)).collect();
    let (requests, next_request) =
        read_missing(store, REQUESTS, requests, next_request, started_keys).await?;
    let read_ms = whole_millis(started.elapsed());
    log::info!(
        term:% = term,
        fenced_ms,
        read_ms,
        images = progress.len(),
        requests = requests.len(),
        progress_end:% = next_progress,
        requests_end:% = next_request;
        "read the state of earlier leaders"
    );
    let find = |key: &str| progress.iter().find(|record| record.key == key);
    let interference = find(&INTERFERENCE_KEY).map(decode_interference);
    let leases = find(&LEASES_KEY).and_then(|record| decode_leases(record, term));
    log_leases(
        term,
        clock.now().since(leases_counted_from),
        leases.as_ref(),
    );
    let waits = find(&WAITS_KEY).map(decode_waits);
    let tracks = find(&TRACKS_KEY).map(decode_tracks);
    let crashes = progress.iter().filter_map(decode_crashes).collect();
    let queues = progress.iter().filter_map(decode_queue).collect();
    let jobs = requests
        .iter()
        .filter_map(decode_request)
        .map(|(id, request)| {
            let stored = stored_jobs.remove(&id);
            (id, request, stored)
        })
        .collect();
    let mut ended_without_request = Vec::new();
    for (id, stored) in stored_jobs {
        if stored.phase.is_final() {
            ended_without_request.push((id, stored));
        } else {
            log::error!(job:% = id; "store has the progress of a job without its request");
        }
    }
    Ok(RecoveredState {
        jobs,
        ended_without_request,
        cancelled: BTreeSet::new(),
        interference: interference.unwrap_or_default(),
        led_at,
        leases_counted_from,
        leases,
        waits: waits.unwrap_or_default(),
        tracks: tracks.unwrap_or_default(),
        crashes,
        queues,
        next_request,
        requests_read,
    })
}

/// Logs what a leader inherits about leases: a line for all, and one for each silent worker.
fn log_leases(term: LeaderTerm, counted: Duration, leases: Option<&LeaseSnapshot>) {
    let counted_ms = whole_millis(counted);
    let Some(leases) = leases else {
        log::info!(term:% = term, counted_ms; "no leases are stored by the leader before");
        return;
    };
    log::info!(
        term:% = term,
        counted_ms,
        requested_ms = whole_millis(leases.requested),
        inherited_ms = whole_millis(leases.inherited),
        silent = leases.silent.len(),
        long = leases.long.len(),
        unconfirmed = leases.unconfirmed.len();
        "inherited the leases of the leader before"
    );
    for lease in &leases.silent {
        log::info!(worker:% = lease.worker, remaining_ms = whole_millis(lease.remaining); "inherited the lease of a silent worker");
    }
}

/// Decodes a stored request. One that can't be decoded is logged and skipped.
pub(super) fn decode_request(record: &KeyedRecord) -> Option<(JobId, JobRequest)> {
    let id = parse_job_key(&record.key)?;
    let decoded = decode::<JobRequestWire>(&record.value).and_then(JobRequest::try_from);
    match decoded {
        Ok(request) => Some((id, request)),
        Err(error) => {
            log::error!(job:% = id, error:% = error; "could not decode a stored request");
            None
        }
    }
}

/// Decodes the learned interference. If it can't be decoded, the planner learns it again.
fn decode_interference(record: &KeyedRecord) -> InterferenceSnapshot {
    let decoded = decode::<InterferenceWire>(&record.value);
    decoded.map_or_else(
        |error| {
            log::error!(error:% = error; "could not decode the learned interference");
            InterferenceSnapshot::default()
        },
        InterferenceSnapshot::from,
    )
}

/// Decodes what is stored about leases, for the leader of a term.
///
/// It holds only if the leader right before wrote it, since a leader in between may have extended
/// leases. Without it, the planner assumes the longest lease.
fn decode_leases(record: &KeyedRecord, term: LeaderTerm) -> Option<LeaseSnapshot> {
    let wire = decode::<LeaseSnapshotWire>(&record.value)
        .inspect_err(|error| log::error!(error:% = error; "could not decode the stored leases"))
        .ok()?;
    if !wire.term().precedes(term) {
        log::info!(written_in:% = wire.term(), term:% = term; "stored leases are not of the leader before; assuming the longest lease");
        return None;
    }
    Some(wire.into())
}

/// Decodes the waits of long-running tasks and the runs without progress. If they can't be decoded,
/// they are counted anew.
///
/// They are hints that only decide when a worker is held, or that count only for an unchanged run, so
/// those of any earlier term may be used.
fn decode_waits(record: &KeyedRecord) -> WaitSnapshot {
    let decoded = decode::<WaitSnapshotWire>(&record.value);
    decoded.map_or_else(
        |error| {
            log::error!(error:% = error; "could not decode the waits of long-running tasks");
            WaitSnapshot::default()
        },
        WaitSnapshot::from,
    )
}

/// Decodes the bad track records of workers. If they can't be decoded, the planner learns them again.
fn decode_tracks(record: &KeyedRecord) -> TrackSnapshot {
    let decoded = decode::<TrackSnapshotWire>(&record.value);
    decoded.map_or_else(
        |error| {
            log::error!(error:% = error; "could not decode the track records of workers");
            TrackSnapshot::default()
        },
        TrackSnapshot::from,
    )
}

/// Decodes the crashes under a job's tasks. If they can't be decoded, they are counted anew.
fn decode_crashes(record: &KeyedRecord) -> Option<(JobId, Vec<TaskCrashes>)> {
    let id = parse_crashes_key(&record.key)?;
    match decode::<JobCrashesWire>(&record.value) {
        Ok(wire) => Some((id, wire.into_crashes(id))),
        Err(error) => {
            log::error!(job:% = id, error:% = error; "could not decode the crashes under a job's tasks");
            None
        }
    }
}

/// Decodes the policy of a queue. If it can't be decoded, its jobs wait until a configuration names the
/// queue.
fn decode_queue(record: &KeyedRecord) -> Option<(QueueName, QueuePolicy)> {
    let queue = parse_queue_key(&record.key)?;
    match decode::<QueuePolicyWire>(&record.value) {
        Ok(wire) => Some((queue, wire.into())),
        Err(error) => {
            log::error!(queue:% = queue, error:% = error; "could not decode the stored policy of a queue");
            None
        }
    }
}

/// Decodes the stored progress of a job. Progress that can't be decoded is logged and skipped.
fn decode_stored_job(record: &KeyedRecord) -> Option<(JobId, StoredJob)> {
    let id = parse_job_key(&record.key)?;
    match decode::<StoredJobWire>(&record.value) {
        Ok(stored) => Some((id, stored.into())),
        Err(error) => {
            log::error!(job:% = id, error:% = error; "could not decode stored progress");
            None
        }
    }
}
