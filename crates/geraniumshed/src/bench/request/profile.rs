//! Profiles of services, and the load that is drawn from them.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// The number of availability zones of each profile.
pub const ZONE_COUNT: usize = 3;

/// The one-way network delay within an availability zone.
pub const LOCAL_DELAY: Duration = Duration::from_micros(250);

/// The cluster, network and service times of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadProfile {
    /// The name.
    pub name: &'static str,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of slots of each endpoint.
    pub slots: u32,
    /// The number of connections of each endpoint.
    pub connections: u32,
    /// The one-way network delay between availability zones.
    pub zone_delay: Duration,
    /// The one-way network delay between a caller and a daemon.
    pub caller_delay: Duration,
    /// The median service time.
    pub median: Duration,
    /// The standard deviation of the natural logarithm of the service time.
    pub spread: f64,
    /// The deadline of each request, counted from its arrival at a daemon.
    pub deadline: Duration,
    /// The latency goal of the service.
    pub goal: Duration,
    /// Whether requests may run more than once without harm.
    pub idempotent: bool,
}

/// The booking service of the Cámara.
pub const CAMARA: LoadProfile = LoadProfile {
    name: "camara",
    daemons: 6,
    endpoints: 50,
    slots: 8,
    connections: 60,
    zone_delay: Duration::from_millis(3),
    caller_delay: Duration::from_millis(1),
    median: Duration::from_millis(30),
    spread: 0.5,
    deadline: Duration::from_secs(1),
    goal: Duration::from_millis(250),
    idempotent: false,
};

/// The fitting service of Yıldız.
pub const YILDIZ: LoadProfile = LoadProfile {
    name: "yildiz",
    daemons: 7,
    endpoints: 65,
    slots: 8,
    connections: 60,
    zone_delay: Duration::from_millis(5),
    caller_delay: Duration::from_millis(3),
    median: Duration::from_millis(50),
    spread: 0.6,
    deadline: Duration::from_millis(1500),
    goal: Duration::from_millis(400),
    idempotent: true,
};

/// One request of the load; every policy is run with the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRequest {
    /// The time at which the caller sends it.
    pub sent: Duration,
    /// The daemon to which the load balancer sends it.
    pub daemon: usize,
    /// The service time of its first run at a healthy endpoint.
    pub service: Duration,
    /// The service time of a hedged run at a healthy endpoint.
    pub hedge_service: Duration,
}

impl LoadProfile {
    /// Returns the profile of a name.
    pub fn by_name(name: &str) -> Option<Self> {
        [CAMARA, YILDIZ].into_iter().find(|p| p.name == name)
    }

    /// Returns the number of slots of all endpoints.
    pub fn slot_total(&self) -> f64 {
        self.endpoints as f64 * f64::from(self.slots)
    }

    /// Returns the mean service time.
    pub fn mean(&self) -> Duration {
        self.median.mul_f64((self.spread * self.spread / 2.0).exp())
    }

    /// Returns the availability zone of a daemon or an endpoint.
    pub fn zone_of(index: usize) -> usize {
        index % ZONE_COUNT
    }

    /// Returns the one-way network delay between two availability zones.
    pub fn network_delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            LOCAL_DELAY
        } else {
            self.zone_delay
        }
    }

    /// Draws the requests of an open-loop Poisson load at a fraction of the slots' capacity.
    pub fn draw(&self, load: f64, length: Duration, seed: u64) -> Vec<LoadRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = load * self.slot_total() / self.mean().as_secs_f64();
        let mut requests = Vec::new();
        let mut sent = 0.0;
        loop {
            sent += -unit(&mut rng).ln() / rate;
            if sent >= length.as_secs_f64() {
                return requests;
            }
            requests.push(LoadRequest {
                sent: Duration::from_secs_f64(sent),
                daemon: rng.random_range(0..self.daemons),
                service: self.service_time(&mut rng),
                hedge_service: self.service_time(&mut rng),
            });
        }
    }

    fn service_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        let angle = std::f64::consts::TAU * unit(rng);
        let normal = (-2.0 * unit(rng).ln()).sqrt() * angle.cos();
        self.median.mul_f64((self.spread * normal).exp())
    }
}

/// Draws a uniform number from (0, 1].
fn unit(rng: &mut ChaCha8Rng) -> f64 {
    1.0 - rng.random::<f64>()
}
