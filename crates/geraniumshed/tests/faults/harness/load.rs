//! Open-loop load on all daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::caller::{Caller, CallerReply};

/// What a load sends.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The name of the service.
    pub service: &'static str,
    /// The pause between two requests.
    pub pause: Duration,
    /// What the query says beside the id.
    pub query: &'static str,
}

impl LoadPlan {
    /// Returns a light load on a service.
    pub fn of(service: &'static str) -> Self {
        Self {
            service,
            pause: Duration::from_millis(10),
            query: "",
        }
    }
}

/// A reply with the time at which its request was sent.
#[derive(Debug, Clone)]
pub struct TimedReply {
    /// The time at which the request was sent.
    pub sent: Instant,
    /// What came back.
    pub reply: CallerReply,
}

/// The pause between two health checks of the balancer.
const HEALTH_PAUSE: Duration = Duration::from_millis(200);

/// A running load, spread over the healthy daemons as a balancer does.
#[derive(Debug)]
pub struct Load {
    stopping: Arc<AtomicBool>,
    task: JoinHandle<Vec<TimedReply>>,
    balancer: JoinHandle<()>,
}

impl Load {
    /// Starts a load on daemons.
    pub fn spawn(caller: Caller, daemons: Vec<SocketAddr>, plan: LoadPlan) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let (healthy, view) = watch::channel(daemons.clone());
        let balancer = tokio::spawn(check_health(caller.clone(), daemons, healthy));
        let task = tokio::spawn(run_load(caller, view, plan, Arc::clone(&stopping)));
        Self {
            stopping,
            task,
            balancer,
        }
    }

    /// Ends the load and returns all replies.
    pub async fn stop(self) -> Vec<TimedReply> {
        self.stopping.store(true, Ordering::SeqCst);
        let replies = self.task.await.unwrap();
        self.balancer.abort();
        replies
    }
}

/// Keeps the list of daemons whose health checks pass; without any, it stays as it was.
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
        sleep(HEALTH_PAUSE).await;
    }
}

async fn run_load(
    caller: Caller,
    daemons: watch::Receiver<Vec<SocketAddr>>,
    plan: LoadPlan,
    stopping: Arc<AtomicBool>,
) -> Vec<TimedReply> {
    let mut ticks = interval(plan.pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = Vec::new();
    let mut turn = 0;
    while !stopping.load(Ordering::SeqCst) {
        ticks.tick().await;
        turn += 1;
        let targets = daemons.borrow().clone();
        sent.push(tokio::spawn(send(
            caller.clone(),
            targets,
            turn,
            plan.clone(),
        )));
    }
    join_all(sent)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect()
}

/// Sends one request to the daemon whose turn it is, or to the next that takes a connection.
async fn send(caller: Caller, daemons: Vec<SocketAddr>, turn: usize, plan: LoadPlan) -> TimedReply {
    let sent = Instant::now();
    let id = Caller::next_id();
    let count = daemons.len();
    let mut last = None;
    for offset in 0..count {
        let daemon = daemons[(turn + offset) % count];
        let reply = caller
            .post_as(daemon, plan.service, plan.query, None, &id)
            .await;
        let refused = reply.refused;
        last = Some(TimedReply { sent, reply });
        if !refused {
            break;
        }
    }
    last.expect("the load knows a daemon")
}
