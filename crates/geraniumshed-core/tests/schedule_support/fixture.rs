//! Records, workers and settings for tests of the scheduler.

use std::time::Duration;

use geraniumshed_core::schedule::ShardMap;
use geraniumshed_model::prelude::*;

use super::fake_worker::FakeWorker;

pub fn shard_map() -> ShardMap {
    ShardMap::new(1, vec!["uy".parse().expect("a valid name")])
}

pub fn size(processors: u32, gigabytes: u64) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors * 1000),
        memory: MemorySize(gigabytes * 1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}

/// Returns a worker with 8 processors and 32 GB, in one of three zones and a rack of two workers.
pub fn worker(number: u32) -> FakeWorker {
    let zone = number % 3;
    let rack = number / 6;
    FakeWorker::new(VmEntry {
        vm: format!("worker-{number}").parse().expect("a valid id"),
        role: VmRole::Worker,
        phase: VmPhase::Live,
        region: "uy".parse().expect("a valid name"),
        zone: format!("zone-{zone}").parse().expect("a valid name"),
        rack: format!("rack-{zone}-{rack}").parse().expect("a valid name"),
        address: format!("127.0.0.1:{}", 10_000 + number)
            .parse()
            .expect("a valid address"),
        size: size(8, 32),
    })
}

pub fn workers(count: u32) -> Vec<FakeWorker> {
    (0..count).map(worker).collect()
}

pub fn job(tasks: u32, processors: u32, idempotent: bool) -> JobSpec {
    JobSpec {
        team: "atelier".parse().expect("a valid name"),
        tasks,
        size: size(processors, u64::from(processors)),
        group: "regrade".parse().expect("a valid name"),
        command: "run=5s".into(),
        urgency: UrgencyClass::Normal,
        idempotent,
        failure_limit: 3,
    }
}

pub fn service(replicas: u32, processors: u32) -> ServiceSpec {
    ServiceSpec {
        team: "agents".parse().expect("a valid name"),
        replicas,
        size: size(processors, u64::from(processors)),
        group: "booking".parse().expect("a valid name"),
        command: "serve".into(),
        slots: SlotCount(8),
        connections: 60,
        deadline: TimeSpan(Duration::from_secs(1)),
        latency_goal: TimeSpan(Duration::from_millis(50)),
        urgency: UrgencyClass::Normal,
        queue_limit: 100,
        idempotent: false,
        listener: false,
    }
}

pub fn task(record: &str, generation: u64, index: u32) -> TaskId {
    TaskId {
        record: record.parse().expect("a valid name"),
        generation: RecordGeneration(generation),
        index,
    }
}
