//! Finds out whether a leader that the store doesn't answer may go on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::leadership::{
    LeaderRecord, LeaderTerm, MemberAnswer, MemberIdentity, OutageVerdict, judge_outage,
};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::leading::PROBE_TIMEOUT;
use super::task::MemberTask;
use crate::leader::ProbeRequest;
use crate::node::RECENT_MEMBER_TTL;
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::topic::LEADERS;

/// The time after which a leader that stores progress has got heartbeats from all members that it reaches.
const MEETING_TIME: Duration = Duration::from_secs(10);

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> MemberTask<S, F, W> {
    /// Asks the other members about the store on request of the leader task. Makes the leader resign if one
    /// reaches the store while this node doesn't, and tells it if none can have taken over.
    pub(super) async fn answer_probe_requests(
        self,
        term: LeaderTerm,
        mut requests: mpsc::UnboundedReceiver<ProbeRequest>,
    ) {
        let begun_at = Instant::now();
        let (named, followed_predecessor) = self.named_members(term);
        // A member that fell silent during the outage may have been elected.
        let mut members = BTreeSet::new();
        while let Some(ProbeRequest {
            handle,
            is_first,
            unanswered_since,
        }) = requests.recv().await
        {
            let asked_at = self.shared.clock().now();
            if is_first {
                members.clear();
            }
            members.extend(self.shared.view().recent_members(asked_at));
            if begun_at.elapsed() < RECENT_MEMBER_TTL {
                members.extend(named.iter().cloned());
            }
            let has_met_all = unanswered_since.duration_since(begun_at) >= MEETING_TIME;
            let knows_all = (has_met_all && self.is_in_contact(&members)) || followed_predecessor;
            let store = &self.shared.context.store;
            let own = store.newest(LEADERS, None, PROBE_TIMEOUT);
            let (own, verdict) = tokio::join!(own, self.probe_members(term, &members));
            if verdict.is_replaced {
                log::warn!(term:% = term; "another node knows a later leader; ending leadership");
                handle.report_replaced();
                continue;
            }
            if verdict.is_unreplaced && knows_all {
                handle.report_unreplaced(asked_at);
            } else {
                log::warn!(
                    members = members.len();
                    "progress can't be stored, and some nodes don't tell whether they lead"
                );
            }
            // The last leases of a leader that resigns build on the report.
            if own.is_err() && verdict.is_replaceable {
                log::warn!("store does not answer this node but answers another one; resigning");
                handle.yield_lead();
            }
        }
    }

    /// Returns the earlier leaders that this node followed with the members that they knew, and whether it
    /// followed the leader right before a term.
    fn named_members(&self, term: LeaderTerm) -> (Vec<MemberIdentity>, bool) {
        let own = self.shared.settings.identity.address;
        let view = self.shared.view();
        let named = view.named_members.keys().cloned();
        let others = named.filter(|member| member.address != own).collect();
        let followed = view.followed_term;
        (others, followed.is_some_and(|before| before.precedes(term)))
    }

    /// Returns whether some member was heard recently, or there never was one. A node that has lost contact with
    /// all others for longer than members are remembered knows none.
    fn is_in_contact(&self, members: &BTreeSet<MemberIdentity>) -> bool {
        !members.is_empty() || self.shared.view().tracked_members.is_empty()
    }

    /// Asks members whether they reach the store and which leader they know.
    async fn probe_members(
        &self,
        term: LeaderTerm,
        members: &BTreeSet<MemberIdentity>,
    ) -> OutageVerdict {
        let addresses: BTreeSet<SocketAddr> = members.iter().map(|one| one.address).collect();
        let mut probes = JoinSet::new();
        for address in addresses {
            let task = self.clone();
            probes.spawn(async move { task.probe_member(address).await });
        }
        let mut answers = Vec::new();
        while let Some(probe) = probes.join_next().await {
            let answer = probe.unwrap_or_else(|error| {
                log::error!(error:% = error; "probe of a node failed");
                MemberAnswer::Silent
            });
            answers.push(answer);
        }
        judge_outage(term, answers)
    }

    /// Asks a member whether it reaches the store and which leader it knows.
    async fn probe_member(&self, address: SocketAddr) -> MemberAnswer {
        let pool = &self.shared.pool;
        let (reaches, heartbeat) = tokio::join!(
            pool.probe_store(address, PROBE_TIMEOUT),
            pool.heartbeat(address, self.own_heartbeat(), PROBE_TIMEOUT)
        );
        match heartbeat {
            Ok(reply) => MemberAnswer::Alive {
                known: reply.leader.map(|leader| LeaderRecord::from(leader).term),
                // A member that waits for the store itself answers too late.
                reaches_store: reaches.unwrap_or(false),
            },
            Err(PeerFailure::Refused | PeerFailure::NotSent | PeerFailure::Unanswered) => {
                MemberAnswer::Silent
            }
        }
    }
}
