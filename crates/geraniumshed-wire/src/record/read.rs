//! Reading of the content of each kind of record.

use std::time::Duration;

use geraniumshed_model::prelude::{
    BindingSpec, CancelSpec, DrainScope, DrainSpec, GroupName, JobSpec, RackName, RecordGeneration,
    RecordKey, RecordKind, RecordName, RecordSpec, RequestRate, ServiceSpec, SlotCount, TeamName,
    TeamSpec, TimeSpan, UrgencyClass, VmId, ZoneName,
};

use super::style::{UnitStyle, read_size, read_span};
use crate::document::{
    BoolField, ChoiceField, IntegerField, ParseContext, ParsedField, SectionReader, TextField,
};

/// The description of valid names in error messages.
pub(super) const NAME_RULE: &str =
    "1 to 63 letters, digits, `-`, `_` or `.`, starting with a letter or digit";
/// The urgency classes, by name.
pub(super) const URGENCY_WORDS: &[(&str, UrgencyClass)] = &[
    ("background", UrgencyClass::Background),
    ("normal", UrgencyClass::Normal),
    ("urgent", UrgencyClass::Urgent),
];

/// The range of a team's weight.
const WEIGHT_RULE: IntegerField = IntegerField(1..=1000);
/// The range of a team's rate, in requests per second.
const RATE_RULE: IntegerField = IntegerField(1..=10_000_000);
/// The range of the number of a service's replicas.
const REPLICA_RULE: IntegerField = IntegerField(1..=10_000);
/// The range of the number of a job's tasks.
const TASK_RULE: IntegerField = IntegerField(1..=100_000);
/// The range of the number of an endpoint's slots, and of its connections.
const SLOT_RULE: IntegerField = IntegerField(1..=100_000);
/// The range of the length limit of a daemon's queue.
const QUEUE_RULE: IntegerField = IntegerField(0..=1_000_000);
/// The range of the failure limit of a task.
const FAILURE_RULE: IntegerField = IntegerField(1..=1000);
/// The rule for the command of a service or a job.
const COMMAND_RULE: TextField = TextField { limit: 4096 };

/// The default number of slots of an endpoint.
const DEFAULT_SLOTS: u32 = 8;
/// The default number of connections of an endpoint.
const DEFAULT_CONNECTIONS: u32 = 60;
/// The default deadline of a service's requests.
const DEFAULT_DEADLINE: TimeSpan = TimeSpan(Duration::from_secs(2));
/// The default latency goal of a service.
const DEFAULT_LATENCY_GOAL: TimeSpan = TimeSpan(Duration::from_millis(250));
/// The default length limit of a daemon's queue.
const DEFAULT_QUEUE_LIMIT: u32 = 256;
/// The default failure limit of a task.
const DEFAULT_FAILURE_LIMIT: u32 = 3;
/// The minimum of a deadline or a latency goal.
const SPAN_MIN: TimeSpan = TimeSpan(Duration::from_millis(1));
/// The maximum of a deadline or a latency goal.
const SPAN_MAX: TimeSpan = TimeSpan(Duration::from_hours(24));

/// Reads the content of a record with a known schema.
pub(super) fn read_spec(
    key: &RecordKey,
    section: &mut SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<RecordSpec> {
    match key.kind {
        RecordKind::Team => read_team(section, style, context).map(RecordSpec::Team),
        RecordKind::Service => {
            read_service(&key.name, section, style, context).map(RecordSpec::Service)
        }
        RecordKind::Binding => read_binding(section, style, context).map(RecordSpec::Binding),
        RecordKind::Job => read_job(&key.name, section, style, context).map(RecordSpec::Job),
        RecordKind::Drain => read_drain(section, context).map(RecordSpec::Drain),
        RecordKind::Cancel => read_cancel(section, context).map(RecordSpec::Cancel),
        RecordKind::Stop => Some(RecordSpec::Stop),
    }
}

fn read_team(
    section: &mut SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<TeamSpec> {
    let mut quota = section.section("quota", context);
    let size = read_size(&mut quota, style, context);
    quota.close(context);
    let weight = section.defaulted("weight", &WEIGHT_RULE, 1, context);
    let rate = section.optional("rate", &RATE_RULE, context);
    Some(TeamSpec {
        quota: size?,
        weight: weight?,
        rate: rate?.map(RequestRate),
    })
}

fn read_service(
    name: &RecordName,
    section: &mut SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<ServiceSpec> {
    let team = read_team_name(section, context);
    let replicas = section.required("replicas", &REPLICA_RULE, context);
    let size = read_size(section, style, context);
    let group = read_group(name, section, context);
    let command = section.required("command", &COMMAND_RULE, context);
    let slots = section.defaulted("slots", &SLOT_RULE, DEFAULT_SLOTS, context);
    let connections = section.defaulted("connections", &SLOT_RULE, DEFAULT_CONNECTIONS, context);
    let range = SPAN_MIN..=SPAN_MAX;
    let deadline = read_span(section, "deadline", range.clone(), style, context);
    let latency_goal = read_span(section, "latency_goal", range, style, context);
    let urgency = read_urgency(section, context);
    let queue_limit = section.defaulted("queue_limit", &QUEUE_RULE, DEFAULT_QUEUE_LIMIT, context);
    let idempotent = section.defaulted("idempotent", &BoolField, false, context);
    let listener = section.defaulted("listener", &BoolField, false, context);
    let deadline = deadline?.unwrap_or(DEFAULT_DEADLINE);
    let spec = ServiceSpec {
        team: team?,
        replicas: replicas?,
        size: size?,
        group: group?,
        command: command?,
        slots: SlotCount(slots?),
        connections: connections?,
        deadline,
        latency_goal: latency_goal?.unwrap_or(DEFAULT_LATENCY_GOAL.min(deadline)),
        urgency: urgency?,
        queue_limit: queue_limit?,
        idempotent: idempotent?,
        listener: listener?,
    };
    check_service(&spec, section, style, context);
    Some(spec)
}

/// Reports the problems of a service that depend on several fields.
fn check_service(
    spec: &ServiceSpec,
    section: &SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) {
    if spec.connections < spec.slots.0 {
        section.report(
            "connections",
            "is less than the number of slots",
            "each slot needs a connection: raise `connections` or lower `slots`",
            context,
        );
    }
    if spec.latency_goal > spec.deadline {
        section.report(
            &style.span_name("latency_goal"),
            "is longer than the deadline",
            "lower the latency goal or raise the deadline",
            context,
        );
    }
}

fn read_binding(
    section: &mut SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<BindingSpec> {
    let service = section.required(
        "service",
        &ParsedField::<RecordName>::new(NAME_RULE),
        context,
    );
    let team = read_team_name(section, context);
    let urgency = read_urgency(section, context);
    let deadline = read_span(section, "deadline", SPAN_MIN..=SPAN_MAX, style, context);
    Some(BindingSpec {
        service: service?,
        team: team?,
        urgency: urgency?,
        deadline: deadline?,
    })
}

fn read_job(
    name: &RecordName,
    section: &mut SectionReader<'_>,
    style: UnitStyle,
    context: &mut ParseContext,
) -> Option<JobSpec> {
    let team = read_team_name(section, context);
    let tasks = section.defaulted("tasks", &TASK_RULE, 1, context);
    let size = read_size(section, style, context);
    let group = read_group(name, section, context);
    let command = section.required("command", &COMMAND_RULE, context);
    let urgency = read_urgency(section, context);
    let idempotent = section.defaulted("idempotent", &BoolField, false, context);
    let failure_limit = section.defaulted(
        "failure_limit",
        &FAILURE_RULE,
        DEFAULT_FAILURE_LIMIT,
        context,
    );
    Some(JobSpec {
        team: team?,
        tasks: tasks?,
        size: size?,
        group: group?,
        command: command?,
        urgency: urgency?,
        idempotent: idempotent?,
        failure_limit: failure_limit?,
    })
}

fn read_drain(section: &mut SectionReader<'_>, context: &mut ParseContext) -> Option<DrainSpec> {
    let vm = section.optional("vm", &ParsedField::<VmId>::new(NAME_RULE), context)?;
    let rack = section.optional("rack", &ParsedField::<RackName>::new(NAME_RULE), context)?;
    let zone = section.optional("zone", &ParsedField::<ZoneName>::new(NAME_RULE), context)?;
    let scope = match (vm, rack, zone) {
        (Some(vm), None, None) => DrainScope::Vm(vm),
        (None, Some(rack), None) => DrainScope::Rack(rack),
        (None, None, Some(zone)) => DrainScope::Zone(zone),
        _ => {
            section.report(
                "vm",
                "is not one scope: a drain has exactly one of `vm`, `rack` and `zone`",
                "publish one record for each scope",
                context,
            );
            return None;
        }
    };
    Some(DrainSpec { scope })
}

fn read_cancel(section: &mut SectionReader<'_>, context: &mut ParseContext) -> Option<CancelSpec> {
    let rule = IntegerField(1..=u32::MAX);
    let generation = section.required("generation", &rule, context)?;
    Some(CancelSpec {
        generation: RecordGeneration(generation.into()),
    })
}

fn read_team_name(section: &mut SectionReader<'_>, context: &mut ParseContext) -> Option<TeamName> {
    section.required("team", &ParsedField::new(NAME_RULE), context)
}

fn read_urgency(
    section: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<UrgencyClass> {
    let rule = ChoiceField(URGENCY_WORDS);
    section.defaulted("urgency", &rule, UrgencyClass::default(), context)
}

/// Reads the group of a service or a job, which defaults to the name of the record.
fn read_group(
    name: &RecordName,
    section: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<GroupName> {
    let found = section.optional("group", &ParsedField::new(NAME_RULE), context)?;
    found.or_else(|| name.as_str().parse().ok())
}
