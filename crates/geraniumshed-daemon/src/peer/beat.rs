//! Asks peers in turn.

use std::net::SocketAddr;

use tokio::time::{MissedTickBehavior, interval};

use super::hub::PeerHub;
use super::pool::PeerPool;
use super::settings::PeerSettings;
use crate::log::TaskGuard;

/// The running heartbeat; dropping it ends it.
#[derive(Debug)]
pub struct PeerBeat {
    hub: PeerHub,
    pool: PeerPool,
    _task: TaskGuard,
}

impl PeerBeat {
    /// Spawns the heartbeat.
    pub fn spawn(hub: PeerHub, pool: PeerPool, settings: &PeerSettings) -> Self {
        let mut tick = interval(settings.timing.beat_interval);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let task = {
            let hub = hub.clone();
            let pool = pool.clone();
            async move {
                loop {
                    tick.tick().await;
                    let due = hub.due();
                    let known = hub.addresses();
                    pool.retain(|address| known.contains(&address));
                    for address in due {
                        tokio::spawn(ask(hub.clone(), pool.clone(), address));
                    }
                }
            }
        };
        Self {
            hub,
            pool,
            _task: TaskGuard::spawn(task),
        }
    }

    /// Asks all peers at once, and waits until each has answered or missed its time.
    ///
    /// It tells them that this daemon leaves, or learns how far each has applied `config`.
    pub async fn ask_all(&self) {
        let asking = self
            .hub
            .addresses()
            .into_iter()
            .map(|address| ask(self.hub.clone(), self.pool.clone(), address));
        futures::future::join_all(asking).await;
    }
}

async fn ask(hub: PeerHub, pool: PeerPool, address: SocketAddr) {
    let sent = hub.now();
    match pool.beat(address, hub.report()).await {
        Ok(report) => hub.heard(report),
        Err(error) => {
            log::debug!("peer {address} missed a heartbeat: {error}");
            hub.missed(address, sent);
        }
    }
}
