//! Open-loop load on the healthy daemons of a cluster.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::caller::{Caller, CallerReply};

/// The requests of a load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The name of the service.
    pub service: &'static str,
    /// The time between two requests.
    pub interval: Duration,
    /// The query parameters besides the id.
    pub query: &'static str,
}

impl LoadPlan {
    /// Returns a light load on a service, of 100 requests per second.
    pub fn light(service: &'static str) -> Self {
        Self {
            service,
            interval: Duration::from_millis(10),
            query: "",
        }
    }
}

/// A reply with the time at which its request was sent.
#[derive(Debug, Clone)]
pub struct TimedReply {
    /// The time at which the request was sent.
    pub sent: Instant,
    /// The reply that the caller got.
    pub reply: CallerReply,
}

/// The time between two health checks of the simulated load balancer.
const HEALTH_INTERVAL: Duration = Duration::from_millis(200);

/// A running load, spread over the healthy daemons like by a load balancer.
#[derive(Debug)]
pub struct Load {
    is_stopping: Arc<AtomicBool>,
    task: JoinHandle<Vec<TimedReply>>,
    balancer: JoinHandle<()>,
}

impl Load {
    /// Starts sending a load to daemons.
    pub fn spawn(caller: Caller, daemons: Vec<SocketAddr>, plan: LoadPlan) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (healthy, view) = watch::channel(daemons.clone());
        let balancer = tokio::spawn(check_health(caller.clone(), daemons, healthy));
        let task = tokio::spawn(run_load(caller, view, plan, Arc::clone(&is_stopping)));
        Self {
            is_stopping,
            task,
            balancer,
        }
    }

    /// Stops the load, waits for all replies and returns them.
    pub async fn stop(self) -> Vec<TimedReply> {
        self.is_stopping.store(true, Ordering::SeqCst);
        let replies = self.task.await.unwrap();
        self.balancer.abort();
        replies
    }
}

/// Keeps the list of daemons whose health checks pass up to date; if none passes, the list is left
/// unchanged.
async fn check_health(
    caller: Caller,
    daemons: Vec<SocketAddr>,
    healthy: watch::Sender<Vec<SocketAddr>>,
) {
    loop {
        let checks = daemons.iter().map(|daemon| caller.is_healthy(*daemon));
        let results = join_all(checks).await;
        let passed = daemons.iter().zip(results).filter(|(_, passed)| *passed);
        let passed: Vec<SocketAddr> = passed.map(|(daemon, _)| *daemon).collect();
        if !passed.is_empty() {
            healthy.send_replace(passed);
        }
        sleep(HEALTH_INTERVAL).await;
    }
}

async fn run_load(
    caller: Caller,
    daemons: watch::Receiver<Vec<SocketAddr>>,
    plan: LoadPlan,
    is_stopping: Arc<AtomicBool>,
) -> Vec<TimedReply> {
    let mut ticks = interval(plan.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = Vec::new();
    let mut index = 0;
    while !is_stopping.load(Ordering::SeqCst) {
        ticks.tick().await;
        index += 1;
        let targets = daemons.borrow().clone();
        sent.push(tokio::spawn(send(
            caller.clone(),
            targets,
            index,
            plan.clone(),
        )));
    }
    join_all(sent)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect()
}

/// Sends one request to the daemon at an index, or to the next one that accepts the connection.
async fn send(
    caller: Caller,
    daemons: Vec<SocketAddr>,
    index: usize,
    plan: LoadPlan,
) -> TimedReply {
    let sent = Instant::now();
    let id = Caller::next_id();
    let count = daemons.len();
    let mut last = None;
    for offset in 0..count {
        let daemon = daemons[(index + offset) % count];
        let reply = caller
            .post_as(daemon, plan.service, plan.query, None, &id)
            .await;
        let is_refused = reply.is_refused;
        last = Some(TimedReply { sent, reply });
        if !is_refused {
            break;
        }
    }
    last.expect("a load has at least one daemon")
}
