//! What records say, on the wire.

use std::time::Duration;

use geraniumshed_model::prelude::{
    AcceleratorCount, BindingSpec, CancelSpec, DrainScope, DrainSpec, JobSpec, MemorySize,
    ProcessorShare, RecordGeneration, RecordSpec, RequestRate, ResourceSize, ServiceSpec,
    SlotCount, TeamSpec, TimeSpan, UrgencyClass,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};

/// The twin of [`ResourceSize`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireSize {
    processors: u32,
    memory: u64,
    accelerators: u32,
}

impl From<ResourceSize> for WireSize {
    fn from(size: ResourceSize) -> Self {
        Self {
            processors: size.processors.0,
            memory: size.memory.0,
            accelerators: size.accelerators.0,
        }
    }
}

impl From<WireSize> for ResourceSize {
    fn from(wire: WireSize) -> Self {
        Self {
            processors: ProcessorShare(wire.processors),
            memory: MemorySize(wire.memory),
            accelerators: AcceleratorCount(wire.accelerators),
        }
    }
}

/// The twin of [`UrgencyClass`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireUrgency {
    /// Work that fills idle capacity.
    Background,
    /// Ordinary work.
    Normal,
    /// Work that goes first.
    Urgent,
}

impl From<UrgencyClass> for WireUrgency {
    fn from(urgency: UrgencyClass) -> Self {
        match urgency {
            UrgencyClass::Background => Self::Background,
            UrgencyClass::Normal => Self::Normal,
            UrgencyClass::Urgent => Self::Urgent,
        }
    }
}

impl From<WireUrgency> for UrgencyClass {
    fn from(wire: WireUrgency) -> Self {
        match wire {
            WireUrgency::Background => Self::Background,
            WireUrgency::Normal => Self::Normal,
            WireUrgency::Urgent => Self::Urgent,
        }
    }
}

/// The twin of [`TeamSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTeam {
    quota: WireSize,
    weight: u32,
    rate: Option<u32>,
}

/// The twin of [`ServiceSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireService {
    team: SmolStr,
    replicas: u32,
    size: WireSize,
    group: SmolStr,
    command: SmolStr,
    slots: u32,
    connections: u32,
    deadline_us: u64,
    latency_goal_us: u64,
    urgency: WireUrgency,
    queue_limit: u32,
    idempotent: bool,
    listener: bool,
}

/// The twin of [`BindingSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireBinding {
    service: SmolStr,
    team: SmolStr,
    urgency: WireUrgency,
    deadline_us: Option<u64>,
}

/// The twin of [`JobSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireJob {
    team: SmolStr,
    tasks: u32,
    size: WireSize,
    group: SmolStr,
    command: SmolStr,
    urgency: WireUrgency,
    idempotent: bool,
    failure_limit: u32,
}

/// The twin of [`DrainScope`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireScope {
    /// One VM.
    Vm(SmolStr),
    /// A rack.
    Rack(SmolStr),
    /// An availability zone.
    Zone(SmolStr),
}

/// The twin of [`DrainSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireDrain {
    scope: WireScope,
}

/// The twin of [`RecordSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireSpec {
    /// A team.
    Team(WireTeam),
    /// A service.
    Service(Box<WireService>),
    /// A binding.
    Binding(WireBinding),
    /// A job.
    Job(Box<WireJob>),
    /// A drain.
    Drain(WireDrain),
    /// A cancellation of the job of this generation.
    Cancel(u64),
    /// A stop.
    Stop,
}

impl From<RecordSpec> for WireSpec {
    fn from(spec: RecordSpec) -> Self {
        match spec {
            RecordSpec::Team(team) => Self::Team(team.into()),
            RecordSpec::Service(service) => Self::Service(Box::new(service.into())),
            RecordSpec::Binding(binding) => Self::Binding(binding.into()),
            RecordSpec::Job(job) => Self::Job(Box::new(job.into())),
            RecordSpec::Drain(drain) => Self::Drain(drain.into()),
            RecordSpec::Cancel(cancel) => Self::Cancel(cancel.generation.0),
            RecordSpec::Stop => Self::Stop,
        }
    }
}

impl TryFrom<WireSpec> for RecordSpec {
    type Error = DecodeError;

    fn try_from(wire: WireSpec) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireSpec::Team(team) => Self::Team(team.into()),
            WireSpec::Service(service) => Self::Service((*service).try_into()?),
            WireSpec::Binding(binding) => Self::Binding(binding.try_into()?),
            WireSpec::Job(job) => Self::Job((*job).try_into()?),
            WireSpec::Drain(drain) => Self::Drain(drain.try_into()?),
            WireSpec::Cancel(generation) => Self::Cancel(CancelSpec {
                generation: RecordGeneration(generation),
            }),
            WireSpec::Stop => Self::Stop,
        })
    }
}

impl From<TeamSpec> for WireTeam {
    fn from(team: TeamSpec) -> Self {
        Self {
            quota: team.quota.into(),
            weight: team.weight,
            rate: team.rate.map(|rate| rate.0),
        }
    }
}

impl From<WireTeam> for TeamSpec {
    fn from(wire: WireTeam) -> Self {
        Self {
            quota: wire.quota.into(),
            weight: wire.weight,
            rate: wire.rate.map(RequestRate),
        }
    }
}

impl From<ServiceSpec> for WireService {
    fn from(service: ServiceSpec) -> Self {
        Self {
            team: name_text(&service.team),
            replicas: service.replicas,
            size: service.size.into(),
            group: name_text(&service.group),
            command: service.command,
            slots: service.slots.0,
            connections: service.connections,
            deadline_us: span_micros(service.deadline),
            latency_goal_us: span_micros(service.latency_goal),
            urgency: service.urgency.into(),
            queue_limit: service.queue_limit,
            idempotent: service.idempotent,
            listener: service.listener,
        }
    }
}

impl TryFrom<WireService> for ServiceSpec {
    type Error = DecodeError;

    fn try_from(wire: WireService) -> Result<Self, Self::Error> {
        Ok(Self {
            team: parse_name(&wire.team)?,
            replicas: wire.replicas,
            size: wire.size.into(),
            group: parse_name(&wire.group)?,
            command: wire.command,
            slots: SlotCount(wire.slots),
            connections: wire.connections,
            deadline: micros_span(wire.deadline_us),
            latency_goal: micros_span(wire.latency_goal_us),
            urgency: wire.urgency.into(),
            queue_limit: wire.queue_limit,
            idempotent: wire.idempotent,
            listener: wire.listener,
        })
    }
}

impl From<BindingSpec> for WireBinding {
    fn from(binding: BindingSpec) -> Self {
        Self {
            service: name_text(&binding.service),
            team: name_text(&binding.team),
            urgency: binding.urgency.into(),
            deadline_us: binding.deadline.map(span_micros),
        }
    }
}

impl TryFrom<WireBinding> for BindingSpec {
    type Error = DecodeError;

    fn try_from(wire: WireBinding) -> Result<Self, Self::Error> {
        Ok(Self {
            service: parse_name(&wire.service)?,
            team: parse_name(&wire.team)?,
            urgency: wire.urgency.into(),
            deadline: wire.deadline_us.map(micros_span),
        })
    }
}

impl From<JobSpec> for WireJob {
    fn from(job: JobSpec) -> Self {
        Self {
            team: name_text(&job.team),
            tasks: job.tasks,
            size: job.size.into(),
            group: name_text(&job.group),
            command: job.command,
            urgency: job.urgency.into(),
            idempotent: job.idempotent,
            failure_limit: job.failure_limit,
        }
    }
}

impl TryFrom<WireJob> for JobSpec {
    type Error = DecodeError;

    fn try_from(wire: WireJob) -> Result<Self, Self::Error> {
        Ok(Self {
            team: parse_name(&wire.team)?,
            tasks: wire.tasks,
            size: wire.size.into(),
            group: parse_name(&wire.group)?,
            command: wire.command,
            urgency: wire.urgency.into(),
            idempotent: wire.idempotent,
            failure_limit: wire.failure_limit,
        })
    }
}

impl From<DrainSpec> for WireDrain {
    fn from(drain: DrainSpec) -> Self {
        Self {
            scope: match drain.scope {
                DrainScope::Vm(vm) => WireScope::Vm(name_text(&vm)),
                DrainScope::Rack(rack) => WireScope::Rack(name_text(&rack)),
                DrainScope::Zone(zone) => WireScope::Zone(name_text(&zone)),
            },
        }
    }
}

impl TryFrom<WireDrain> for DrainSpec {
    type Error = DecodeError;

    fn try_from(wire: WireDrain) -> Result<Self, Self::Error> {
        Ok(Self {
            scope: match &wire.scope {
                WireScope::Vm(vm) => DrainScope::Vm(parse_name(vm)?),
                WireScope::Rack(rack) => DrainScope::Rack(parse_name(rack)?),
                WireScope::Zone(zone) => DrainScope::Zone(parse_name(zone)?),
            },
        })
    }
}

fn span_micros(span: TimeSpan) -> u64 {
    u64::try_from(span.0.as_micros()).unwrap_or(u64::MAX)
}

fn micros_span(micros: u64) -> TimeSpan {
    TimeSpan(Duration::from_micros(micros))
}
