//! Checks that accepted configuration is in force everywhere in time and never reverts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use geraniumshed_standin::history::{PromiseKind, PromiseRow};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::cluster::DevCluster;

/// The time within which accepted configuration has to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(13);

/// The time between two requests to a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The accepted generation of each record, and the breaches found so far.
#[derive(Debug)]
pub struct ConfigCheck {
    accepted: BTreeMap<SmolStr, u64>,
    row: PromiseRow,
}

impl Default for ConfigCheck {
    fn default() -> Self {
        Self {
            accepted: BTreeMap::new(),
            row: PromiseRow::new(PromiseKind::ConfigInForce),
        }
    }
}

impl ConfigCheck {
    /// Waits until every daemon has an accepted generation in force, and records a breach for each
    /// daemon that is late.
    pub async fn await_in_force(&mut self, cluster: &DevCluster, key: SmolStr, generation: u64) {
        let begin = Instant::now();
        for daemon in &cluster.daemons {
            let id = &daemon.handle.identity().daemon;
            while !has_generation(daemon, &key, generation).await {
                if begin.elapsed() > IN_FORCE_LIMIT {
                    self.row.breaches.push(format_smolstr!(
                        "{key} generation {generation} is not in force in {id} in time"
                    ));
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        self.row.counted += 1;
        self.accepted.insert(key, generation);
    }

    /// Checks all daemons for reverted records, and returns the result of the whole check.
    ///
    /// The records of finished jobs are no longer in force, which does not count as reverted.
    pub async fn finish(mut self, cluster: &DevCluster) -> PromiseRow {
        for daemon in &cluster.daemons {
            let id = &daemon.handle.identity().daemon;
            for (key, generation) in &self.accepted {
                let found = daemon.client.get(key).await.ok();
                let reverted = found.is_some_and(|record| record.replaces < *generation);
                if reverted {
                    self.row.breaches.push(format_smolstr!(
                        "{key} fell back below generation {generation} in {id}"
                    ));
                }
            }
        }
        self.row
    }
}

/// Returns whether a daemon has at least a generation of a record in force.
async fn has_generation(daemon: &super::cluster::DevDaemon, key: &str, generation: u64) -> bool {
    let found = daemon.client.get(key).await;
    found.is_ok_and(|record| record.replaces >= generation)
}
