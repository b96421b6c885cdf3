//! The couriers of a leader.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::leadership::MemberIdentity;
use tokio::time::Instant;

use super::link::CourierLink;

/// The least number of couriers, since one alone only moves the work.
const MIN_COURIERS: usize = 2;
/// The time for which a leader calls a worker itself after a call by a courier got no answer.
const DIRECT_TIME: Duration = Duration::from_secs(5);

/// The couriers of a leader. Clones share them.
#[derive(Debug, Clone)]
pub(crate) struct CourierRoster {
    /// The number of couriers for a thousand workers.
    density: usize,
    shared: Arc<RosterState>,
}

#[derive(Debug, Default)]
struct RosterState {
    worker_count: AtomicUsize,
    links: Mutex<Vec<CourierLink>>,
    /// The workers that the leader calls itself for a time.
    direct: Mutex<HashMap<SocketAddr, Instant>>,
}

impl CourierRoster {
    /// Creates a roster without couriers, given their number for a thousand workers.
    pub(crate) fn open(density: usize) -> Self {
        Self {
            density,
            shared: Arc::default(),
        }
    }

    /// Returns the number of couriers.
    pub(crate) fn len(&self) -> usize {
        self.links().len()
    }

    /// Sets the number of workers, which decides on the number of couriers.
    pub(crate) fn set_worker_count(&self, count: usize) {
        self.shared.worker_count.store(count, Ordering::Relaxed);
    }

    /// Returns how many couriers are wanted.
    pub(crate) fn wanted_count(&self) -> usize {
        let workers = self.shared.worker_count.load(Ordering::Relaxed);
        let count = workers.saturating_mul(self.density) / 1000;
        if count < MIN_COURIERS { 0 } else { count }
    }

    /// Drops the couriers that no longer answer or aren't among the given nodes, or are too many, and
    /// returns the addresses of the others.
    pub(crate) fn retain(&self, live: &[MemberIdentity]) -> Vec<SocketAddr> {
        let mut links = self.links();
        links.retain(|link| link.is_open() && live.contains(link.member()));
        links.truncate(self.wanted_count());
        links.iter().map(|link| link.member().address).collect()
    }

    /// Drops all couriers, since this node no longer leads.
    pub(crate) fn clear(&self) {
        self.links().clear();
        self.direct().clear();
    }

    /// Adds a courier.
    pub(crate) fn add(&self, link: CourierLink) {
        self.links().push(link);
    }

    /// Returns the courier that calls the worker at an address, or none if the leader itself does.
    pub(crate) fn courier_of(&self, worker: SocketAddr) -> Option<CourierLink> {
        let links = self.links();
        let open = links.iter().filter(|link| link.is_open());
        // With the highest hash of both (rendezvous hashing), a worker changes its courier only with
        // the loss or return of one.
        let best = open.max_by_key(|link| pair_hash(worker, link.member()))?;
        (!self.is_direct(worker)).then(|| best.clone())
    }

    /// Makes the leader call a worker itself for a time, since its courier got no answer.
    pub(super) fn call_directly(&self, worker: SocketAddr) {
        let until = Instant::now() + DIRECT_TIME;
        self.direct().insert(worker, until);
    }

    fn is_direct(&self, worker: SocketAddr) -> bool {
        let mut direct = self.direct();
        match direct.get(&worker) {
            None => false,
            Some(until) if Instant::now() < *until => true,
            Some(_) => {
                direct.remove(&worker);
                false
            }
        }
    }

    fn links(&self) -> MutexGuard<'_, Vec<CourierLink>> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn direct(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.shared
            .direct
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn pair_hash(worker: SocketAddr, courier: &MemberIdentity) -> u64 {
    let mut hasher = DefaultHasher::new();
    (worker, courier.address).hash(&mut hasher);
    hasher.finish()
}
