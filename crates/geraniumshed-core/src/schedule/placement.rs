//! The placement of waiting tasks on workers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use geraniumshed_model::prelude::{
    AttemptNumber, RackName, ResourceSize, ShardEvent, TaskId, TaskSpec, TeamName, TimePoint,
    UrgencyClass, VmId, VmPhase, ZoneName,
};

use super::desired::{DesiredGroup, TaskGroup};
use super::scheduler::ShardScheduler;
use super::settings::PlacementPolicy;
use super::task_queue::WaitReason;
use super::worker_entry::{AttemptStage, WorkerAttempt, WorkerEntry};

/// The largest number of placements in one pass, so that one entry of the log stays small.
const PLACEMENTS_PER_PASS: usize = 256;
/// The number of a group's tasks that are placed before other groups get a turn.
const PLACEMENTS_PER_TURN: usize = 8;
/// The penalty for each replica of the same service on the same worker.
const SAME_WORKER_PENALTY: f64 = 8.0;
/// The penalty for each replica of the same service on the same rack.
const SAME_RACK_PENALTY: f64 = 2.0;
/// The penalty for each replica of the same service in the same zone.
const SAME_ZONE_PENALTY: f64 = 0.5;

/// The resources that each team's tasks reserve in the shard.
pub(super) type TeamUsage = BTreeMap<TeamName, ResourceSize>;

/// The sort key of a waiting group: its class and urgency, its team's weighted share, its id.
type GroupRank = (Reverse<(bool, UrgencyClass)>, u64, TaskGroup);

impl ShardScheduler {
    /// Places as many waiting tasks as there is room for.
    ///
    /// Groups take turns with a few tasks each. Services come first, then groups of a higher
    /// urgency, then teams with a lower weighted share of the resources.
    pub(super) fn place_waiting(&mut self, now: TimePoint) {
        if !self.is_placement_due {
            return;
        }
        self.is_placement_due = false;
        let mut usage = self.team_usage();
        let groups = self.queue.groups().map(|(group, _)| group);
        let mut turns: BTreeSet<_> = groups.filter_map(|g| self.group_rank(g, &usage)).collect();
        let mut left = PLACEMENTS_PER_PASS;
        while let Some((_, _, group)) = turns.pop_first() {
            if left == 0 {
                self.is_placement_due = true;
                return;
            }
            let (placed, more) = self.place_group(now, &group, &mut usage);
            left = left.saturating_sub(placed);
            if more {
                turns.extend(self.group_rank(&group, &usage));
            }
        }
    }

    /// Returns the sort key of a waiting group; lower ones are placed first.
    fn group_rank(&self, group: &TaskGroup, usage: &TeamUsage) -> Option<GroupRank> {
        let template = &self.desired.group(group)?.template;
        let service = template.class.is_latency_critical();
        let used = usage.get(&template.team).copied().unwrap_or_default();
        let share = self.weighted_share(&template.team, &used);
        Some((Reverse((service, template.urgency)), share, group.clone()))
    }

    /// Places a few tasks of a group; returns how many, and whether the group needs another turn.
    fn place_group(
        &mut self,
        now: TimePoint,
        group: &TaskGroup,
        usage: &mut TeamUsage,
    ) -> (usize, bool) {
        let Some(waiting) = self.queue.group_mut(group) else {
            return (0, false);
        };
        let more = waiting.indices.len() > PLACEMENTS_PER_TURN;
        let urgent = self.desired.group(group).is_some_and(is_urgent_batch);
        if !urgent && !self.has_all_inventories(now) {
            return (0, false);
        }
        let Some(waiting) = self.queue.group_mut(group) else {
            return (0, false);
        };
        let few = waiting.indices.iter().copied().take(PLACEMENTS_PER_TURN);
        let indices: Vec<_> = few.collect();
        let mut placed = 0;
        for index in indices {
            let Some(spec) = self.spec(&group.task(index)) else {
                continue;
            };
            let used = usage.entry(spec.team.clone()).or_default();
            match self.choose_worker(now, &spec, used) {
                Ok(worker) => {
                    *used = used.plus(&spec.size);
                    self.preemption.remove(&spec.task);
                    self.propose_placement(now, &worker, spec);
                    placed += 1;
                }
                Err(reason) => {
                    if reason == WaitReason::NoRoom {
                        self.preempt(now, &spec);
                    }
                    self.mark_blocked(now, group, reason);
                    return (placed, false);
                }
            }
        }
        if let Some(waiting) = self.queue.group_mut(group) {
            waiting.blocked_since = None;
            waiting.reason = None;
        }
        (placed, more)
    }

    /// Returns whether the inventories of all workers are known, or were waited for long enough.
    ///
    /// An earlier owner may have started replicas during a log outage, which only inventories
    /// show. Besides, batch tasks would fill the first workers seized, so that replicas could not
    /// spread over all workers.
    fn has_all_inventories(&self, now: TimePoint) -> bool {
        let mut listed = self
            .workers
            .values()
            .filter(|worker| worker.phase() != VmPhase::Gone);
        let waited = now.since(self.ready_since) >= self.settings.inventory_wait;
        waited || listed.all(WorkerEntry::is_seized)
    }

    fn mark_blocked(&mut self, now: TimePoint, group: &TaskGroup, reason: WaitReason) {
        if let Some(waiting) = self.queue.group_mut(group) {
            waiting.blocked_since.get_or_insert(now);
            waiting.reason = Some(reason);
        }
    }

    /// Chooses the worker for a task.
    fn choose_worker(
        &self,
        now: TimePoint,
        spec: &Arc<TaskSpec>,
        used: &ResourceSize,
    ) -> Result<VmId, WaitReason> {
        if !self.quota_allows(spec, used) {
            return Err(WaitReason::Quota);
        }
        let size = self.reserved_size(spec);
        let candidates = self.workers.iter().filter(|(id, worker)| {
            worker.is_placeable() && self.is_accepting(now, id) && worker.has_room(&size)
        });
        let candidates = candidates.filter(|(id, worker)| {
            !holds_task(worker, &spec.task)
                && !self.should_avoid(now, id, spec)
                && self.services_tolerate(now, worker, spec)
        });
        let policy = if spec.class.is_latency_critical() {
            PlacementPolicy::Scored
        } else {
            self.settings.policy
        };
        let best = match policy {
            PlacementPolicy::FirstFit => candidates.map(|(id, _)| id).next(),
            PlacementPolicy::Scored => {
                let spread = ReplicaSpread::of(self, spec);
                let scored = candidates
                    .map(|(id, worker)| (self.score(now, worker, spec, &size, &spread), id));
                scored
                    .min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.cmp(y)))
                    .map(|(_, id)| id)
            }
        };
        best.cloned().ok_or(WaitReason::NoRoom)
    }

    /// Scores a worker for a task; lower is better.
    fn score(
        &self,
        now: TimePoint,
        worker: &WorkerEntry,
        spec: &TaskSpec,
        size: &ResourceSize,
        spread: &ReplicaSpread,
    ) -> f64 {
        let left = dominant_share(&worker.free().minus(size), &worker.size);
        let idle_accelerators = f64::from(worker.free().accelerators.0);
        let wasted = if size.accelerators.0 == 0 {
            idle_accelerators
        } else {
            0.0
        };
        let slowdown = self.predicted_slowdown(now, worker, spec);
        left + wasted + slowdown + spread.penalty(worker)
    }

    /// Proposes a placement and reserves its room.
    pub(super) fn propose_placement(&mut self, now: TimePoint, id: &VmId, spec: Arc<TaskSpec>) {
        let attempt = self.next_attempt(&spec.task);
        let size = self.reserved_size(&spec);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(boot) = worker.boot else {
            return;
        };
        let task = spec.task.clone();
        let worker_attempt =
            WorkerAttempt::new(AttemptStage::Proposed, size, Some(spec), boot, now);
        worker
            .attempts
            .insert((task.clone(), attempt), worker_attempt);
        self.queue.add_proposal(&task);
        self.outbox.push(ShardEvent::Placed {
            task,
            attempt,
            worker: id.clone(),
            boot,
        });
    }

    fn next_attempt(&self, task: &TaskId) -> AttemptNumber {
        let logged = self.state.task(task).map(|entry| entry.attempts);
        let seen = self.workers.values().flat_map(|worker| {
            let first = (task.clone(), AttemptNumber(0));
            let last = (task.clone(), AttemptNumber(u32::MAX));
            worker
                .attempts
                .range(first..=last)
                .map(|((_, attempt), _)| *attempt)
        });
        let last = seen.chain(logged).max().unwrap_or_default();
        last.next()
    }

    /// Returns the size to reserve for a task: the declared one or the observed one of its group,
    /// whichever is larger in each resource.
    pub(super) fn reserved_size(&self, spec: &TaskSpec) -> ResourceSize {
        let size_estimate = self.usage.size_estimate(&spec.group);
        size_estimate.map_or(spec.size, |size| spec.size.max(&size))
    }

    /// Returns the resources that each team's tasks reserve in the shard.
    fn team_usage(&self) -> TeamUsage {
        let mut usage = TeamUsage::new();
        let attempts = self.workers.values().flat_map(|w| w.attempts.values());
        for worker_attempt in attempts.filter(|worker_attempt| worker_attempt.is_live()) {
            if let Some(spec) = &worker_attempt.spec {
                let used = usage.entry(spec.team.clone()).or_default();
                *used = used.plus(&worker_attempt.size);
            }
        }
        usage
    }

    /// Returns a team's dominant share divided by its weight, as an integer to compare.
    fn weighted_share(&self, team: &TeamName, used: &ResourceSize) -> u64 {
        let weight = self.desired.team(team).map_or(1, |spec| spec.weight.max(1));
        let capacity = self.capacity();
        let share = dominant_share(used, &capacity) / f64::from(weight);
        share_key(share)
    }

    /// Returns the total size of the workers on which tasks may be placed.
    pub(super) fn capacity(&self) -> ResourceSize {
        self.workers
            .values()
            .filter(|worker| worker.is_placeable())
            .fold(ResourceSize::default(), |sum, worker| {
                sum.plus(&worker.size)
            })
    }
}

fn is_urgent_batch(desired: &DesiredGroup) -> bool {
    let spec = &desired.template;
    !spec.class.is_latency_critical() && spec.urgency == UrgencyClass::Urgent
}

/// Converts a share into an integer with the same order.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the share is not negative and far below the limit"
)]
fn share_key(share: f64) -> u64 {
    (share * 1e9) as u64
}

fn holds_task(worker: &WorkerEntry, task: &TaskId) -> bool {
    let mut keys = worker.attempts.iter();
    keys.any(|((of, _), worker_attempt)| of == task && worker_attempt.is_live())
}

/// Returns the largest ratio between two sizes over all resources.
pub(super) fn dominant_share(part: &ResourceSize, whole: &ResourceSize) -> f64 {
    let ratio = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
    let processors = ratio(f64::from(part.processors.0), f64::from(whole.processors.0));
    let memory = ratio(part.memory.0 as f64, whole.memory.0 as f64);
    let accelerators = ratio(
        f64::from(part.accelerators.0),
        f64::from(whole.accelerators.0),
    );
    processors.max(memory).max(accelerators)
}

/// The number of a service's replicas on each worker, rack and zone.
#[derive(Debug, Default)]
struct ReplicaSpread {
    workers: BTreeMap<VmId, f64>,
    racks: BTreeMap<RackName, f64>,
    zones: BTreeMap<ZoneName, f64>,
}

impl ReplicaSpread {
    fn of(scheduler: &ShardScheduler, spec: &TaskSpec) -> Self {
        let mut spread = Self::default();
        if !spec.class.is_latency_critical() {
            return spread;
        }
        for worker in scheduler.workers.values() {
            let Some(vm) = &worker.vm else {
                continue;
            };
            let replicas = worker
                .attempts
                .iter()
                .filter(|((task, _), worker_attempt)| {
                    task.record == spec.task.record
                        && worker_attempt.is_live()
                        && worker_attempt.stop.is_none()
                });
            let count = replicas.count() as f64;
            *spread.workers.entry(vm.vm.clone()).or_default() += count;
            *spread.racks.entry(vm.rack.clone()).or_default() += count;
            *spread.zones.entry(vm.zone.clone()).or_default() += count;
        }
        spread
    }

    fn penalty(&self, worker: &WorkerEntry) -> f64 {
        let Some(vm) = &worker.vm else {
            return 0.0;
        };
        let count = |counts: Option<&f64>| counts.copied().unwrap_or_default();
        count(self.workers.get(&vm.vm)) * SAME_WORKER_PENALTY
            + count(self.racks.get(&vm.rack)) * SAME_RACK_PENALTY
            + count(self.zones.get(&vm.zone)) * SAME_ZONE_PENALTY
    }
}
