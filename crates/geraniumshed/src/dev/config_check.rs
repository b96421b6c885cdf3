//! Whether accepted configuration is in force everywhere in time and never reverts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use geraniumshed_standin::truth::{PromiseKind, PromiseRow};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::cluster::DevCluster;

/// The time within which accepted configuration has to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(13);

/// The time between two looks at a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The generations that were accepted, and what was found of them.
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
    /// Waits until every daemon has an accepted generation in force, and notes whether it was late.
    pub async fn accept(&mut self, cluster: &DevCluster, key: SmolStr, generation: u64) {
        let begin = Instant::now();
        for daemon in &cluster.daemons {
            let id = &daemon.handle.identity().daemon;
            while !reaches(daemon, &key, generation).await {
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

    /// Looks at all daemons once more, and returns what was found.
    ///
    /// Jobs that have finished are no longer in force, which is no reversion.
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

/// Tells whether a daemon has a record in force in a generation or a later one.
async fn reaches(daemon: &super::cluster::DevDaemon, key: &str, generation: u64) -> bool {
    let found = daemon.client.get(key).await;
    found.is_ok_and(|record| record.replaces >= generation)
}
