//! The status of the daemon in the wire types of the operators' interface.

use geraniumshed_core::member::{OwnerMap, PeerStatus};
use geraniumshed_core::schedule::{ShardStatus, WaitReason};
use geraniumshed_core::state::{ConfigState, JobProgress};
use geraniumshed_model::prelude::{RecordName, ShardId, whole_millis};
use geraniumshed_wire::operator::{ConfigProgress, PeerState, ShardState, TaskState};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// Returns how far the configuration is in force.
///
/// A suspected peer counts as lagging, since it is unknown what it has applied.
pub fn config_progress(config: &ConfigState, peers: &[PeerStatus]) -> ConfigProgress {
    let applied = config.applied().0;
    let lagging: Vec<SmolStr> = peers
        .iter()
        .filter(|peer| !peer.alive || peer.report.applied.0 < applied)
        .map(|peer| peer.report.identity.daemon.to_smolstr())
        .collect();
    let lowest = peers.iter().map(|peer| peer.report.applied.0).min();
    ConfigProgress {
        applied,
        lowest_applied: lowest.map_or(applied, |lowest| lowest.min(applied)),
        in_force_everywhere: lagging.is_empty(),
        lagging,
        held: config.held().map(|held| held.key.to_smolstr()).collect(),
    }
}

/// Returns the state of a peer.
pub fn peer_state(peer: &PeerStatus) -> PeerState {
    let phase = match (peer.alive, peer.report.leaving) {
        (false, _) => "suspected",
        (true, true) => "leaving",
        (true, false) => "live",
    };
    PeerState {
        id: peer.report.identity.daemon.to_smolstr(),
        address: peer.report.identity.address.to_smolstr(),
        zone: peer.report.identity.zone.to_smolstr(),
        phase: SmolStr::new_static(phase),
        applied: peer.report.applied.0,
        silent_ms: whole_millis(peer.silent),
    }
}

/// Returns the state of a shard; the counts are filled in only if this daemon owns it.
pub fn shard_state(shard: ShardId, owners: &OwnerMap, own: Option<&ShardStatus>) -> ShardState {
    let owner = owners.owner(shard);
    let mut state = ShardState {
        shard: shard.0,
        owner: owner
            .map(|owner| owner.daemon.to_smolstr())
            .unwrap_or_default(),
        term: owner.map_or(0, |owner| owner.term.0),
        workers: 0,
        running: 0,
        waiting: 0,
        unknown: 0,
        infeasible: 0,
    };
    let Some(status) = own else {
        return state;
    };
    let seized = status.workers.iter().filter(|worker| worker.seized).count();
    state.workers = u32::try_from(seized).unwrap_or(u32::MAX);
    state.running = status.running;
    state.unknown = u32::try_from(status.unknown.len()).unwrap_or(u32::MAX);
    for group in &status.waiting {
        match group.reason {
            WaitReason::Infeasible(_) => state.infeasible += group.tasks,
            WaitReason::NoRoom | WaitReason::Quota => state.waiting += group.tasks,
            WaitReason::HistoryLost => state.unknown += group.tasks,
        }
    }
    state
}

/// Returns the tasks of a shard that wait for a worker or for an operator's decision.
pub fn task_states(status: &ShardStatus) -> Vec<TaskState> {
    let waiting = status.waiting.iter().map(|group| {
        let name = format_smolstr!(
            "{}/{} ({} tasks)",
            group.group.record,
            group.group.generation,
            group.tasks
        );
        let (state, reason, hint) = describe_wait(&group.reason);
        task_state(name, state, reason, hint)
    });
    let unknown = status.unknown.iter().map(|task| {
        task_state(
            task.to_smolstr(),
            "unknown",
            SmolStr::new_static("its worker was lost, and the task must not run twice"),
            "find out whether it ran, then `resolve` it with --rerun or --completed",
        )
    });
    waiting.chain(unknown).collect()
}

fn describe_wait(reason: &WaitReason) -> (&'static str, SmolStr, &'static str) {
    match reason {
        WaitReason::NoRoom => (
            "waiting",
            SmolStr::new_static("no worker has enough free resources"),
            "wait, or add workers",
        ),
        WaitReason::Quota => (
            "waiting",
            SmolStr::new_static("the team's quota is used up"),
            "wait, or publish a larger quota for the team",
        ),
        WaitReason::HistoryLost => (
            "unknown",
            SmolStr::new_static("the log no longer holds whether these tasks ran"),
            "find out whether they ran; if not, publish the job again as a new generation",
        ),
        WaitReason::Infeasible(reason) => (
            "infeasible",
            reason.clone(),
            "publish the job with a size that fits a worker, or add a larger worker",
        ),
    }
}

fn task_state(
    task: SmolStr,
    state: &'static str,
    reason: SmolStr,
    hint: &'static str,
) -> TaskState {
    TaskState {
        task,
        state: SmolStr::new_static(state),
        reason,
        worker: SmolStr::default(),
        hint: SmolStr::new_static(hint),
    }
}

/// Returns the numbers of a job's completed and failed tasks, as reported by the shards.
pub fn job_progress(config: &ConfigState, name: &RecordName) -> (u32, u32) {
    let progress = config.progress().job(name);
    let ended = progress.map(JobProgress::ended).unwrap_or_default();
    (ended.completed, ended.failed)
}
