//! The desired tasks, computed from the records in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{
    DrainScope, JobSpec, LogOffset, OperatorRecord, RecordGeneration, RecordKey, RecordKind,
    RecordName, RecordSpec, ServiceSpec, ShardId, SlotCount, TaskClass, TaskId, TaskSpec, TeamName,
    TeamSpec, VmEntry,
};

use super::shard_map::ShardMap;
use super::task_entry::TaskEntry;
use crate::state::ConfigState;

/// The tasks of one generation of a record, which differ only by their index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskGroup {
    /// The record.
    pub record: RecordName,
    /// The generation of a job, or zero for a service.
    pub generation: RecordGeneration,
}

impl TaskGroup {
    /// Returns the group that a task belongs to.
    pub fn of(task: &TaskId) -> Self {
        Self {
            record: task.record.clone(),
            generation: task.generation,
        }
    }

    /// Returns the id of the task with an index.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            record: self.record.clone(),
            generation: self.generation,
            index,
        }
    }
}

/// The desired tasks of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredGroup {
    /// The first task; the others differ from it by their index.
    pub template: Arc<TaskSpec>,
    /// The number of tasks.
    pub count: u32,
    /// Whether an operator cancelled the job.
    pub cancelled: bool,
    /// The goal for the 99th percentile of a service's latency.
    pub latency_goal: Option<Duration>,
    /// The indices of the tasks whose home is this shard, in ascending order.
    pub home: Vec<u32>,
}

impl DesiredGroup {
    /// Returns the specification of the task with an index.
    pub fn spec(&self, index: u32) -> TaskSpec {
        let mut spec = TaskSpec::clone(&self.template);
        spec.task.index = index;
        spec
    }

    /// Returns whether the tasks are batch tasks, which end by themselves.
    pub fn is_batch(&self) -> bool {
        !self.template.class.is_latency_critical()
    }

    /// Returns whether a task has used up its attempts.
    ///
    /// A task that is not idempotent fails with its first error, since the error doesn't show what
    /// the attempt has done.
    pub fn is_failed(&self, entry: &TaskEntry) -> bool {
        if !self.is_batch() {
            return false;
        }
        let limit = if self.template.idempotent {
            self.template.failure_limit.max(1)
        } else {
            1
        };
        entry.failures >= limit
    }
}

/// The desired tasks, teams and drains from the records in force, as one shard sees them.
#[derive(Debug, Clone, Default)]
pub struct DesiredTasks {
    groups: BTreeMap<TaskGroup, DesiredGroup>,
    teams: BTreeMap<TeamName, TeamSpec>,
    drains: BTreeSet<DrainScope>,
    config: Arc<ConfigState>,
}

impl DesiredTasks {
    /// Returns the desired tasks of a group, if its record is in force.
    pub fn group(&self, group: &TaskGroup) -> Option<&DesiredGroup> {
        self.groups.get(group)
    }

    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = (&TaskGroup, &DesiredGroup)> {
        self.groups.iter()
    }

    /// Returns the specification of a team.
    pub fn team(&self, team: &TeamName) -> Option<&TeamSpec> {
        self.teams.get(team)
    }

    /// Returns the offset after the last applied entry of the `config` stream.
    pub fn applied(&self) -> LogOffset {
        self.config.applied()
    }

    /// Returns whether a job's generation has been in force, rather than being unknown so far.
    ///
    /// If it has no group, it was withdrawn, replaced or finished. Generations of a kind are never
    /// reused, so a generation up to the latest one of its name has been in force. For a name
    /// without an entry, the highest generation that was dropped is used instead.
    pub fn is_past_job(&self, group: &TaskGroup) -> bool {
        let Some(table) = self.config.table(RecordKind::Job) else {
            return false;
        };
        let last = table
            .entry(&group.record)
            .map_or_else(|| table.floor(), |entry| entry.latest);
        group.generation <= last
    }

    /// Returns whether an operator drains a VM, its rack or its zone.
    pub fn is_drained(&self, vm: &VmEntry) -> bool {
        self.drains.iter().any(|scope| match scope {
            DrainScope::Vm(id) => *id == vm.vm,
            DrainScope::Rack(rack) => *rack == vm.rack,
            DrainScope::Zone(zone) => *zone == vm.zone,
        })
    }

    /// Recomputes everything from the records in force and returns the groups that changed.
    pub fn update(
        &mut self,
        config: &Arc<ConfigState>,
        map: &ShardMap,
        shard: ShardId,
    ) -> BTreeSet<TaskGroup> {
        let mut groups = BTreeMap::new();
        for record in config.records(RecordKind::Service) {
            if let RecordSpec::Service(spec) = &record.spec {
                let group = service_group(record);
                let desired = desired_service(config, record, spec);
                groups.insert(group, desired);
            }
        }
        for record in config.records(RecordKind::Job) {
            if let RecordSpec::Job(spec) = &record.spec {
                let group = TaskGroup {
                    record: record.key.name.clone(),
                    generation: record.generation,
                };
                let desired = desired_job(config, record, spec);
                groups.insert(group, desired);
            }
        }
        for (group, desired) in &mut groups {
            desired.home = match self.groups.get(group) {
                Some(old) if old.count == desired.count => old.home.clone(),
                _ => home_indices(group, desired.count, map, shard),
            };
        }
        self.teams = teams(config);
        self.drains = drains(config);
        self.config = Arc::clone(config);
        let old = std::mem::replace(&mut self.groups, groups);
        changed_groups(&old, &self.groups)
    }
}

fn changed_groups(
    old: &BTreeMap<TaskGroup, DesiredGroup>,
    new: &BTreeMap<TaskGroup, DesiredGroup>,
) -> BTreeSet<TaskGroup> {
    let gone = old.keys().filter(|group| !new.contains_key(group));
    let changed = new
        .iter()
        .filter(|(group, desired)| old.get(group) != Some(desired))
        .map(|(group, _)| group);
    gone.chain(changed).cloned().collect()
}

fn home_indices(group: &TaskGroup, count: u32, map: &ShardMap, shard: ShardId) -> Vec<u32> {
    (0..count)
        .filter(|index| map.home_shard(&group.task(*index)) == shard)
        .collect()
}

fn service_group(record: &OperatorRecord) -> TaskGroup {
    TaskGroup {
        record: record.key.name.clone(),
        generation: RecordGeneration::default(),
    }
}

fn desired_service(
    config: &ConfigState,
    record: &OperatorRecord,
    spec: &ServiceSpec,
) -> DesiredGroup {
    let class = if spec.listener {
        TaskClass::Listener
    } else {
        TaskClass::Service
    };
    let template = TaskSpec {
        task: service_group(record).task(0),
        team: spec.team.clone(),
        class,
        group: spec.group.clone(),
        urgency: spec.urgency,
        size: spec.size,
        command: spec.command.clone(),
        idempotent: true,
        failure_limit: 0,
        slots: spec.slots,
        connections: spec.connections,
    };
    let stop = RecordKey {
        kind: RecordKind::Stop,
        name: record.key.name.clone(),
    };
    let stopped = config.record(&stop).is_some();
    DesiredGroup {
        template: Arc::new(template),
        count: if stopped { 0 } else { spec.replicas },
        cancelled: false,
        latency_goal: Some(spec.latency_goal.0),
        home: Vec::new(),
    }
}

fn desired_job(config: &ConfigState, record: &OperatorRecord, spec: &JobSpec) -> DesiredGroup {
    let template = TaskSpec {
        task: TaskId {
            record: record.key.name.clone(),
            generation: record.generation,
            index: 0,
        },
        team: spec.team.clone(),
        class: TaskClass::Batch,
        group: spec.group.clone(),
        urgency: spec.urgency,
        size: spec.size,
        command: spec.command.clone(),
        idempotent: spec.idempotent,
        failure_limit: spec.failure_limit,
        slots: SlotCount(0),
        connections: 0,
    };
    DesiredGroup {
        template: Arc::new(template),
        count: spec.tasks,
        cancelled: is_cancelled(config, record),
        latency_goal: None,
        home: Vec::new(),
    }
}

fn is_cancelled(config: &ConfigState, job: &OperatorRecord) -> bool {
    let key = RecordKey {
        kind: RecordKind::Cancel,
        name: job.key.name.clone(),
    };
    config
        .record(&key)
        .is_some_and(|record| match &record.spec {
            RecordSpec::Cancel(spec) => spec.generation == job.generation,
            _ => false,
        })
}

fn teams(config: &ConfigState) -> BTreeMap<TeamName, TeamSpec> {
    let mut teams = BTreeMap::new();
    for record in config.records(RecordKind::Team) {
        let name = record.key.name.as_str().parse();
        if let (RecordSpec::Team(spec), Ok(name)) = (&record.spec, name) {
            teams.insert(name, spec.clone());
        }
    }
    teams
}

fn drains(config: &ConfigState) -> BTreeSet<DrainScope> {
    let specs = config
        .records(RecordKind::Drain)
        .filter_map(|record| match &record.spec {
            RecordSpec::Drain(spec) => Some(spec.scope.clone()),
            _ => None,
        });
    specs.collect()
}
