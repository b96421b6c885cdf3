//! Moves of waiting tasks to other shards.

use std::time::Duration;

use geraniumshed_model::prelude::{
    ResourceSize, ShardEvent, ShardId, TaskId, TeamName, TimePoint, VmPhase, VmRole,
};

use super::desired::TaskGroup;
use super::message::ShardAction;
use super::scheduler::ShardScheduler;
use super::task_entry::TaskPhase;
use super::task_queue::WaitReason;

/// The largest number of tasks that move in one pass.
const MOVES_PER_PASS: usize = 16;
/// The number of moves up to which the wait before the next move doubles.
const BACKOFF_HOPS: u32 = 8;

impl ShardScheduler {
    /// Moves tasks that have waited too long, and marks groups as infeasible whose tasks fit in no
    /// shard.
    pub(super) fn move_blocked(&mut self, now: TimePoint) {
        if self.vms.as_of().is_none() {
            return;
        }
        let blocked: Vec<_> = self
            .queue
            .groups()
            .filter_map(|(group, waiting)| Some((group.clone(), waiting.blocked_since?)))
            .collect();
        let mut left = MOVES_PER_PASS;
        for (group, since) in blocked {
            if left == 0 {
                return;
            }
            left -= self.move_group(now, &group, since, left);
        }
    }

    fn move_group(
        &mut self,
        now: TimePoint,
        group: &TaskGroup,
        since: TimePoint,
        limit: usize,
    ) -> usize {
        let Some(desired) = self.desired.group(group) else {
            return 0;
        };
        let size = desired.template.size;
        let team = desired.template.team.clone();
        let shards = self.feasible_shards(&size, &team);
        if shards.is_empty() {
            self.mark_infeasible(group, &size);
            return 0;
        }
        let is_feasible_here = shards.contains(&self.shard);
        if shards.len() == 1 && is_feasible_here {
            return 0;
        }
        let Some(waiting) = self.queue.group_mut(group) else {
            return 0;
        };
        let indices: Vec<_> = waiting.indices.iter().copied().take(limit).collect();
        let mut moved = 0;
        for index in indices {
            let task = group.task(index);
            let hop = self.state.task(&task).map_or(0, |entry| entry.hop);
            let wait = if is_feasible_here {
                self.move_wait(hop)
            } else {
                Duration::ZERO
            };
            if now.since(since) >= wait {
                self.propose_move(&task, hop, &shards);
                moved += 1;
            }
        }
        moved
    }

    /// Returns how long a task waits for room before it moves; each earlier move doubles the time.
    fn move_wait(&self, hop: u32) -> Duration {
        self.settings.move_after * 2_u32.pow(hop.min(BACKOFF_HOPS))
    }

    fn propose_move(&mut self, task: &TaskId, hop: u32, shards: &[ShardId]) {
        let mut next = hop + 1;
        while !shards.contains(&self.map.hop_shard(task, next))
            || self.map.hop_shard(task, next) == self.shard
        {
            next += 1;
        }
        let entry = self.state.task(task);
        self.outbox.push(ShardEvent::MovedOut {
            task: task.clone(),
            to: self.map.hop_shard(task, next),
            hop: next,
            attempt: entry.map(|entry| entry.attempts).unwrap_or_default(),
            checkpoint: entry.and_then(|entry| entry.checkpoint.clone()),
        });
        self.queue.add_proposal(task);
    }

    /// Returns the shards with a live worker and a part of the team's quota that hold the size.
    fn feasible_shards(&self, size: &ResourceSize, team: &TeamName) -> Vec<ShardId> {
        let mut shards: Vec<_> = self
            .vms
            .live(VmRole::Worker)
            .filter(|vm| {
                let drained = self.desired.is_drained(vm);
                vm.phase == VmPhase::Live && size.fits(&vm.size) && !drained
            })
            .filter_map(|vm| self.map.worker_shard(&vm.vm, &vm.region))
            .collect();
        shards.sort();
        shards.dedup();
        shards.retain(|shard| {
            let allowance = self.quotas.allowance(team, *shard);
            allowance.is_none_or(|allowance| size.fits(&allowance))
        });
        shards
    }

    fn mark_infeasible(&mut self, group: &TaskGroup, size: &ResourceSize) {
        let reason = format!(
            "no shard has a live worker and a part of the team's quota that are large enough for \
             {} processors, {} memory and {} accelerators",
            size.processors, size.memory, size.accelerators
        );
        if let Some(waiting) = self.queue.group_mut(group) {
            waiting.reason = Some(WaitReason::Infeasible(reason.into()));
        }
    }

    /// Sends a task that moved out to its new shard; sending it again has no effect.
    pub(super) fn send_move(&mut self, task: &TaskId) {
        let Some(entry) = self.state.task(task) else {
            return;
        };
        let TaskPhase::MovedOut { to } = entry.phase else {
            return;
        };
        self.actions.push(ShardAction::Move {
            to,
            event: ShardEvent::MovedIn {
                task: task.clone(),
                from: self.shard,
                hop: entry.hop,
                attempt: entry.attempts,
                checkpoint: entry.checkpoint.clone(),
            },
        });
    }
}
