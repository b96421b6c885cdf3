//! The content of records on the wire.

use geraniumshed_model::prelude::{
    BindingSpec, CancelSpec, DrainScope, DrainSpec, JobSpec, RecordGeneration, RecordSpec,
    RequestRate, ServiceSpec, SlotCount, TeamSpec,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};
use crate::common::{ResourceSizeWire, UrgencyClassWire, span_from_micros, span_to_micros};

/// A [`TeamSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSpecWire {
    quota: ResourceSizeWire,
    weight: u32,
    rate: Option<u32>,
}

/// A [`ServiceSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpecWire {
    team: SmolStr,
    replicas: u32,
    size: ResourceSizeWire,
    group: SmolStr,
    command: SmolStr,
    slots: u32,
    connections: u32,
    deadline_us: u64,
    latency_goal_us: u64,
    urgency: UrgencyClassWire,
    queue_limit: u32,
    idempotent: bool,
    listener: bool,
}

/// A [`BindingSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BindingSpecWire {
    service: SmolStr,
    team: SmolStr,
    urgency: UrgencyClassWire,
    deadline_us: Option<u64>,
}

/// A [`JobSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpecWire {
    team: SmolStr,
    tasks: u32,
    size: ResourceSizeWire,
    group: SmolStr,
    command: SmolStr,
    urgency: UrgencyClassWire,
    idempotent: bool,
    failure_limit: u32,
}

/// A [`DrainScope`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainScopeWire {
    /// One VM.
    Vm(SmolStr),
    /// A rack.
    Rack(SmolStr),
    /// An availability zone.
    Zone(SmolStr),
}

/// A [`DrainSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainSpecWire {
    scope: DrainScopeWire,
}

/// A [`RecordSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordSpecWire {
    /// A team.
    Team(TeamSpecWire),
    /// A service.
    Service(Box<ServiceSpecWire>),
    /// A binding.
    Binding(BindingSpecWire),
    /// A job.
    Job(Box<JobSpecWire>),
    /// A drain.
    Drain(DrainSpecWire),
    /// A cancellation, with the generation of the job to cancel.
    Cancel(u64),
    /// A stop.
    Stop,
}

impl From<RecordSpec> for RecordSpecWire {
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

impl TryFrom<RecordSpecWire> for RecordSpec {
    type Error = DecodeError;

    fn try_from(wire: RecordSpecWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            RecordSpecWire::Team(team) => Self::Team(team.into()),
            RecordSpecWire::Service(service) => Self::Service((*service).try_into()?),
            RecordSpecWire::Binding(binding) => Self::Binding(binding.try_into()?),
            RecordSpecWire::Job(job) => Self::Job((*job).try_into()?),
            RecordSpecWire::Drain(drain) => Self::Drain(drain.try_into()?),
            RecordSpecWire::Cancel(generation) => Self::Cancel(CancelSpec {
                generation: RecordGeneration(generation),
            }),
            RecordSpecWire::Stop => Self::Stop,
        })
    }
}

impl From<TeamSpec> for TeamSpecWire {
    fn from(team: TeamSpec) -> Self {
        Self {
            quota: team.quota.into(),
            weight: team.weight,
            rate: team.rate.map(|rate| rate.0),
        }
    }
}

impl From<TeamSpecWire> for TeamSpec {
    fn from(wire: TeamSpecWire) -> Self {
        Self {
            quota: wire.quota.into(),
            weight: wire.weight,
            rate: wire.rate.map(RequestRate),
        }
    }
}

impl From<ServiceSpec> for ServiceSpecWire {
    fn from(service: ServiceSpec) -> Self {
        Self {
            team: name_text(&service.team),
            replicas: service.replicas,
            size: service.size.into(),
            group: name_text(&service.group),
            command: service.command,
            slots: service.slots.0,
            connections: service.connections,
            deadline_us: span_to_micros(service.deadline),
            latency_goal_us: span_to_micros(service.latency_goal),
            urgency: service.urgency.into(),
            queue_limit: service.queue_limit,
            idempotent: service.idempotent,
            listener: service.listener,
        }
    }
}

impl TryFrom<ServiceSpecWire> for ServiceSpec {
    type Error = DecodeError;

    fn try_from(wire: ServiceSpecWire) -> Result<Self, Self::Error> {
        Ok(Self {
            team: parse_name(&wire.team)?,
            replicas: wire.replicas,
            size: wire.size.into(),
            group: parse_name(&wire.group)?,
            command: wire.command,
            slots: SlotCount(wire.slots),
            connections: wire.connections,
            deadline: span_from_micros(wire.deadline_us),
            latency_goal: span_from_micros(wire.latency_goal_us),
            urgency: wire.urgency.into(),
            queue_limit: wire.queue_limit,
            idempotent: wire.idempotent,
            listener: wire.listener,
        })
    }
}

impl From<BindingSpec> for BindingSpecWire {
    fn from(binding: BindingSpec) -> Self {
        Self {
            service: name_text(&binding.service),
            team: name_text(&binding.team),
            urgency: binding.urgency.into(),
            deadline_us: binding.deadline.map(span_to_micros),
        }
    }
}

impl TryFrom<BindingSpecWire> for BindingSpec {
    type Error = DecodeError;

    fn try_from(wire: BindingSpecWire) -> Result<Self, Self::Error> {
        Ok(Self {
            service: parse_name(&wire.service)?,
            team: parse_name(&wire.team)?,
            urgency: wire.urgency.into(),
            deadline: wire.deadline_us.map(span_from_micros),
        })
    }
}

impl From<JobSpec> for JobSpecWire {
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

impl TryFrom<JobSpecWire> for JobSpec {
    type Error = DecodeError;

    fn try_from(wire: JobSpecWire) -> Result<Self, Self::Error> {
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

impl From<DrainSpec> for DrainSpecWire {
    fn from(drain: DrainSpec) -> Self {
        Self {
            scope: match drain.scope {
                DrainScope::Vm(vm) => DrainScopeWire::Vm(name_text(&vm)),
                DrainScope::Rack(rack) => DrainScopeWire::Rack(name_text(&rack)),
                DrainScope::Zone(zone) => DrainScopeWire::Zone(name_text(&zone)),
            },
        }
    }
}

impl TryFrom<DrainSpecWire> for DrainSpec {
    type Error = DecodeError;

    fn try_from(wire: DrainSpecWire) -> Result<Self, Self::Error> {
        Ok(Self {
            scope: match &wire.scope {
                DrainScopeWire::Vm(vm) => DrainScope::Vm(parse_name(vm)?),
                DrainScopeWire::Rack(rack) => DrainScope::Rack(parse_name(rack)?),
                DrainScopeWire::Zone(zone) => DrainScope::Zone(parse_name(zone)?),
            },
        })
    }
}
