//! The running stand-ins of one cluster.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::{
    RackName, RegionName, TaskId, TimeSpan, VmEntry, VmId, VmPhase, VmRole, ZoneName,
};
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::fault::{FaultCommand, FaultError, LogFault, ProxyAction, ProxyTarget, VmListFault};
use super::settings::{EntrySettings, StandinSettings};
use crate::clock::{StandinClock, micros};
use crate::history::{HistoryRecorder, LeavingRecord, VmRecord};
use crate::http::TrafficReport;
use crate::log::{LogMode, LogServer, Retention};
use crate::proxy::FaultProxy;
use crate::seed::mix_seed;
use crate::vm_list::{VmListMode, VmListServer};
use crate::worker::{
    CheckpointStore, InterferenceMatrix, WorkerConfig, WorkerServer, WorkerSwitch,
};

/// A running worker with its zone and rack.
#[derive(Debug)]
struct LocatedWorker {
    zone: ZoneName,
    rack: RackName,
    server: WorkerServer,
    proxy: Option<FaultProxy>,
}

impl LocatedWorker {
    fn address(&self) -> SocketAddr {
        public_address(self.server.address(), self.proxy.as_ref())
    }
}

/// The running stand-ins of one cluster.
#[derive(Debug)]
pub struct StandinSet {
    settings: StandinSettings,
    recorder: HistoryRecorder,
    checkpoints: CheckpointStore,
    log: LogServer,
    log_proxy: Option<FaultProxy>,
    vm_list: VmListServer,
    vm_list_proxy: Option<FaultProxy>,
    workers: BTreeMap<VmId, LocatedWorker>,
}

/// The addresses of the stand-ins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SetStatus {
    /// The address of the log.
    pub log: SocketAddr,
    /// The address of the VM list.
    pub vm_list: SocketAddr,
    /// The number of appends that took effect in the log.
    pub appends: u64,
    /// The workers.
    pub workers: Vec<WorkerStatus>,
}

/// The traffic of the platform's interfaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SetTraffic {
    /// The log.
    pub log: TrafficReport,
    /// The VM list.
    pub vm_list: TrafficReport,
    /// The control interfaces of all workers.
    pub workers: TrafficReport,
}

/// The location and the addresses of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WorkerStatus {
    /// The VM.
    pub vm: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The rack.
    pub rack: SmolStr,
    /// The address of its control interface.
    pub address: SocketAddr,
    /// The addresses of its endpoints by task.
    pub endpoints: BTreeMap<SmolStr, SocketAddr>,
}

impl StandinSet {
    /// Starts the stand-ins according to the settings.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket if a port can't be taken, or an error that names the invalid
    /// setting.
    pub fn open(settings: StandinSettings) -> io::Result<Self> {
        let clock = StandinClock::start();
        let retention = Retention {
            entries: settings.log.keep_entries,
            age: settings.log.keep_for.map(|span| span.0),
        };
        let log = LogServer::bind(settings.log.port, clock, retention)?;
        let mode = VmListMode {
            lag: settings.vm_list_lag.0,
            ..VmListMode::default()
        };
        let vm_list = VmListServer::bind(settings.vm_list_port, clock, mode)?;
        let mut set = Self {
            log_proxy: bind_proxy(&settings, "log", log.address())?,
            vm_list_proxy: bind_proxy(&settings, "vm-list", vm_list.address())?,
            recorder: HistoryRecorder::open(clock),
            checkpoints: CheckpointStore::default(),
            workers: BTreeMap::new(),
            log,
            vm_list,
            settings,
        };
        for index in 0..set.settings.workers.count {
            set.add_worker(index)?;
        }
        for entry in set.settings.entries.clone() {
            set.add_entry(&entry)?;
        }
        Ok(set)
    }

    /// Returns the settings.
    pub fn settings(&self) -> &StandinSettings {
        &self.settings
    }

    /// Returns the recorder of everything that runs on the stand-ins.
    pub fn recorder(&self) -> &HistoryRecorder {
        &self.recorder
    }

    /// Returns the log.
    pub fn log(&self) -> &LogServer {
        &self.log
    }

    /// Returns the address of the log, or of the proxy in front of it.
    pub fn log_address(&self) -> SocketAddr {
        public_address(self.log.address(), self.log_proxy.as_ref())
    }

    /// Returns the VM list.
    pub fn vm_list(&self) -> &VmListServer {
        &self.vm_list
    }

    /// Returns the address of the VM list, or of the proxy in front of it.
    pub fn vm_list_address(&self) -> SocketAddr {
        public_address(self.vm_list.address(), self.vm_list_proxy.as_ref())
    }

    /// Returns a worker.
    pub fn worker(&self, vm: &VmId) -> Option<&WorkerServer> {
        self.workers.get(vm).map(|worker| &worker.server)
    }

    /// Returns the ids of all workers, in order.
    pub fn worker_ids(&self) -> impl Iterator<Item = &VmId> {
        self.workers.keys()
    }

    /// Returns the worker that runs the endpoint of a task.
    pub fn worker_of(&self, task: &TaskId) -> Option<&VmId> {
        self.workers
            .iter()
            .find(|(_, worker)| worker.server.endpoints().iter().any(|(t, _)| t == task))
            .map(|(vm, _)| vm)
    }

    /// Returns the addresses of the stand-ins.
    pub fn status(&self) -> SetStatus {
        let workers = self.workers.iter().map(|(vm, worker)| WorkerStatus {
            vm: vm.to_smolstr(),
            zone: worker.zone.to_smolstr(),
            rack: worker.rack.to_smolstr(),
            address: worker.address(),
            endpoints: worker
                .server
                .endpoints()
                .into_iter()
                .map(|(task, address)| (task.to_smolstr(), address))
                .collect(),
        });
        SetStatus {
            log: self.log_address(),
            vm_list: self.vm_list_address(),
            appends: self.log.appends(),
            workers: workers.collect(),
        }
    }

    /// Returns the traffic of the platform's interfaces so far.
    pub fn traffic(&self) -> SetTraffic {
        let workers = self.workers.values().map(|worker| worker.server.traffic());
        SetTraffic {
            log: self.log.traffic(),
            vm_list: self.vm_list.traffic(),
            workers: workers.fold(TrafficReport::default(), |sum, each| sum.plus(&each)),
        }
    }

    /// Adds an entry VM to the VM list, or changes its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings don't define the entry's availability zone.
    pub fn add_entry(&self, entry: &EntrySettings) -> io::Result<()> {
        let region = self.region(&entry.zone)?;
        self.vm_list.set(VmEntry {
            vm: entry.vm.clone(),
            role: VmRole::Entry,
            phase: VmPhase::Live,
            region,
            rack: valid_name(&format_smolstr!("{}-entry", entry.zone))?,
            zone: entry.zone.clone(),
            address: entry.address,
            size: self.settings.workers.size(),
        });
        Ok(())
    }

    /// Crashes a worker and marks it as gone in the VM list, which shows it after its lag.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such worker.
    pub fn kill_worker(&self, vm: &VmId) -> Result<(), FaultError> {
        self.find_worker(vm)?.server.switch(WorkerSwitch::Kill);
        self.set_phase(vm, VmPhase::Gone)
    }

    /// Changes the phase of a VM in the list.
    ///
    /// A leaving VM is recorded as leaving from the time at which the list shows it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn set_phase(&self, vm: &VmId, phase: VmPhase) -> Result<(), FaultError> {
        if !self.vm_list.set_phase(vm, phase) {
            return Err(FaultError::UnknownVm(vm.to_smolstr()));
        }
        if phase == VmPhase::Leaving {
            let now = self.recorder.clock().now();
            self.recorder.add_leaving(LeavingRecord {
                name: vm.to_smolstr(),
                since: now.0 + micros(self.vm_list.mode().lag),
            });
        }
        Ok(())
    }

    /// Injects or clears a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if the command contains an invalid name, an unknown VM, or a proxy fault
    /// while proxies are disabled.
    pub fn switch(&self, command: &FaultCommand) -> Result<(), FaultError> {
        match command {
            FaultCommand::Log(fault) => self.log.set_mode(log_mode(*fault)),
            FaultCommand::ExpireLog { keep } => self.log.expire(*keep),
            FaultCommand::LoseCheckpoints => self.checkpoints.lose_all(),
            FaultCommand::VmList(fault) => self.switch_vm_list(*fault),
            FaultCommand::SetVm(entry) => {
                let entry = entry.clone().try_into();
                self.vm_list.set(entry.map_err(invalid)?);
            }
            FaultCommand::VmPhase { vm, phase } => {
                self.set_phase(&vm.parse().map_err(invalid)?, (*phase).into())?;
            }
            FaultCommand::Worker { vm, switch } => {
                let worker = self.find_worker(&vm.parse().map_err(invalid)?)?;
                worker.server.switch(*switch);
            }
            FaultCommand::Endpoint { task, fault } => {
                let task = parse_task(task.as_ref())?;
                for worker in self.workers.values() {
                    worker.server.set_endpoint_fault(task.as_ref(), *fault);
                }
            }
            FaultCommand::Proxy { target, action } => self.switch_proxy(target, *action)?,
        }
        Ok(())
    }

    fn switch_vm_list(&self, fault: VmListFault) {
        let lag = fault.lag_ms.map(Duration::from_millis);
        self.vm_list.set_mode(VmListMode {
            lag: lag.unwrap_or_else(|| self.vm_list.mode().lag),
            empty: fault.empty,
            down: fault.down,
        });
    }

    fn switch_proxy(&self, target: &ProxyTarget, action: ProxyAction) -> Result<(), FaultError> {
        if !self.settings.proxied {
            return Err(FaultError::NotProxied);
        }
        let apply = |proxy: &FaultProxy| apply_action(proxy, action);
        let is_all = *target == ProxyTarget::All;
        if is_all || *target == ProxyTarget::Log {
            self.log_proxy.iter().for_each(apply);
        }
        if is_all || *target == ProxyTarget::VmList {
            self.vm_list_proxy.iter().for_each(apply);
        }
        match target {
            ProxyTarget::Log | ProxyTarget::VmList => {}
            ProxyTarget::Worker { vm } => {
                let worker = self.find_worker(&vm.parse().map_err(invalid)?)?;
                worker.proxy.iter().for_each(apply);
            }
            ProxyTarget::Endpoints { task } => {
                let task = parse_task(task.as_ref())?;
                for worker in self.workers.values() {
                    worker.server.for_each_endpoint_proxy(task.as_ref(), apply);
                }
            }
            ProxyTarget::All => {
                for worker in self.workers.values() {
                    worker.proxy.iter().for_each(apply);
                    worker.server.for_each_endpoint_proxy(None, apply);
                }
            }
        }
        Ok(())
    }

    fn add_worker(&mut self, index: usize) -> io::Result<()> {
        let zones = &self.settings.zones;
        let Some(zone) = zones.get(index % zones.len().max(1)) else {
            return Err(io::Error::other("`zones` is empty: name at least one"));
        };
        let (zone, region) = (zone.name.clone(), zone.region.clone());
        let rack_index = index / zones.len() / self.settings.workers.per_rack.max(1);
        let rack: RackName = valid_name(&format_smolstr!("{zone}-rack-{rack_index}"))?;
        let vm: VmId = valid_name(&format_smolstr!("worker-{index}"))?;
        let size = self.settings.workers.size();
        let server = WorkerServer::bind(0, self.worker_config(&vm))?;
        let proxy = bind_proxy(&self.settings, vm.as_str(), server.address())?;
        let worker = LocatedWorker {
            zone,
            rack,
            server,
            proxy,
        };
        self.recorder.add_vm(VmRecord {
            vm: vm.to_smolstr(),
            size: size.into(),
        });
        self.vm_list.set(VmEntry {
            vm: vm.clone(),
            role: VmRole::Worker,
            phase: VmPhase::Live,
            region,
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            address: worker.address(),
            size,
        });
        self.workers.insert(vm, worker);
        Ok(())
    }

    fn worker_config(&self, vm: &VmId) -> WorkerConfig {
        let interference = if self.settings.interference {
            InterferenceMatrix::new(self.settings.seed)
        } else {
            InterferenceMatrix::disabled()
        };
        let TimeSpan(usage_lag) = self.settings.workers.usage_lag;
        WorkerConfig {
            vm: vm.clone(),
            size: self.settings.workers.size(),
            usage_lag,
            seed: self.settings.seed,
            proxied: self.settings.proxied,
            interference,
            checkpoints: self.checkpoints.clone(),
            recorder: self.recorder.clone(),
        }
    }

    fn region(&self, zone: &ZoneName) -> io::Result<RegionName> {
        let found = self.settings.zones.iter().find(|each| each.name == *zone);
        found
            .map(|found| found.region.clone())
            .ok_or_else(|| io::Error::other(format!("`zones` has no `{zone}`: add it there")))
    }

    fn find_worker(&self, vm: &VmId) -> Result<&LocatedWorker, FaultError> {
        self.workers
            .get(vm)
            .ok_or_else(|| FaultError::UnknownVm(vm.to_smolstr()))
    }
}

/// Binds a proxy in front of an address if the settings enable proxies.
fn bind_proxy(
    settings: &StandinSettings,
    name: &str,
    address: SocketAddr,
) -> io::Result<Option<FaultProxy>> {
    settings
        .proxied
        .then(|| FaultProxy::bind(0, address, mix_seed(settings.seed, &["proxy", name])))
        .transpose()
}

/// Returns the address that clients connect to: the proxy's, if there is one.
fn public_address(address: SocketAddr, proxy: Option<&FaultProxy>) -> SocketAddr {
    proxy.map_or(address, FaultProxy::address)
}

fn apply_action(proxy: &FaultProxy, action: ProxyAction) {
    match action {
        ProxyAction::Plan(plan) => proxy.set_plan(plan),
        ProxyAction::Freeze => proxy.freeze(),
        ProxyAction::Cut => proxy.cut(),
    }
}

fn log_mode(fault: LogFault) -> LogMode {
    LogMode {
        down: fault.down,
        delay: Duration::from_millis(fault.delay_ms),
        lost_answers: fault.lost_answers,
        lose_all_answers: fault.lose_all_answers,
    }
}

fn parse_task(task: Option<&SmolStr>) -> Result<Option<TaskId>, FaultError> {
    task.map(|text| text.parse().map_err(invalid)).transpose()
}

fn invalid(error: impl ToString) -> FaultError {
    FaultError::Invalid(error.to_string().into())
}

fn valid_name<T>(text: &str) -> io::Result<T>
where
    T: std::str::FromStr<Err = geraniumshed_model::id::ParseIdError>,
{
    text.parse().map_err(io::Error::other)
}
