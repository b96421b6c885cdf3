//! Reports of metrics to a `StatsD` server.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{MetricError, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::debug;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::metric::{MetricKind, MetricName, MetricSet};

/// The prefix of all metric names.
const PREFIX: &str = "geraniumshed";

/// A reporter of metrics over UDP.
#[derive(Debug)]
pub struct MetricReporter {
    client: StatsdClient,
    reported: BTreeMap<MetricName, f64>,
}

/// The handle of a running reporter, which is aborted on drop.
#[derive(Debug)]
pub struct ReporterHandle {
    task: JoinHandle<()>,
}

impl Drop for ReporterHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl MetricReporter {
    /// Opens a reporter that sends to a server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no socket can be opened.
    pub fn open(server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(server, socket).map_err(io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self {
            client,
            reported: BTreeMap::new(),
        })
    }

    /// Spawns the reporter, which reads and reports all metrics once per period.
    pub fn spawn<F, R>(mut self, period: Duration, read: F) -> ReporterHandle
    where
        F: Fn() -> R + Send + 'static,
        R: Future<Output = MetricSet> + Send,
    {
        let task = tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            loop {
                ticks.tick().await;
                let set = read().await;
                self.report(&set);
            }
        });
        ReporterHandle { task }
    }

    /// Reports all values: gauges as they are, counters by their increase since the last report.
    pub fn report(&mut self, set: &MetricSet) {
        for (metric, value) in set.values() {
            let result = match metric.entry().kind {
                MetricKind::Gauge => self.send_gauge(metric, value),
                MetricKind::Counter => self.send_growth(metric, value),
            };
            if let Err(error) = result {
                debug!("reporting metric {} failed: {error}", metric.entry().name);
            }
        }
    }

    fn send_gauge(&self, metric: MetricName, value: f64) -> Result<(), MetricError> {
        self.client.gauge(metric.entry().name, value).map(drop)
    }

    fn send_growth(&mut self, metric: MetricName, value: f64) -> Result<(), MetricError> {
        let before = self.reported.insert(metric, value).unwrap_or(0.0);
        let growth = (value - before).max(0.0);
        if growth == 0.0 {
            return Ok(());
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "counters are whole numbers far below the limit"
        )]
        let growth = growth as i64;
        self.client.count(metric.entry().name, growth).map(drop)
    }
}
