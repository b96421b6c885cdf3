//! Resolves the name in a request's path, which is that of a binding or else of a service.

use std::time::Duration;

use geraniumshed_core::state::ConfigState;
use geraniumshed_model::prelude::{
    RecordKey, RecordKind, RecordName, RecordSpec, RequestRate, ServiceSpec, TeamName, UrgencyClass,
};

/// The service that a request is for, with the limits that apply to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTarget {
    /// The name of the service.
    pub service: RecordName,
    /// The specification of the service.
    pub spec: ServiceSpec,
    /// The team whose rate limit the request counts against.
    pub team: TeamName,
    /// The rate limit of the team across all daemons, if it has one.
    pub rate: Option<RequestRate>,
    /// The priority of the request when the service is overloaded.
    pub urgency: UrgencyClass,
    /// The time within which the request has to be answered.
    pub deadline: Duration,
}

/// Returns the target of a name. A binding takes precedence over a service of the same name.
pub fn find_target(config: &ConfigState, name: &RecordName) -> Option<ServiceTarget> {
    let binding = match lookup(config, RecordKind::Binding, name) {
        Some(RecordSpec::Binding(binding)) => Some(binding),
        _ => None,
    };
    let service = binding.map_or(name, |binding| &binding.service);
    let Some(RecordSpec::Service(spec)) = lookup(config, RecordKind::Service, service) else {
        return None;
    };
    let team = binding.map_or(&spec.team, |binding| &binding.team);
    let deadline = binding
        .and_then(|binding| binding.deadline)
        .unwrap_or(spec.deadline);
    Some(ServiceTarget {
        service: service.clone(),
        spec: spec.clone(),
        team: team.clone(),
        rate: team_rate(config, team),
        urgency: binding.map_or(spec.urgency, |binding| binding.urgency),
        deadline: deadline.0,
    })
}

/// Returns all services that are in force.
pub fn services(config: &ConfigState) -> impl Iterator<Item = (&RecordName, &ServiceSpec)> {
    config
        .records(RecordKind::Service)
        .filter_map(|record| match &record.spec {
            RecordSpec::Service(spec) => Some((&record.key.name, spec)),
            _ => None,
        })
}

fn team_rate(config: &ConfigState, team: &TeamName) -> Option<RequestRate> {
    let name = team.as_str().parse().ok()?;
    match lookup(config, RecordKind::Team, &name)? {
        RecordSpec::Team(team) => team.rate,
        _ => None,
    }
}

fn lookup<'a>(
    config: &'a ConfigState,
    kind: RecordKind,
    name: &RecordName,
) -> Option<&'a RecordSpec> {
    let key = RecordKey {
        kind,
        name: name.clone(),
    };
    config.record(&key).map(|record| &record.spec)
}
