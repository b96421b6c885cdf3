//! A cluster of stand-ins and daemons in one process.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_daemon::node::{Daemon, DaemonHandle, StartError};
use geraniumshed_daemon::settings::{DaemonSettings, OperatorSecret, read_settings};
use geraniumshed_model::prelude::ProblemError;
use geraniumshed_standin::StandinSet;
use geraniumshed_standin::set::{ControlServer, EntrySettings, ZoneSettings};
use tokio::time::{sleep, timeout};

use super::profile::DevProfile;
use crate::client::{ClientError, ClientSettings, OperatorClient};
use crate::logging::LogHandle;

/// The timeout for the start of the cluster and for each awaited state.
const STATE_TIMEOUT: Duration = Duration::from_mins(1);

/// The time between two checks of an awaited state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The operators' secret of development clusters, which listen only on the loopback interface.
pub const DEV_SECRET: &str = "development-only";

/// The environment variable from which daemons and operators read the secret.
const SECRET_VARIABLE: &str = "GERANIUMSHED_OPERATOR_SECRET";

/// An error of a development cluster.
#[derive(Debug)]
pub enum DevError {
    /// The stand-ins can't start.
    Standin(io::Error),
    /// The settings of a daemon are invalid.
    Settings(String),
    /// A daemon can't start.
    Start(StartError),
    /// A call to a daemon failed.
    Client(ClientError),
    /// The callers' HTTP client can't be set up.
    Caller(reqwest::Error),
    /// A record of the examples is invalid.
    Record(ProblemError),
    /// An event, named here, did not happen in time.
    TimedOut(&'static str),
}

impl Display for DevError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Standin(error) => write!(f, "the stand-ins can't start: {error}"),
            Self::Settings(reason) => write!(f, "the settings of a daemon are invalid: {reason}"),
            Self::Start(error) => Display::fmt(error, f),
            Self::Client(error) => Display::fmt(error, f),
            Self::Caller(error) => write!(f, "the callers' HTTP client can't be set up: {error}"),
            Self::Record(error) => Display::fmt(error, f),
            Self::TimedOut(what) => {
                write!(
                    f,
                    "{what} did not happen within {} s",
                    STATE_TIMEOUT.as_secs()
                )
            }
        }
    }
}

impl std::error::Error for DevError {}

impl From<ClientError> for DevError {
    fn from(error: ClientError) -> Self {
        Self::Client(error)
    }
}

/// A daemon of the cluster with an operator client that calls only this daemon.
#[derive(Debug)]
pub struct DevDaemon {
    /// The running daemon.
    pub handle: DaemonHandle,
    /// The client for the operator API of the daemon.
    pub client: OperatorClient,
}

/// A cluster of stand-ins and daemons in one process.
#[derive(Debug)]
pub struct DevCluster {
    /// The stand-ins.
    pub set: Arc<StandinSet>,
    /// The daemons.
    pub daemons: Vec<DevDaemon>,
    control: ControlServer,
    profile: DevProfile,
    log: LogHandle,
    secret: OperatorSecret,
}

impl DevCluster {
    /// Starts the cluster and waits until all daemons serve requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the cluster can't start or does not serve in time.
    ///
    /// # Panics
    ///
    /// Panics if [`DEV_SECRET`] is too short to be a secret.
    pub async fn open(profile: DevProfile, seed: u64, log: LogHandle) -> Result<Self, DevError> {
        let set = StandinSet::open(profile.standin_settings(seed)).map_err(DevError::Standin)?;
        let set = Arc::new(set);
        let control = ControlServer::bind(Arc::clone(&set)).map_err(DevError::Standin)?;
        let mut cluster = Self {
            set,
            daemons: Vec::new(),
            control,
            profile,
            log,
            secret: OperatorSecret::new(DEV_SECRET).expect("the secret is long enough"),
        };
        for index in 0..profile.daemons() {
            let daemon = cluster.start_daemon(index).await?;
            cluster.daemons.push(daemon);
        }
        for daemon in &cluster.daemons {
            let served = timeout(STATE_TIMEOUT, daemon.handle.wait_serving()).await;
            served.map_err(|_| DevError::TimedOut("the start of all daemons"))?;
        }
        Ok(cluster)
    }

    /// Returns the addresses at which the daemons serve callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let handles = self.daemons.iter().map(|daemon| &daemon.handle);
        handles.map(DaemonHandle::entry_address).collect()
    }

    /// Returns the address of the stand-ins' control API.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops a daemon gracefully and starts it again at new addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't start or does not serve in time.
    pub async fn restart_daemon(&mut self, index: usize) -> Result<(), DevError> {
        let daemon = self.daemons.remove(index);
        daemon.handle.drain().await;
        let daemon = self.start_daemon(index).await?;
        let served = timeout(STATE_TIMEOUT, daemon.handle.wait_serving()).await;
        served.map_err(|_| DevError::TimedOut("the restart of a daemon"))?;
        self.daemons.insert(index, daemon);
        Ok(())
    }

    /// Waits until `check` returns true.
    ///
    /// # Errors
    ///
    /// Returns `TimedOut` with the name of the state if it is not reached in time.
    pub async fn wait_for<F, R>(&self, state: &'static str, check: F) -> Result<(), DevError>
    where
        F: Fn() -> R,
        R: Future<Output = bool>,
    {
        let reach = async {
            while !check().await {
                sleep(POLL_INTERVAL).await;
            }
        };
        let reached = timeout(STATE_TIMEOUT, reach).await;
        reached.map_err(|_| DevError::TimedOut(state))
    }

    async fn start_daemon(&self, index: usize) -> Result<DevDaemon, DevError> {
        let zones = &self.set.settings().zones;
        let zone = &zones[index % zones.len()];
        let settings = self.daemon_settings(index, zone)?;
        let handle = Daemon::spawn(settings, self.log.clone())
            .await
            .map_err(DevError::Start)?;
        let entry = EntrySettings {
            vm: format!("entry-{index}").parse().expect("the name is valid"),
            zone: zone.name.clone(),
            address: handle.identity().address,
        };
        self.set.add_entry(&entry).map_err(DevError::Standin)?;
        let client = OperatorClient::open(&ClientSettings {
            url: Some(format!("http://{}", handle.operator_address())),
            secret: Some(self.secret.clone()),
            ..ClientSettings::default()
        })?;
        Ok(DevDaemon { handle, client })
    }

    fn daemon_settings(
        &self,
        index: usize,
        zone: &ZoneSettings,
    ) -> Result<DaemonSettings, DevError> {
        let text = format!(
            "daemon:\n  id: entry-{index}\n  region: {region}\n  zone: {zone}\n\
             cluster:\n  shards: {shards}\n  regions: [{region}]\n\
             platform:\n  log: {log}\n  vm_list: {vm_list}\n\
             callers:\n  listen: 127.0.0.1:0\n\
             operators:\n  listen: 127.0.0.1:0\n\
             peers:\n  listen: 127.0.0.1:0\n  advertise: 127.0.0.1:0\n",
            region = zone.region,
            zone = zone.name,
            shards = self.profile.shards(),
            log = self.set.log_address(),
            vm_list = self.set.vm_list_address(),
        );
        let secret = (SECRET_VARIABLE.to_owned(), DEV_SECRET.to_owned());
        let read = read_settings(&text, std::iter::once(secret));
        let read = read.map_err(|problems| DevError::Settings(problems.to_string()))?;
        Ok(read.settings)
    }
}
