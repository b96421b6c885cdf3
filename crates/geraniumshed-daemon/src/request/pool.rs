//! The HTTP clients with their connection pools: one per endpoint, replaced as a whole after a
//! stall.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use reqwest::Client;

use super::settings::EntrySettings;

/// The minimum time between two replacements of the same pool.
const REPLACE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of idle connections per endpoint.
const IDLE_LIMIT: usize = 16;

/// The HTTP client of one endpoint with its connection pool.
#[derive(Debug)]
pub struct EndpointPool {
    address: SocketAddr,
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    client: Client,
    replaced: TimePoint,
}

impl EndpointPool {
    /// Creates the pool of an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client can't be created.
    pub fn new(address: SocketAddr, settings: &EntrySettings) -> Self {
        let state = PoolState {
            client: build_client(settings),
            replaced: TimePoint::default(),
        };
        Self {
            address,
            state: Mutex::new(state),
        }
    }

    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the client for a new request.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it replaced the pool.
    pub fn client(&self) -> Client {
        let state = self
            .state
            .lock()
            .expect("no thread panics while it holds the lock");
        state.client.clone()
    }

    /// Replaces the pool, so that later requests use new connections. Returns `false` if it was
    /// replaced only recently.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it replaced the pool.
    pub fn replace(&self, now: TimePoint, settings: &EntrySettings) -> bool {
        let mut state = self
            .state
            .lock()
            .expect("no thread panics while it holds the lock");
        if now.since(state.replaced) < REPLACE_INTERVAL {
            return false;
        }
        state.client = build_client(settings);
        state.replaced = now;
        true
    }
}

fn build_client(settings: &EntrySettings) -> Client {
    Client::builder()
        .no_proxy()
        .http1_only()
        .tls_certs_only([])
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(settings.connect_timeout)
        .pool_idle_timeout(settings.idle_timeout)
        .pool_max_idle_per_host(IDLE_LIMIT)
        .tcp_nodelay(true)
        .tcp_keepalive(settings.progress_timeout)
        .tcp_keepalive_interval(settings.progress_timeout)
        .tcp_keepalive_retries(2)
        .tcp_user_timeout(settings.progress_timeout)
        .build()
        .expect("a client without certificates can always be created")
}
