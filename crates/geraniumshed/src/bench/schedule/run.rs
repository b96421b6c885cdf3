//! Runs the scheduler core on simulated workers under one policy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumshed_core::schedule::{
    LatencyControlSettings, PlacementPolicy, ReactionPolicy, SchedulerSettings, ShardAction,
    ShardCounters, ShardInput, ShardMap, ShardScheduler,
};
use geraniumshed_core::state::{ConfigState, VmTable};
use geraniumshed_model::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::model::{BASE_LATENCY, ModelWorker, SlowdownMatrix};

/// The number of simulated workers.
const WORKERS: u32 = 16;
/// The length of a simulation step.
const STEP: Duration = Duration::from_millis(200);
/// The groups of services.
const SERVICE_GROUPS: [&str; 2] = ["booking", "quote"];
/// The groups of batch tasks.
const BATCH_GROUPS: [&str; 4] = ["regrade", "rebuild", "sync", "export"];
/// The first part of a run, which is excluded from the results.
const WARM_UP: Duration = Duration::from_mins(5);

/// The results of one policy.
#[derive(Debug)]
pub struct PolicyReport {
    /// The median slowdown factor of replicas, over all steps; 1 means none.
    pub slowdown_p50: f64,
    /// The 99th percentile of the slowdown factor of replicas, over all steps.
    pub slowdown_p99: f64,
    /// The batch work done, in processor-seconds of running alone.
    pub batch_work: f64,
    /// The counters of the scheduler's decisions.
    pub counters: ShardCounters,
    /// The task starts per second spent in the scheduler core.
    pub starts_per_second: f64,
}

/// Runs the scheduler core under one policy.
pub fn run_policy(
    policy: PlacementPolicy,
    reaction: ReactionPolicy,
    seed: u64,
    minutes: u64,
) -> PolicyReport {
    let settings = SchedulerSettings {
        policy,
        latency_control: LatencyControlSettings {
            reaction,
            ..LatencyControlSettings::default()
        },
        ..SchedulerSettings::default()
    };
    let mut cluster = BenchCluster::open(settings, seed);
    let end = cluster.now + Duration::from_mins(minutes);
    let warm_up_end = cluster.now + WARM_UP;
    let (mut slowdowns, mut batch_work) = (Vec::new(), 0.0);
    while cluster.now < end {
        let (step_slowdowns, step_work) = cluster.step();
        if cluster.now >= warm_up_end {
            slowdowns.extend(step_slowdowns);
            batch_work += step_work;
        }
    }
    slowdowns.sort_by(f64::total_cmp);
    let counters = cluster.scheduler.status().counters;
    PolicyReport {
        slowdown_p50: percentile(&slowdowns, 50),
        slowdown_p99: percentile(&slowdowns, 99),
        batch_work,
        counters,
        starts_per_second: counters.starts as f64 / cluster.core_time.as_secs_f64(),
    }
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// The scheduler core with simulated workers and a simulated log.
///
/// The answer to each action is passed back at once; the actions that follow from it are performed
/// in the next step.
#[derive(Debug)]
struct BenchCluster {
    now: TimePoint,
    scheduler: ShardScheduler,
    workers: BTreeMap<VmId, ModelWorker>,
    matrix: SlowdownMatrix,
    rng: ChaCha8Rng,
    actions: Vec<ShardAction>,
    offset: LogOffset,
    vms: VmTable,
    core_time: Duration,
}

impl BenchCluster {
    fn open(settings: SchedulerSettings, seed: u64) -> Self {
        let now = TimePoint(1_000_000);
        let region: RegionName = parse("uy");
        let map = ShardMap::new(1, vec![region]);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let matrix = draw_matrix(&mut rng);
        let workers = (0..WORKERS).map(|number| ModelWorker::new(worker_vm(number)));
        let mut cluster = Self {
            now,
            scheduler: ShardScheduler::new(ShardId(0), ShardTerm(1), map, settings, now),
            workers: workers.map(|w| (w.vm().vm.clone(), w)).collect(),
            matrix,
            rng,
            actions: Vec::new(),
            offset: LogOffset(0),
            vms: VmTable::default(),
            core_time: Duration::ZERO,
        };
        cluster.input(ShardInput::Config(Arc::new(records())));
        cluster
    }

    fn input(&mut self, input: ShardInput) {
        let begin = Instant::now();
        let actions = self.scheduler.handle(self.now, input);
        self.core_time += begin.elapsed();
        self.actions.extend(actions);
    }

    /// Advances the simulation by one step. Returns the replicas' slowdowns and the batch work.
    fn step(&mut self) -> (Vec<f64>, f64) {
        self.now = self.now + STEP;
        let (mut slowdowns, mut batch) = (Vec::new(), 0.0);
        for worker in self.workers.values_mut() {
            let measure = worker.step(self.now, STEP, &self.matrix);
            slowdowns.extend(measure.service);
            batch += measure.batch;
        }
        let vm_list = self.workers.values().map(|worker| worker.vm().clone());
        let vm_list = vm_list.collect();
        self.vms.apply(self.now, Duration::ZERO, true, vm_list);
        let vms = Arc::new(self.vms.clone());
        self.input(ShardInput::Vms(vms));
        self.input(ShardInput::Tick);
        for action in std::mem::take(&mut self.actions) {
            self.perform(action);
        }
        (slowdowns, batch)
    }

    fn perform(&mut self, action: ShardAction) {
        match action {
            ShardAction::Append(events) => {
                let offset = self.offset;
                self.offset = offset.next();
                let mark = WriterMark {
                    incarnation: DaemonIncarnation(1),
                    sequence: offset.0 + 1,
                };
                let term = ShardTerm(1);
                let batch = LogBatch { mark, term, events };
                self.input(ShardInput::Read { offset, batch });
            }
            ShardAction::Seize { worker, .. } => {
                let outcome = Ok(self.workers[&worker].seize());
                self.input(ShardInput::Seized { worker, outcome });
            }
            ShardAction::Exchange {
                worker, request, ..
            } => {
                let Some(entry) = self.workers.get_mut(&worker) else {
                    return;
                };
                let reply = entry.exchange(self.now, &request, &self.matrix, &mut self.rng);
                self.input(ShardInput::Exchanged {
                    worker,
                    sequence: request.sequence,
                    outcome: Ok(reply),
                });
            }
            ShardAction::Publish(_)
            | ShardAction::Report(_)
            | ShardAction::Move { .. }
            | ShardAction::Superseded => {}
        }
    }
}

fn parse<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the names in the benchmark are valid")
}

fn worker_vm(number: u32) -> VmEntry {
    VmEntry {
        vm: parse(&format!("worker-{number}")),
        role: VmRole::Worker,
        phase: VmPhase::Live,
        region: parse("uy"),
        zone: parse(&format!("zone-{}", number % 3)),
        rack: parse(&format!("rack-{}", number / 8)),
        address: parse(&format!("127.0.0.1:{}", 10_000 + number)),
        size: processors(32),
    }
}

fn processors(count: u32) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(count * 1000),
        memory: MemorySize(u64::from(count) * 3_900_000_000),
        accelerators: AcceleratorCount(0),
    }
}

/// Draws a slowdown matrix in which a third of the pairs interfere strongly and the others hardly.
fn draw_matrix(rng: &mut ChaCha8Rng) -> SlowdownMatrix {
    let mut matrix = SlowdownMatrix::new();
    for group in SERVICE_GROUPS.iter().chain(&BATCH_GROUPS) {
        for neighbour in &BATCH_GROUPS {
            let strong = rng.random_bool(1.0 / 3.0);
            let slowdown = if strong {
                rng.random_range(0.8..2.5)
            } else {
                rng.random_range(0.0..0.1)
            };
            matrix.insert((parse(group), parse(neighbour)), slowdown);
        }
    }
    matrix
}

/// Returns the records: services for an eighth of the processors, and more batch work than the rest
/// can run.
fn records() -> ConfigState {
    let mut config = ConfigState::default();
    let mut offset = LogOffset(0);
    let services = SERVICE_GROUPS.map(|name| (name, RecordSpec::Service(service(name))));
    let jobs = BATCH_GROUPS.map(|name| (name, RecordSpec::Job(job(name))));
    for (name, spec) in services.into_iter().chain(jobs) {
        let key = RecordKey {
            kind: spec.kind(),
            name: parse(name),
        };
        let event = ConfigEvent::Publish {
            key,
            schema: SchemaVersion::V2,
            replaces: RecordGeneration(0),
            body: RecordBody::Known(spec),
        };
        config.apply(offset, &event);
        offset = offset.next();
    }
    config
}

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        team: parse("agents"),
        replicas: 8,
        size: processors(4),
        group: parse(name),
        command: "serve".into(),
        slots: SlotCount(8),
        connections: 60,
        deadline: TimeSpan(Duration::from_secs(1)),
        latency_goal: TimeSpan(BASE_LATENCY.mul_f64(1.2)),
        urgency: UrgencyClass::Normal,
        queue_limit: 100,
        idempotent: false,
        listener: false,
    }
}

fn job(name: &str) -> JobSpec {
    JobSpec {
        team: parse(name),
        tasks: 20_000,
        size: processors(4),
        group: parse(name),
        command: "run=2m".into(),
        urgency: UrgencyClass::Normal,
        idempotent: true,
        failure_limit: 3,
    }
}
