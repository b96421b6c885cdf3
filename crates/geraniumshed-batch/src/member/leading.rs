//! Leads while this node is elected: takes over, supervises the leader task and hands over.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumshed_core::job::JobId;
use geraniumshed_core::leadership::{LeaderTerm, MemberIdentity};
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::task::MemberTask;
use crate::leader::{self, LeaderEnd, LeaderHandle, take_over};
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::topic::LEADERS;

/// The time after which the store removes a leader that doesn't renew its membership from the
/// group.
const MEMBER_LIFETIME: Duration = Duration::from_secs(1);
/// The interval between renewals of the leader's membership.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout for the answer of a peer that is asked whether it reaches the store.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The number of successors that are asked whether they reach the store.
const PROBED_PEERS: usize = 3;
/// The timeout for the answer of a peer that is asked to become the leader.
const BECOME_LEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before a failed takeover is retried.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The timeout for the answer of a node that is asked for its active cancellations.
const ACTIVE_CANCELS_TIMEOUT: Duration = Duration::from_millis(250);
/// The time within which the store has to tell a new leader which zones are evacuated. Then the state
/// that the node knows holds.
const EVACUATIONS_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval between checks for a node on a larger VM, and the time for which it has to be
/// alive.
const YIELD_CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// The factor by which a VM has to be larger for its node to become the leader.
const LARGER_FACTOR: u32 = 2;
/// The number of takeover attempts before the node gives up its claim.
const TAKEOVER_ATTEMPTS: u32 = 5;

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> MemberTask<S, F, W> {
    /// Leads until a later leader takes over, or until the leader task resigns.
    pub(super) async fn lead(&self, term: LeaderTerm) {
        // Other nodes check whether the leader is in the group, also during the takeover.
        let membership = tokio::spawn(self.clone().keep_membership());
        let (recovered, cancelled, ()) = tokio::join!(
            self.take_over_with_retries(term),
            self.active_cancels(),
            self.update_evacuations(term)
        );
        let Some(mut recovered) = recovered else {
            membership.abort();
            self.shared.end_leading();
            return;
        };
        recovered.cancelled = cancelled;
        let config = self.shared.config.config().unwrap_or_default();
        let queues = config.routes.queues();
        let (probe_sender, probe_requests) = mpsc::unbounded_channel();
        let (handle, end) = leader::run(
            self.shared.context.clone(),
            term,
            recovered,
            queues,
            self.shared.config.evacuations(),
            probe_sender,
        );
        self.shared.view().handle = Some(handle.clone());
        // A check may have ended between the two lines above.
        handle.replace_evacuations(self.shared.config.evacuations());
        let probing = tokio::spawn(self.clone().answer_probe_requests(term, probe_requests));
        let yielding = tokio::spawn(self.clone().yield_to_larger(handle.clone()));
        let couriers = tokio::spawn(self.clone().keep_couriers(handle.clone()));
        let reason = end.await.unwrap_or(LeaderEnd::Resigned);
        couriers.abort();
        self.shared.context.couriers.clear();
        self.shared.metrics().couriers.set(0);
        membership.abort();
        probing.abort();
        yielding.abort();
        self.shared.end_leading();
        log::warn!(term:% = term, reason:? = reason; "not leading any more");
        if reason == LeaderEnd::Resigned {
            self.notify_successor(term).await;
        }
    }

    /// Reads which zones are evacuated before this node places anything, since its last check may be
    /// older than that of the leader before.
    async fn update_evacuations(&self, term: LeaderTerm) {
        let read = self.shared.read_evacuations(EVACUATIONS_TIMEOUT);
        let read = timeout(EVACUATIONS_TIMEOUT, read).await;
        let read = read.unwrap_or(Err(StoreError::Unanswered));
        let known = self.shared.config.evacuations();
        match read {
            Ok(_) => {
                log::info!(term:% = term, offset:% = known.read_to(), evacuated = known.len(); "leading with the evacuated zones");
            }
            Err(error) => {
                log::warn!(term:% = term, offset:% = known.read_to(), evacuated = known.len(), error:% = error; "could not read the evacuated zones; leading with those known before");
            }
        }
    }

    /// Takes over from earlier leaders; returns nothing if a later leader has, or if all attempts
    /// fail.
    async fn take_over_with_retries(&self, term: LeaderTerm) -> Option<leader::RecoveredState> {
        for _ in 0..TAKEOVER_ATTEMPTS {
            let request = self.shared.view().lead_request;
            match take_over(
                &self.shared.context.store,
                self.shared.clock(),
                term,
                request,
            )
            .await
            {
                Ok(recovered) => return Some(recovered),
                Err(StoreError::Fenced) => return None,
                Err(error) => {
                    log::warn!(term:% = term, error:% = error; "takeover failed");
                    tokio::time::sleep(TAKEOVER_RETRY_DELAY).await;
                }
            }
        }
        None
    }

    /// Returns the jobs with an active cancellation on this or another node, so that none of their
    /// tasks starts before the cancellation is stored.
    async fn active_cancels(&self) -> BTreeSet<JobId> {
        let mut queries = JoinSet::new();
        for member in self.other_members() {
            let pool = self.shared.pool.clone();
            queries.spawn(async move {
                let answer = pool
                    .active_cancels(member.address, ACTIVE_CANCELS_TIMEOUT)
                    .await;
                answer.inspect_err(|error| {
                    log::debug!("could not read the active cancellations of {member}: {error:?}");
                })
            });
        }
        let mut jobs: BTreeSet<JobId> = self.shared.active_cancels.jobs().into_iter().collect();
        while let Some(answer) = queries.join_next().await {
            jobs.extend(answer.ok().and_then(Result::ok).unwrap_or_default());
        }
        jobs
    }

    /// Returns the other members that this node or the last leader knows.
    pub(super) fn other_members(&self) -> Vec<MemberIdentity> {
        let mut members = self.shared.view().peers.clone();
        members.extend(self.successors());
        members.sort_unstable();
        members.dedup();
        members.retain(|member| member.address != self.shared.settings.identity.address);
        members
    }

    /// Renews this node's membership in the store's group of leaders until the task is aborted.
    async fn keep_membership(self) {
        let member = member_name(&self.shared.settings.identity);
        loop {
            let store = &self.shared.context.store;
            if let Err(error) = store.join(LEADERS, member.clone(), MEMBER_LIFETIME).await {
                log::debug!("could not renew the membership of the leader: {error}");
            }
            tokio::time::sleep(JOIN_INTERVAL).await;
        }
    }

    /// Asks nodes whether they reach the store.
    fn spawn_probes(
        &self,
        members: impl IntoIterator<Item = MemberIdentity>,
    ) -> JoinSet<(MemberIdentity, Result<bool, PeerFailure>)> {
        let mut probes = JoinSet::new();
        for member in members {
            let pool = self.shared.pool.clone();
            probes.spawn(async move {
                let reaches = pool.probe_store(member.address, PROBE_TIMEOUT).await;
                (member, reaches)
            });
        }
        probes
    }

    /// Makes the leader resign once a node on a much larger VM can lead, since a small VM can't
    /// keep up with many workers.
    async fn yield_to_larger(self, handle: LeaderHandle) {
        loop {
            tokio::time::sleep(YIELD_CHECK_INTERVAL).await;
            let Some(larger) = self.larger_member() else {
                continue;
            };
            let pool = &self.shared.pool;
            if pool.probe_store(larger.address, PROBE_TIMEOUT).await == Ok(true) {
                log::info!(member:% = larger; "resigning in favor of a node on a much larger VM");
                handle.yield_lead();
                return;
            }
        }
    }

    /// Returns the best successor if its VM is much larger and it has been alive for a while.
    fn larger_member(&self) -> Option<MemberIdentity> {
        let now = self.shared.clock().now();
        let min_processors = self
            .shared
            .settings
            .processors
            .0
            .saturating_mul(LARGER_FACTOR);
        let view = self.shared.view();
        let best = view.successors(now).first().copied()?;
        let is_larger = best.processors.0 >= min_processors;
        let is_stable = now.since(best.first_heartbeat) >= YIELD_CHECK_INTERVAL;
        (is_larger && is_stable).then(|| best.member.clone())
    }

    /// Returns the first of the best successors to confirm that it reaches the store.
    async fn first_reaching_store(&self) -> Option<MemberIdentity> {
        let mut probes = self.spawn_probes(self.successors().into_iter().take(PROBED_PEERS));
        while let Some(probe) = probes.join_next().await {
            if let Ok((member, Ok(true))) = probe {
                return Some(member);
            }
        }
        None
    }

    fn successors(&self) -> Vec<MemberIdentity> {
        let now = self.shared.clock().now();
        let view = self.shared.view();
        let members = view.successors(now);
        members.into_iter().map(|one| one.member.clone()).collect()
    }

    /// Asks a successor to become the leader, and leaves the group, so that other nodes don't wait
    /// for the membership to expire.
    async fn notify_successor(&self, term: LeaderTerm) {
        if let Some(successor) = self.first_reaching_store().await {
            log::info!(member:% = successor, term:% = term; "asking a successor to become the leader");
            let asked = self
                .shared
                .pool
                .become_leader(successor.address, term.0, BECOME_LEADER_TIMEOUT)
                .await;
            if let Err(error) = asked {
                log::warn!(member:% = successor, error:? = error; "successor did not confirm that it becomes the leader");
            }
        }
        let member = member_name(&self.shared.settings.identity);
        if let Err(error) = self.shared.context.store.leave(LEADERS, member).await {
            log::debug!("could not leave the group: {error}");
        }
    }
}

/// Returns the name of a member in the store's group.
pub(super) fn member_name(member: &MemberIdentity) -> SmolStr {
    member.to_smolstr()
}
