//! Takes part in leader elections.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::leadership::{
    BeatVerdict, ElectionAction, LeaderElection, LeaderRecord, LeaderTerm, MemberIdentity,
};
use geraniumshed_core::site::ConfigVersion;
use geraniumshed_model::prelude::LogOffset;

use super::leading::member_name;
use crate::leader::claim;
use crate::node::NodeShared;
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::topic::LEADERS;
use crate::wire::{HeartbeatReplyWire, HeartbeatWire, MemberWire, decode};

/// The timeout for the answer to a heartbeat to the leader.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout for the answer of a peer that is asked who leads.
const PEER_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// The timeout for reading the leader's record from the store.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which a new node waits for its first configuration before it gives up a claim.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(300);
/// The rank of a former leader in the next election, so that other members claim first.
const FORMER_LEADER_RANK: u32 = 3;
/// The interval at which a stopping node reads who leads.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);

/// The newest record of a leader in the store, and the end of its topic.
struct StoredLeader {
    record: Option<LeaderRecord>,
    end: LogOffset,
}

/// The async task of a node that takes part in elections.
#[derive(Debug)]
pub(crate) struct MemberTask<S, F: SiteFeed, W> {
    pub(super) shared: Arc<NodeShared<S, F, W>>,
}

impl<S, F: SiteFeed, W> Clone for MemberTask<S, F, W> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> MemberTask<S, F, W> {
    /// Creates the task of a node.
    pub(crate) fn new(shared: Arc<NodeShared<S, F, W>>) -> Self {
        Self { shared }
    }

    /// Takes part in elections, and leads when elected, until the node is stopped. From then on, only
    /// follows who leads.
    pub(crate) async fn run(self) {
        let own = self.shared.settings.identity.clone();
        let rank = self.shared.settings.first_rank;
        let clock = self.shared.clock();
        let mut election = LeaderElection::new(own, clock.now(), rank);
        let mut end = LogOffset(0);
        loop {
            if self.shared.is_stopping() {
                return self.follow_leader(election).await;
            }
            match election.next_action(clock.now()) {
                ElectionAction::Wait(delay) => {
                    tokio::select! {
                        () = tokio::time::sleep(delay) => {}
                        () = self.shared.asked_to_lead.notified() => {
                            let request = self.shared.view().lead_request;
                            if let Some(request) = request {
                                election.lead_requested(clock.now(), request.term);
                            }
                        }
                    }
                }
                ElectionAction::SendHeartbeat => self.heartbeat(&mut election).await,
                ElectionAction::ReadRecord => {
                    end = self.read_record(&mut election).await.unwrap_or(end);
                }
                ElectionAction::CheckMembership => self.check_membership(&mut election).await,
                ElectionAction::Claim => self.claim_lead(&mut election, end).await,
            }
        }
    }

    /// Keeps track of the leader until the process ends, so that calls of clients whose connections
    /// are still open reach it.
    async fn follow_leader(&self, mut election: LeaderElection) {
        loop {
            self.read_record(&mut election).await;
            tokio::time::sleep(FOLLOW_INTERVAL).await;
        }
    }

    /// Reads the newest claim, and returns the end of the topic if the store answers.
    async fn read_record(&self, election: &mut LeaderElection) -> Option<LogOffset> {
        match read_leader(&self.shared.context.store).await {
            Ok(stored) => {
                election.record_read(self.shared.clock().now(), stored.record);
                self.shared.view().leader = election.known().cloned();
                Some(stored.end)
            }
            Err(error) => {
                log::debug!("could not read the leader's record: {error}");
                self.find_leader_by_peers(election).await;
                None
            }
        }
    }

    /// Claims to lead, unless a claim was added at or after an offset, and leads if the claim
    /// succeeds.
    async fn claim_lead(&self, election: &mut LeaderElection, end: LogOffset) {
        let clock = self.shared.clock();
        // The planner needs a configuration.
        if !self
            .shared
            .config
            .is_read_within(FIRST_CONFIG_TIMEOUT)
            .await
        {
            election.store_failed(clock.now());
            return;
        }
        let context = &self.shared.context;
        match claim(&context.store, &self.shared.settings.identity, end).await {
            Ok(record) => {
                log::info!(term:% = record.term; "elected to lead");
                election.claim_won(clock.now(), record.clone());
                self.shared.view().begin_leading(record.clone());
                self.shared.metrics().leading.set(1);
                self.lead(record.term).await;
                election.leader_resigned(clock.now(), FORMER_LEADER_RANK);
            }
            Err(error) => {
                log::info!(error:% = error; "claim to lead failed");
                election.claim_lost(clock.now());
            }
        }
    }

    /// Sends a heartbeat to the known leader and passes its verdict to the election.
    async fn heartbeat(&self, election: &mut LeaderElection) {
        let clock = self.shared.clock();
        let Some(record) = election.known().cloned() else {
            election.claim_lost(clock.now());
            return;
        };
        if election.names_self() {
            election.heartbeat_answered(clock.now(), BeatVerdict::NotLeading, None);
            return;
        }
        let answer = self
            .shared
            .pool
            .heartbeat(
                record.member.address,
                self.own_heartbeat(),
                HEARTBEAT_TIMEOUT,
            )
            .await;
        let verdict = heartbeat_verdict(&record, &answer);
        if verdict != BeatVerdict::Leading {
            log::info!(
                leader:% = record.member, term:% = record.term, verdict:? = verdict;
                "leader did not confirm that it leads"
            );
        }
        let rank = answer.as_ref().ok().and_then(|reply| reply.rank);
        election.heartbeat_answered(clock.now(), verdict, rank);
        if let (BeatVerdict::Leading, Ok(reply)) = (verdict, answer) {
            self.shared
                .context
                .store_health
                .leader_reported(reply.is_store_slow);
            if reply.is_store_slow {
                self.shared.intake.monitor().leader_reported_slow();
            }
            let peers = reply.peers.into_iter().map(MemberIdentity::from).collect();
            self.shared.view().follow(clock.now(), &record, peers);
            self.shared.view().rank = rank;
            let announced = ConfigVersion(reply.config_version);
            self.shared
                .config
                .version_announced(&record.member, announced);
        }
    }

    pub(super) fn own_heartbeat(&self) -> HeartbeatWire {
        HeartbeatWire {
            member: MemberWire::from(self.shared.settings.identity.clone()),
            config_version: self.shared.config.version().0,
            processors: self.shared.settings.processors.0,
            is_stopping: self.shared.is_stopping(),
        }
    }

    /// Asks other nodes for a newer leader, since the store doesn't answer this node.
    async fn find_leader_by_peers(&self, election: &mut LeaderElection) {
        let clock = self.shared.clock();
        for member in self.other_members() {
            let answer = self
                .shared
                .pool
                .heartbeat(member.address, self.own_heartbeat(), PEER_HEARTBEAT_TIMEOUT)
                .await;
            let Ok(reply) = answer else {
                continue;
            };
            let announced = ConfigVersion(reply.config_version);
            self.shared.config.version_announced(&member, announced);
            let record = reply.leader.map(LeaderRecord::from);
            let known = election.known().map(|record| record.term);
            if record.as_ref().map(|record| record.term) > known {
                election.record_read(clock.now(), record);
                self.shared.view().leader = election.known().cloned();
                return;
            }
        }
        election.store_failed(clock.now());
    }

    /// Checks in the store whether the known leader is still a member of the group.
    async fn check_membership(&self, election: &mut LeaderElection) {
        let clock = self.shared.clock();
        let leader = election.known().map(|record| member_name(&record.member));
        match self.shared.context.store.members(LEADERS).await {
            Ok(members) => {
                let is_member = leader.is_some_and(|leader| members.contains(&leader));
                election.membership_checked(clock.now(), is_member);
            }
            Err(error) => {
                log::debug!("could not read the members of the group: {error}");
                election.store_failed(clock.now());
            }
        }
    }
}

/// Returns what the answer to a heartbeat shows about the leader.
fn heartbeat_verdict(
    record: &LeaderRecord,
    answer: &Result<HeartbeatReplyWire, PeerFailure>,
) -> BeatVerdict {
    match answer {
        Ok(reply) if reply.incarnation != record.member.incarnation => BeatVerdict::NotLeading,
        Ok(reply) if reply.is_leading => BeatVerdict::Leading,
        Ok(reply) if knows_only_earlier_terms(record, reply) => BeatVerdict::Unaware,
        Ok(_) | Err(PeerFailure::Refused) => BeatVerdict::NotLeading,
        Err(PeerFailure::NotSent | PeerFailure::Unanswered) => BeatVerdict::Silent,
    }
}

/// Returns whether an answering process doesn't know the given record yet.
fn knows_only_earlier_terms(record: &LeaderRecord, reply: &HeartbeatReplyWire) -> bool {
    let known = reply.leader.clone().map(LeaderRecord::from);
    known.is_none_or(|known| known.term < record.term)
}

/// Reads the newest claim to lead.
async fn read_leader<S: StoreClient>(store: &S) -> Result<StoredLeader, StoreError> {
    let page = store.newest(LEADERS, None, RECORD_TIMEOUT).await?;
    let record = page.records.iter().rev().find_map(|(offset, record)| {
        let member: MemberWire = decode(&record.value)
            .inspect_err(|error| log::error!("could not decode the leader's record: {error}"))
            .ok()?;
        Some(LeaderRecord {
            term: LeaderTerm(offset.0 + 1),
            member: member.into(),
        })
    });
    Ok(StoredLeader {
        record,
        end: page.end,
    })
}
