//! The records that operators publish.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use smol_str::SmolStr;

use crate::id::{
    ClassName, ParseIdError, RackName, RecordGeneration, RecordName, TeamName, VmId, ZoneName,
};
use crate::resource::{RequestRate, ResourceSize, SlotCount};
use crate::task::UrgencyClass;
use crate::time::TimeSpan;

/// The kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// A team with its quota.
    Team,
    /// A service.
    Service,
    /// A name by which callers reach a service.
    Binding,
    /// A batch job.
    Job,
    /// A planned drain of a VM, a rack or an availability zone.
    Drain,
    /// The cancellation of the job of the same name.
    Cancel,
    /// The graceful stop of the service of the same name.
    Stop,
}

/// All kinds with their names.
const KIND_NAMES: [(RecordKind, &str); 7] = [
    (RecordKind::Team, "team"),
    (RecordKind::Service, "service"),
    (RecordKind::Binding, "binding"),
    (RecordKind::Job, "job"),
    (RecordKind::Drain, "drain"),
    (RecordKind::Cancel, "cancel"),
    (RecordKind::Stop, "stop"),
];

impl RecordKind {
    /// Returns all kinds in the order in which they depend on one another.
    pub fn all() -> impl Iterator<Item = Self> {
        KIND_NAMES.iter().map(|(kind, _)| *kind)
    }

    /// Returns the name of the kind as operators write it.
    pub fn name(self) -> &'static str {
        KIND_NAMES
            .iter()
            .find(|(kind, _)| *kind == self)
            .map_or("", |(_, name)| name)
    }
}

impl Display for RecordKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RecordKind {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        KIND_NAMES
            .iter()
            .find(|(_, name)| *name == text)
            .map(|(kind, _)| *kind)
            .ok_or_else(|| ParseIdError {
                expected: "record kind",
                found: text.into(),
                hint: "use team, service, binding, job, drain, cancel or stop",
            })
    }
}

/// The version of the schema in which a record was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchemaVersion(pub u16);

impl SchemaVersion {
    /// The old schema: plain numbers, memory in megabytes, times in milliseconds.
    pub const OLD: Self = Self(1);
    /// The new schema: sizes and times with units.
    pub const NEW: Self = Self(2);

    /// Tells whether this program knows the schema.
    pub fn is_known(self) -> bool {
        self == Self::OLD || self == Self::NEW
    }
}

impl Display for SchemaVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// What identifies a record over its generations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// The kind of the record.
    pub kind: RecordKind,
    /// The name of the record.
    pub name: RecordName,
}

impl Display for RecordKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A record in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorRecord {
    /// What identifies the record.
    pub key: RecordKey,
    /// The schema in which the record was written.
    pub schema: SchemaVersion,
    /// The generation, one more than that of the record it replaced.
    pub generation: RecordGeneration,
    /// What the record says.
    pub spec: RecordSpec,
}

/// What a record says, in the one model that both schemas convert into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordSpec {
    /// A team.
    Team(TeamSpec),
    /// A service.
    Service(ServiceSpec),
    /// A binding.
    Binding(BindingSpec),
    /// A job.
    Job(JobSpec),
    /// A drain.
    Drain(DrainSpec),
    /// A cancellation.
    Cancel(CancelSpec),
    /// A stop of a service.
    Stop,
}

impl RecordSpec {
    /// Returns the kind of the record.
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Team(_) => RecordKind::Team,
            Self::Service(_) => RecordKind::Service,
            Self::Binding(_) => RecordKind::Binding,
            Self::Job(_) => RecordKind::Job,
            Self::Drain(_) => RecordKind::Drain,
            Self::Cancel(_) => RecordKind::Cancel,
            Self::Stop => RecordKind::Stop,
        }
    }
}

/// A team, its quota and its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpec {
    /// The resources that the team's tasks may use at once.
    pub quota: ResourceSize,
    /// The weight of the team when teams compete for what is left.
    pub weight: u32,
    /// The requests a second that the team's callers may send, over all daemons.
    pub rate: Option<RequestRate>,
}

/// A service that answers callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The team that the service belongs to.
    pub team: TeamName,
    /// The number of replicas.
    pub replicas: u32,
    /// The declared size of one replica.
    pub size: ResourceSize,
    /// The name under which interference of the replicas is learned.
    pub group: ClassName,
    /// The command that a worker runs for a replica.
    pub command: SmolStr,
    /// The number of requests that one replica serves at once.
    pub slots: SlotCount,
    /// The number of connections that one replica takes.
    pub connections: u32,
    /// The time within which a request has to be answered, unless its caller says less.
    pub deadline: TimeSpan,
    /// The latency that the service should stay below at the 99th percentile.
    pub latency_goal: TimeSpan,
    /// How soon requests are served when not all can be.
    pub urgency: UrgencyClass,
    /// The number of requests that may wait in a daemon's queue.
    pub queue_limit: u32,
    /// Whether a second run of a request of any method does no harm.
    pub idempotent: bool,
    /// Whether requests stay open for hours.
    pub listener: bool,
}

/// A name by which callers reach a service, with limits of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BindingSpec {
    /// The service.
    pub service: RecordName,
    /// The team whose rate the callers use.
    pub team: TeamName,
    /// How soon requests by this name are served when not all can be.
    pub urgency: UrgencyClass,
    /// The time within which a request has to be answered, if it differs from the service's.
    pub deadline: Option<TimeSpan>,
}

/// A batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// The team that the job belongs to.
    pub team: TeamName,
    /// The number of tasks that the job consists of.
    pub tasks: u32,
    /// The declared size of one task.
    pub size: ResourceSize,
    /// The name under which interference of the tasks is learned.
    pub group: ClassName,
    /// The command that a worker runs for a task.
    pub command: SmolStr,
    /// How soon the tasks have to start.
    pub urgency: UrgencyClass,
    /// Whether a second run of a task does no harm.
    pub idempotent: bool,
    /// The number of attempts of one task that may fail before the task counts as failed.
    pub failure_limit: u32,
}

/// What a drain empties.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainScope {
    /// One VM.
    Vm(VmId),
    /// All VMs of a rack.
    Rack(RackName),
    /// All VMs of an availability zone.
    Zone(ZoneName),
}

/// A planned drain, in force until its record is withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSpec {
    /// What is drained.
    pub scope: DrainScope,
}

/// The cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelSpec {
    /// The generation of the job that is cancelled.
    pub generation: RecordGeneration,
}
