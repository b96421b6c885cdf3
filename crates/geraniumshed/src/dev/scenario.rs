//! All work once: publish, serve, schedule, evict, drain, restart; then judge.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{RecordBody, RecordKind, RecordName, RecordSpec};
use geraniumshed_standin::truth::{
    CallerRecord, JudgeLimits, PlacementEnd, PlacementRecord, PromiseReport, judge,
};
use geraniumshed_wire::record::{RecordDraft, read_records};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::task::JoinHandle;

use super::caller::{CallerPlan, CallerPool, KeyChoice};
use super::cluster::{DevCluster, DevError};
use super::config_check::ConfigCheck;
use super::profile::DevProfile;

/// The Cámara's records.
const CAMARA_RECORDS: &str = include_str!("../../../../examples/camara.yaml");

/// Yıldız's records.
const YILDIZ_RECORDS: &str = include_str!("../../../../examples/yildiz.yaml");

/// The share of the requests of keyed groups in those of the others.
const KEYED_SHARE: u32 = 4;

/// Does all work once and judges the promises on the stand-ins' own record.
///
/// # Errors
///
/// Returns what failed or did not happen in time, which breaks no promise by itself.
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
    let limits = JudgeLimits {
        settled: true,
        ..JudgeLimits::default()
    };
    let mut report = judge(&cluster.set.ledger().snapshot(), &callers, limits);
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
    check.accept(cluster, key, reply.generation).await;
    Ok(())
}

/// Raises the number of replicas of the examples to that of the profile.
fn scale_replicas(text: &str, profile: DevProfile) -> String {
    match profile.replicas() {
        Some(replicas) => text.replace("replicas: 3", &format!("replicas: {replicas}")),
        None => text.to_owned(),
    }
}

/// Waits until all services have all of their endpoints.
async fn wait_ready(cluster: &DevCluster) -> Result<(), DevError> {
    let ready = || async {
        for daemon in &cluster.daemons {
            let Ok(status) = daemon.client.status().await else {
                return false;
            };
            let full = |replicas: u32, ready: u32| replicas > 0 && ready >= replicas;
            if !status
                .services
                .iter()
                .all(|service| full(service.replicas, service.ready))
            {
                return false;
            }
        }
        true
    };
    cluster.wait_for("the start of all replicas", ready).await
}

/// Starts the callers of bookings and quotes.
fn send_requests(
    cluster: &DevCluster,
    profile: DevProfile,
) -> Result<Vec<JoinHandle<Vec<CallerRecord>>>, DevError> {
    let pool = CallerPool::open(cluster.entry_addresses()).map_err(DevError::Caller)?;
    let pool = Arc::new(pool);
    let plan = |service: &str, label, key, share: u32| CallerPlan {
        service: service.parse().expect("the examples' names are valid"),
        path: "/requests",
        key,
        deadline: None,
        count: profile.requests() / share,
        pace: profile.pace() * share,
        label,
    };
    // More at once than the slots can serve in time, so that some are refused unrun.
    let burst = CallerPlan {
        deadline: Some("30ms"),
        pace: Duration::ZERO,
        ..plan("bookings", "hasty booking", KeyChoice::Nothing, 1)
    };
    let plans = [
        burst,
        plan("bookings", "booking", KeyChoice::Nothing, 1),
        plan(
            "bookings",
            "ticketed booking",
            KeyChoice::Ticket,
            KEYED_SHARE,
        ),
        plan("bookings", "keyed booking", KeyChoice::Own, KEYED_SHARE),
        plan("quotes", "quote", KeyChoice::Nothing, 1),
    ];
    let start = |plan| tokio::spawn(Arc::clone(&pool).send_all(plan));
    Ok(plans.into_iter().map(start).collect())
}

/// Waits for all callers.
async fn join_callers(callers: Vec<JoinHandle<Vec<CallerRecord>>>) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for group in callers {
        records.extend(group.await.unwrap_or_default());
    }
    records
}

/// Drains a worker that runs a batch task, so that the task is evicted and resumes elsewhere.
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
    let worker = running().ok_or(DevError::Late("the drain of a busy worker"))?;
    let text = format!("schema: 2\nkind: drain\nname: {worker}\nspec:\n  vm: {worker}\n");
    publish(cluster, check, &text).await?;
    let emptied = || async {
        let record = cluster.set.ledger().snapshot();
        !record
            .placements
            .iter()
            .any(|placement| runs_on(placement, &worker))
    };
    cluster.wait_for("the drain of a worker", emptied).await?;
    Ok(worker)
}

/// Returns a worker that runs both a batch task and a replica, or at least a batch task.
fn busy_worker(cluster: &DevCluster) -> Option<SmolStr> {
    let record = cluster.set.ledger().snapshot();
    let running = |batch: bool| {
        let placements = record.placements.iter();
        placements.filter(move |placement| placement.end.is_none() && placement.batch == batch)
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

/// Waits until every task of every job has completed on a worker.
async fn wait_jobs(cluster: &DevCluster, drafts: &[RecordDraft]) -> Result<(), DevError> {
    let wanted: u32 = drafts.iter().map(job_tasks).sum();
    let completed = || async {
        let record = cluster.set.ledger().snapshot();
        let ended = record.placements.iter().filter(|placement| {
            placement.batch && placement.outcome == Some(PlacementEnd::Completed)
        });
        ended.count() >= wanted as usize
    };
    cluster.wait_for("the end of all jobs", completed).await
}

/// Returns the number of tasks of a job's record, or zero for other kinds.
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
