//! Sends heartbeats to the peers.

use std::net::SocketAddr;

use tokio::time::{MissedTickBehavior, interval};

use super::hub::PeerHub;
use super::pool::PeerPool;
use super::settings::PeerSettings;
use crate::log::TaskGuard;

/// The background task that sends heartbeats; dropping it aborts the task.
#[derive(Debug)]
pub struct PeerHeartbeat {
    hub: PeerHub,
    pool: PeerPool,
    _task: TaskGuard,
}

impl PeerHeartbeat {
    /// Spawns the background task.
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
                        tokio::spawn(send_heartbeat(hub.clone(), pool.clone(), address));
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

    /// Sends a heartbeat to all peers at once, and waits until each has answered or timed out.
    ///
    /// This announces that this daemon is leaving, or fetches how far each peer has applied
    /// `config`.
    pub async fn send_to_all(&self) {
        let heartbeats = self
            .hub
            .addresses()
            .into_iter()
            .map(|address| send_heartbeat(self.hub.clone(), self.pool.clone(), address));
        futures::future::join_all(heartbeats).await;
    }
}

async fn send_heartbeat(hub: PeerHub, pool: PeerPool, address: SocketAddr) {
    let sent = hub.now();
    match pool.heartbeat(address, hub.report()).await {
        Ok(report) => hub.record_report(report),
        Err(error) => {
            log::debug!("peer {address} missed a heartbeat: {error}");
            hub.record_missed(address, sent);
        }
    }
}
