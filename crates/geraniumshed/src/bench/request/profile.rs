//! The load and the cluster that the request path is measured on.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// The availability zones of each profile.
pub const ZONE_COUNT: usize = 3;

/// The way within an availability zone, in one direction.
pub const LOCAL_DELAY: Duration = Duration::from_micros(250);

/// A user's service, as the brief sizes it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadProfile {
    /// The name.
    pub name: &'static str,
    /// The daemons.
    pub daemons: usize,
    /// The endpoints.
    pub endpoints: usize,
    /// The slots of one endpoint.
    pub slots: u32,
    /// The connections of one endpoint.
    pub connections: u32,
    /// The way between availability zones, in one direction.
    pub zone_delay: Duration,
    /// The way between a caller and a daemon, in one direction.
    pub caller_delay: Duration,
    /// The median of the service time.
    pub median: Duration,
    /// The spread of the logarithm of the service time.
    pub spread: f64,
    /// The time within which an answer is of use.
    pub deadline: Duration,
    /// The latency that the service should stay below.
    pub goal: Duration,
    /// Whether a second run does no harm.
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

/// One request of the load, the same for every policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRequest {
    /// The time at which the caller sends it.
    pub sent: Duration,
    /// The daemon that the balancer picks.
    pub daemon: usize,
    /// The time that a healthy endpoint takes for it.
    pub service: Duration,
    /// The time that a healthy endpoint takes for a second run of it.
    pub second_service: Duration,
}

impl LoadProfile {
    /// Finds a profile by its name.
    pub fn by_name(name: &str) -> Option<Self> {
        [CAMARA, YILDIZ].into_iter().find(|p| p.name == name)
    }

    /// Returns the slots of all endpoints.
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

    /// Returns the way between two availability zones, in one direction.
    pub fn way(&self, from: usize, to: usize) -> Duration {
        if from == to {
            LOCAL_DELAY
        } else {
            self.zone_delay
        }
    }

    /// Draws the requests of an open load at a share of the slots' capacity.
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
                second_service: self.service_time(&mut rng),
            });
        }
    }

    fn service_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        let angle = std::f64::consts::TAU * unit(rng);
        let normal = (-2.0 * unit(rng).ln()).sqrt() * angle.cos();
        self.median.mul_f64((self.spread * normal).exp())
    }
}

/// Draws a number above zero and up to one.
fn unit(rng: &mut ChaCha8Rng) -> f64 {
    1.0 - rng.random::<f64>()
}
