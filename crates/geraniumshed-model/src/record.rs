//! The records that operators publish.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use smol_str::SmolStr;

use crate::id::{
    GroupName, ParseIdError, RackName, RecordGeneration, RecordName, TeamName, VmId, ZoneName,
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

/// The name of each kind, in dependency order.
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
    /// Returns all kinds in dependency order: each kind refers only to earlier ones.
    pub fn all() -> impl Iterator<Item = Self> {
        KIND_NAMES.iter().map(|(kind, _)| *kind)
    }

    /// Returns the name of the kind in record files.
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

/// The version of the schema that a record is written in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchemaVersion(pub u16);

impl SchemaVersion {
    /// The first schema: plain numbers, with memory in megabytes and durations in milliseconds.
    pub const V1: Self = Self(1);
    /// The current schema: sizes and durations with units.
    pub const V2: Self = Self(2);

    /// Returns whether this version of the program supports the schema.
    pub fn is_known(self) -> bool {
        self == Self::V1 || self == Self::V2
    }
}

impl Display for SchemaVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// The key of a record, shared by all of its generations.
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

/// A record that is in force: the latest accepted one of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorRecord {
    /// The key of the record.
    pub key: RecordKey,
    /// The schema that the record was written in.
    pub schema: SchemaVersion,
    /// The generation, one higher than that of the record it replaced.
    pub generation: RecordGeneration,
    /// The content of the record.
    pub spec: RecordSpec,
}

/// The content of a record, the same for both schemas.
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
    /// The graceful stop of a service, which has no settings.
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

/// The quota, weight and request rate of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpec {
    /// The total resources that the team's tasks may use at any time.
    pub quota: ResourceSize,
    /// The weight of the team in fair sharing of the remaining resources.
    pub weight: u32,
    /// The requests per second that the team's callers may send to all daemons together.
    pub rate: Option<RequestRate>,
}

/// A service that answers callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The team that owns the service.
    pub team: TeamName,
    /// The number of replicas.
    pub replicas: u32,
    /// The declared size of one replica.
    pub size: ResourceSize,
    /// The group whose interference estimate the replicas share.
    pub group: GroupName,
    /// The command with which a worker starts a replica.
    pub command: SmolStr,
    /// The number of requests that one replica serves concurrently.
    pub slots: SlotCount,
    /// The maximum number of connections to one replica.
    pub connections: u32,
    /// The default deadline of a request, which its caller may shorten.
    pub deadline: TimeSpan,
    /// The target for the 99th percentile of the service's latency.
    pub latency_goal: TimeSpan,
    /// The priority of the service's requests under overload.
    pub urgency: UrgencyClass,
    /// The maximum number of requests in a daemon's queue for the service.
    pub queue_limit: u32,
    /// Whether requests of any method may safely run twice.
    pub idempotent: bool,
    /// Whether requests are long-lived and stay open for hours.
    pub listener: bool,
}

/// A name by which callers reach a service, with its own team, urgency and deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BindingSpec {
    /// The name of the service.
    pub service: RecordName,
    /// The team whose request rate the callers consume.
    pub team: TeamName,
    /// The priority of requests by this name under overload.
    pub urgency: UrgencyClass,
    /// The deadline of a request, or `None` for that of the service.
    pub deadline: Option<TimeSpan>,
}

/// A batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// The team that owns the job.
    pub team: TeamName,
    /// The number of tasks in the job.
    pub tasks: u32,
    /// The declared size of one task.
    pub size: ResourceSize,
    /// The group whose interference estimate the tasks share.
    pub group: GroupName,
    /// The command with which a worker starts a task.
    pub command: SmolStr,
    /// The priority of the tasks.
    pub urgency: UrgencyClass,
    /// Whether a task may safely run twice.
    pub idempotent: bool,
    /// The number of failed attempts after which an idempotent task counts as failed.
    pub failure_limit: u32,
}

/// The set of VMs that a drain applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainScope {
    /// One VM.
    Vm(VmId),
    /// All VMs of a rack.
    Rack(RackName),
    /// All VMs of an availability zone.
    Zone(ZoneName),
}

/// A planned drain, which lasts until its record is withdrawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSpec {
    /// The VMs to drain.
    pub scope: DrainScope,
}

/// The cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelSpec {
    /// The generation of the job to cancel.
    pub generation: RecordGeneration,
}
