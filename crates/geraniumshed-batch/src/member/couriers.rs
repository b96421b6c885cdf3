//! Chooses the couriers of this node while it leads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::leadership::MemberIdentity;
use tokio::time::{Instant, sleep};

use super::task::MemberTask;
use crate::courier::CourierLink;
use crate::leader::LeaderHandle;
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;

/// The interval between two checks of the couriers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time for which a node is not asked again to be a courier after it didn't answer.
const REST_TIME: Duration = Duration::from_secs(5);

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> MemberTask<S, F, W> {
    /// Keeps as many couriers as the number of workers asks for, until the task is aborted.
    pub(super) async fn keep_couriers(self, handle: LeaderHandle) {
        let mut resting: HashMap<SocketAddr, Instant> = HashMap::new();
        loop {
            let now = Instant::now();
            resting.retain(|_, until| *until > now);
            for member in self.missing_couriers(&resting) {
                if let Err(failure) = self.open_courier(&member, &handle).await {
                    log::info!(courier:% = member, failure:? = failure; "node can't be a courier now");
                    resting.insert(member.address, Instant::now() + REST_TIME);
                }
            }
            let count = self.shared.context.couriers.len();
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.shared.metrics().couriers.set(count);
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn open_courier(
        &self,
        member: &MemberIdentity,
        handle: &LeaderHandle,
    ) -> Result<(), PeerFailure> {
        let roster = &self.shared.context.couriers;
        let link = CourierLink::open(
            self.shared.courier_pool.clone(),
            member.clone(),
            self.shared.clock(),
            handle.clone(),
            roster.clone(),
        );
        roster.add(link.await?);
        log::info!(courier:% = member; "node calls workers for this leader");
        Ok(())
    }

    /// Drops the couriers that have failed, and returns the nodes that are to replace them: live ones
    /// on VMs that are at least as large as this one.
    fn missing_couriers(&self, resting: &HashMap<SocketAddr, Instant>) -> Vec<MemberIdentity> {
        let now = self.shared.clock().now();
        let own = self.shared.settings.processors;
        let view = self.shared.view();
        let large = view.successors(now).into_iter();
        let large = large.filter(|one| one.processors >= own);
        let live: Vec<MemberIdentity> = large.map(|one| one.member.clone()).collect();
        drop(view);
        let known = self.shared.context.couriers.retain(&live);
        let wanted = self.shared.context.couriers.wanted_count();
        let candidates = live.into_iter();
        let candidates = candidates.filter(|one| !known.contains(&one.address));
        let candidates = candidates.filter(|one| !resting.contains_key(&one.address));
        candidates
            .take(wanted.saturating_sub(known.len()))
            .collect()
    }
}
