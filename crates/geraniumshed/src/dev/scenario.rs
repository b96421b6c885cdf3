//! A scenario that exercises all kinds of work once and then checks the promises.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{RecordBody, RecordKind, RecordName, RecordSpec};
use geraniumshed_standin::history::{
    CallerRecord, CheckLimits, PlacementEnd, PlacementRecord, PromiseReport, check_promises,
};
use geraniumshed_wire::record::{RecordDraft, read_records};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::task::JoinHandle;

use super::caller::{CallerPlan, CallerPool, KeyKind};
use super::cluster::{DevCluster, DevError};
use super::config_check::ConfigCheck;
use super::profile::DevProfile;

/// The Cámara's records.
const CAMARA_RECORDS: &str = include_str!("../../../../examples/camara.yaml");

/// Yıldız's records.
const YILDIZ_RECORDS: &str = include_str!("../../../../examples/yildiz.yaml");

/// Groups of callers with keys send one request for this many of a group without keys.
const KEYED_DIVISOR: u32 = 4;

/// Publishes the examples, sends requests, drains a worker, restarts a daemon, waits for the jobs,
/// and checks the promises against the stand-ins' ledger.
///
/// # Errors
///
/// Returns an error if a step fails or takes too long; breached promises are in the report.
pub async fn run_once(
    cluster: &mut DevCluster,
    profile: DevProfile,
) -> Result<PromiseReport, DevError> {
    let mut check = ConfigCheck::default();
    let drafts = example_drafts()?;
    publish_all(cluster, &mut check, profile, &drafts).await?;
    wait_ready(cluster).await?;

    let callers = send_requests(cluster, profile)?;
    let drained = drain_busy_worker(cluster, &mut check).await?;
    cluster.restart_daemon(0).await?;
    let callers = join_callers(callers).await;

    wait_jobs(cluster, &drafts).await?;
    withdraw_drain(cluster, &drained).await?;
    let limits = CheckLimits {
        settled: true,
        ..CheckLimits::default()
    };
    let mut report = check_promises(&cluster.set.recorder().snapshot(), &callers, limits);
    report.rows.push(check.finish(cluster).await);
    Ok(report)
}

/// Reads the records of both examples.
fn example_drafts() -> Result<Vec<RecordDraft>, DevError> {
    let mut drafts = Vec::new();
    for text in [CAMARA_RECORDS, YILDIZ_RECORDS] {
        let read = read_records(text);
        drafts.extend(read.map_err(|problems| DevError::Settings(problems.to_string()))?);
    }
    Ok(drafts)
}

/// Publishes all records and waits until each is in force everywhere.
async fn publish_all(
    cluster: &DevCluster,
    check: &mut ConfigCheck,
    profile: DevProfile,
    drafts: &[RecordDraft],
) -> Result<(), DevError> {
    for draft in drafts {
        let text = scale_replicas(&draft.text, profile);
        publish(cluster, check, &text).await?;
    }
    Ok(())
}

/// Publishes the text of one record.
async fn publish(
    cluster: &DevCluster,
    check: &mut ConfigCheck,
    text: &str,
) -> Result<(), DevError> {
    let reply = cluster.daemons[0].client.publish(text).await?;
    let key = format_smolstr!("{}/{}", reply.kind, reply.name);
    check.await_in_force(cluster, key, reply.generation).await;
    Ok(())
}

/// Replaces the replica counts of the examples by that of the profile.
fn scale_replicas(text: &str, profile: DevProfile) -> String {
    match profile.replicas() {
        Some(replicas) => text.replace("replicas: 3", &format!("replicas: {replicas}")),
        None => text.to_owned(),
    }
}

/// Waits until, at every daemon, all replicas of all services are ready.
async fn wait_ready(cluster: &DevCluster) -> Result<(), DevError> {
    let ready = || async {
        for daemon in &cluster.daemons {
            let Ok(status) = daemon.client.status().await else {
                return false;
            };
            let is_ready = |replicas: u32, ready: u32| replicas > 0 && ready >= replicas;
            if !status
                .services
                .iter()
                .all(|service| is_ready(service.replicas, service.ready))
            {
                return false;
            }
        }
        true
    };
    cluster.wait_for("the start of all replicas", ready).await
}

/// Starts callers that send bookings and quotes.
fn send_requests(
    cluster: &DevCluster,
    profile: DevProfile,
) -> Result<Vec<JoinHandle<Vec<CallerRecord>>>, DevError> {
    let pool = CallerPool::open(cluster.entry_addresses()).map_err(DevError::Caller)?;
    let pool = Arc::new(pool);
    let plan = |service: &str, label, key, divisor: u32| CallerPlan {
        service: service.parse().expect("the examples' names are valid"),
        path: "/requests",
        key,
        deadline: None,
        count: profile.requests() / divisor,
        interval: profile.request_interval() * divisor,
        label,
    };
    // More requests at once than the slots can serve within the deadline, so that some are
    // refused without running.
    let burst = CallerPlan {
        deadline: Some("30ms"),
        interval: Duration::ZERO,
        ..plan("bookings", "hasty booking", KeyKind::NoKey, 1)
    };
    let plans = [
        burst,
        plan("bookings", "booking", KeyKind::NoKey, 1),
        plan(
            "bookings",
            "ticketed booking",
            KeyKind::Ticket,
            KEYED_DIVISOR,
        ),
        plan(
            "bookings",
            "keyed booking",
            KeyKind::CallerKey,
            KEYED_DIVISOR,
        ),
        plan("quotes", "quote", KeyKind::NoKey, 1),
    ];
    let start = |plan| tokio::spawn(Arc::clone(&pool).send_all(plan));
    Ok(plans.into_iter().map(start).collect())
}

/// Waits for all callers and returns their records.
async fn join_callers(callers: Vec<JoinHandle<Vec<CallerRecord>>>) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for group in callers {
        records.extend(group.await.unwrap_or_default());
    }
    records
}

/// Drains a worker that runs a batch task, so that the task is evicted and resumes on another.
async fn drain_busy_worker(
    cluster: &DevCluster,
    check: &mut ConfigCheck,
) -> Result<SmolStr, DevError> {
    let running = || busy_worker(cluster);
    cluster
        .wait_for("the start of a batch task", || async {
            running().is_some()
        })
        .await?;
    let worker = running().ok_or(DevError::TimedOut("the drain of a busy worker"))?;
    let text = format!("schema: 2\nkind: drain\nname: {worker}\nspec:\n  vm: {worker}\n");
    publish(cluster, check, &text).await?;
    let emptied = || async {
        let record = cluster.set.recorder().snapshot();
        !record
            .placements
            .iter()
            .any(|placement| runs_on(placement, &worker))
    };
    cluster.wait_for("the drain of a worker", emptied).await?;
    Ok(worker)
}

/// Returns a worker that runs a batch task, preferably one that also runs a replica.
fn busy_worker(cluster: &DevCluster) -> Option<SmolStr> {
    let record = cluster.set.recorder().snapshot();
    let running = |is_batch: bool| {
        let placements = record.placements.iter();
        placements.filter(move |placement| placement.end.is_none() && placement.batch == is_batch)
    };
    let serves = |vm: &SmolStr| running(false).any(|placement| placement.vm == *vm);
    let batch: Vec<_> = running(true)
        .map(|placement| placement.vm.clone())
        .collect();
    let both = batch.iter().find(|vm| serves(vm));
    both.or(batch.first()).cloned()
}

fn runs_on(placement: &PlacementRecord, worker: &str) -> bool {
    placement.end.is_none() && placement.vm == worker
}

/// Waits until the tasks of all jobs have completed.
async fn wait_jobs(cluster: &DevCluster, drafts: &[RecordDraft]) -> Result<(), DevError> {
    let expected: u32 = drafts.iter().map(job_tasks).sum();
    let completed = || async {
        let record = cluster.set.recorder().snapshot();
        let ended = record.placements.iter().filter(|placement| {
            placement.batch && placement.outcome == Some(PlacementEnd::Completed)
        });
        ended.count() >= expected as usize
    };
    cluster.wait_for("the end of all jobs", completed).await
}

/// Returns the number of tasks of a job record, or 0 for records of other kinds.
fn job_tasks(draft: &RecordDraft) -> u32 {
    match &draft.body {
        RecordBody::Known(RecordSpec::Job(spec)) => spec.tasks,
        _ => 0,
    }
}

/// Withdraws the drain, so that the worker takes tasks again.
async fn withdraw_drain(cluster: &DevCluster, worker: &SmolStr) -> Result<(), DevError> {
    let name: Result<RecordName, _> = worker.parse();
    let name = name.map_err(|error| DevError::Settings(error.to_string()))?;
    let key = format!("{}/{}", RecordKind::Drain, name.to_smolstr());
    cluster.daemons[0].client.withdraw(&key, None).await?;
    Ok(())
}
