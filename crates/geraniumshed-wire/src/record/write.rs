//! Writing of records in force, in the form of record files.

use geraniumshed_model::prelude::{
    BindingSpec, DrainScope, JobSpec, OperatorRecord, RecordSpec, SchemaVersion, ServiceSpec,
    TeamSpec,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};

use super::style::{FieldMap, UnitStyle, write_size, write_span};

/// A record in force, in the schema that it was written in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordDocument {
    /// The schema.
    pub schema: u16,
    /// The kind.
    pub kind: SmolStr,
    /// The name.
    pub name: SmolStr,
    /// The generation in force, which a changed version of the record has to replace.
    pub replaces: u64,
    /// The content of the record.
    pub spec: FieldMap,
}

impl From<&OperatorRecord> for RecordDocument {
    fn from(record: &OperatorRecord) -> Self {
        let style = UnitStyle::of(record.schema).unwrap_or(UnitStyle::Units);
        let schema = match style {
            UnitStyle::Plain => SchemaVersion::V1,
            UnitStyle::Units => SchemaVersion::V2,
        };
        Self {
            schema: schema.0,
            kind: SmolStr::new_static(record.key.kind.name()),
            name: record.key.name.to_smolstr(),
            replaces: record.generation.0,
            spec: write_spec(&record.spec, style),
        }
    }
}

/// Writes the content of a record.
fn write_spec(spec: &RecordSpec, style: UnitStyle) -> FieldMap {
    let mut fields = FieldMap::new();
    match spec {
        RecordSpec::Team(team) => write_team(&mut fields, team, style),
        RecordSpec::Service(service) => write_service(&mut fields, service, style),
        RecordSpec::Binding(binding) => write_binding(&mut fields, binding, style),
        RecordSpec::Job(job) => write_job(&mut fields, job, style),
        RecordSpec::Drain(drain) => {
            let (name, value) = match &drain.scope {
                DrainScope::Vm(vm) => ("vm", vm.to_string()),
                DrainScope::Rack(rack) => ("rack", rack.to_string()),
                DrainScope::Zone(zone) => ("zone", zone.to_string()),
            };
            fields.insert(name.into(), value.into());
        }
        RecordSpec::Cancel(cancel) => {
            fields.insert("generation".into(), cancel.generation.0.into());
        }
        RecordSpec::Stop => {}
    }
    fields
}

fn write_team(fields: &mut FieldMap, team: &TeamSpec, style: UnitStyle) {
    let mut quota = FieldMap::new();
    write_size(&mut quota, &team.quota, style);
    fields.insert("quota".into(), Value::Object(quota));
    fields.insert("weight".into(), team.weight.into());
    if let Some(rate) = team.rate {
        fields.insert("rate".into(), rate.0.into());
    }
}

fn write_service(fields: &mut FieldMap, service: &ServiceSpec, style: UnitStyle) {
    fields.insert("team".into(), service.team.as_str().into());
    fields.insert("replicas".into(), service.replicas.into());
    write_size(fields, &service.size, style);
    fields.insert("group".into(), service.group.as_str().into());
    fields.insert("command".into(), service.command.as_str().into());
    fields.insert("slots".into(), service.slots.0.into());
    fields.insert("connections".into(), service.connections.into());
    write_span(fields, "deadline", service.deadline, style);
    write_span(fields, "latency_goal", service.latency_goal, style);
    fields.insert("urgency".into(), service.urgency.to_string().into());
    fields.insert("queue_limit".into(), service.queue_limit.into());
    fields.insert("idempotent".into(), service.idempotent.into());
    fields.insert("listener".into(), service.listener.into());
}

fn write_binding(fields: &mut FieldMap, binding: &BindingSpec, style: UnitStyle) {
    fields.insert("service".into(), binding.service.as_str().into());
    fields.insert("team".into(), binding.team.as_str().into());
    fields.insert("urgency".into(), binding.urgency.to_string().into());
    if let Some(deadline) = binding.deadline {
        write_span(fields, "deadline", deadline, style);
    }
}

fn write_job(fields: &mut FieldMap, job: &JobSpec, style: UnitStyle) {
    fields.insert("team".into(), job.team.as_str().into());
    fields.insert("tasks".into(), job.tasks.into());
    write_size(fields, &job.size, style);
    fields.insert("group".into(), job.group.as_str().into());
    fields.insert("command".into(), job.command.as_str().into());
    fields.insert("urgency".into(), job.urgency.to_string().into());
    fields.insert("idempotent".into(), job.idempotent.into());
    fields.insert("failure_limit".into(), job.failure_limit.into());
}
