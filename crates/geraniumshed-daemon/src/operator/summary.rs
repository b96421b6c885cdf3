//! The state of services and jobs, which every daemon knows from the records and endpoints.

use geraniumshed_core::state::{ConfigState, EndpointDirectory};
use geraniumshed_model::prelude::{EndpointPhase, RecordKey, RecordKind, RecordName, RecordSpec};
use geraniumshed_wire::operator::{JobState, ServiceState};
use smol_str::{SmolStr, ToSmolStr};

/// Returns the state of all services.
pub fn summarize_services(
    config: &ConfigState,
    directory: &EndpointDirectory,
) -> Vec<ServiceState> {
    let mut services = Vec::new();
    for record in config.records(RecordKind::Service) {
        let RecordSpec::Service(spec) = &record.spec else {
            continue;
        };
        let name = &record.key.name;
        services.push(ServiceState {
            name: name.to_smolstr(),
            generation: record.generation.0,
            replicas: spec.replicas,
            ready: count_endpoints(directory, name, EndpointPhase::Ready),
            leaving: count_endpoints(directory, name, EndpointPhase::Leaving),
            bindings: binding_names(config, name),
            stopped: is_in_force(config, RecordKind::Stop, name),
        });
    }
    services
}

/// Returns the state of all jobs; `progress` returns the numbers of completed and failed tasks.
pub fn summarize_jobs(
    config: &ConfigState,
    progress: impl Fn(&RecordKey) -> (u32, u32),
) -> Vec<JobState> {
    let mut jobs = Vec::new();
    for record in config.records(RecordKind::Job) {
        let RecordSpec::Job(spec) = &record.spec else {
            continue;
        };
        let (completed, failed) = progress(&record.key);
        jobs.push(JobState {
            name: record.key.name.to_smolstr(),
            generation: record.generation.0,
            tasks: spec.tasks,
            completed,
            failed,
            cancelled: is_in_force(config, RecordKind::Cancel, &record.key.name),
        });
    }
    jobs
}

fn count_endpoints(
    directory: &EndpointDirectory,
    service: &RecordName,
    phase: EndpointPhase,
) -> u32 {
    let endpoints = directory.endpoints(service);
    let count = endpoints.filter(|entry| entry.phase == phase).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn binding_names(config: &ConfigState, service: &RecordName) -> Vec<SmolStr> {
    config
        .records(RecordKind::Binding)
        .filter(
            |record| matches!(&record.spec, RecordSpec::Binding(spec) if spec.service == *service),
        )
        .map(|record| record.key.name.to_smolstr())
        .collect()
}

fn is_in_force(config: &ConfigState, kind: RecordKind, name: &RecordName) -> bool {
    let key = RecordKey {
        kind,
        name: name.clone(),
    };
    config.record(&key).is_some()
}
