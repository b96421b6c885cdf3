//! Takes part in leader elections, and supervises the leader task while this node leads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::job::JobId;
use geraniumshed_core::leadership::{
    BeatVerdict, ElectionAction, LeaderElection, LeaderRecord, LeaderTerm, MemberIdentity,
};
use geraniumshed_core::site::ConfigVersion;
use geraniumshed_model::prelude::LogOffset;
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::leader::{self, LeaderEnd, LeaderHandle, ProbeRequest, claim, take_over};
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
/// The time after which the store removes a leader that doesn't renew its membership from the
/// group.
const MEMBER_LIFETIME: Duration = Duration::from_secs(1);
/// The interval between renewals of the leader's membership.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout for the answer of a peer that is asked whether it reaches the store.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The number of successors that are asked whether they reach the store.
const PROBED_PEERS: usize = 3;
/// The timeout for the answer of a peer that is asked to become the leader.
const BECOME_LEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout for reading the leader's record from the store.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which a new node waits for its first configuration before it gives up a claim.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before a failed takeover is retried.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The timeout for the answer of a node that is asked for its active cancellations.
const ACTIVE_CANCELS_TIMEOUT: Duration = Duration::from_millis(250);
/// The rank of a former leader in the next election, so that other members claim first.
const FORMER_LEADER_RANK: u32 = 3;
/// The interval between checks for a node on a larger VM, and the time for which it has to be
/// alive.
const YIELD_CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// The interval at which a stopping node reads who leads.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);
/// The factor by which a VM has to be larger for its node to become the leader.
const LARGER_FACTOR: u32 = 2;
/// The number of takeover attempts before the node gives up its claim.
const TAKEOVER_ATTEMPTS: u32 = 5;

/// The newest record of a leader in the store, and the end of its topic.
struct StoredLeader {
    record: Option<LeaderRecord>,
    end: LogOffset,
}

/// The async task of a node that takes part in elections.
#[derive(Debug)]
pub(crate) struct MemberTask<S, F: SiteFeed, W> {
    shared: Arc<NodeShared<S, F, W>>,
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
            if reply.is_store_slow {
                self.shared.intake.monitor().leader_reported_slow();
            }
            let peers = reply.peers.into_iter().map(MemberIdentity::from).collect();
            self.shared.view().peers = peers;
            self.shared.view().rank = rank;
            let announced = ConfigVersion(reply.config_version);
            self.shared
                .config
                .version_announced(&record.member, announced);
        }
    }

    fn own_heartbeat(&self) -> HeartbeatWire {
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

    /// Leads until a later leader takes over, or until the leader task resigns.
    async fn lead(&self, term: LeaderTerm) {
        // Other nodes check whether the leader is in the group, also during the takeover.
        let membership = tokio::spawn(self.clone().keep_membership());
        let (recovered, cancelled) =
            tokio::join!(self.take_over_with_retries(term), self.active_cancels());
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
            probe_sender,
        );
        self.shared.view().handle = Some(handle.clone());
        let probing = tokio::spawn(self.clone().answer_probe_requests(probe_requests));
        let yielding = tokio::spawn(self.clone().yield_to_larger(handle.clone()));
        let reason = end.await.unwrap_or(LeaderEnd::Resigned);
        membership.abort();
        probing.abort();
        yielding.abort();
        self.shared.end_leading();
        log::warn!(term:% = term, reason:? = reason; "not leading any more");
        if reason == LeaderEnd::Resigned {
            self.notify_successor(term).await;
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
    fn other_members(&self) -> Vec<MemberIdentity> {
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

    /// Asks peers whether they reach the store on request of the leader task, and makes the leader
    /// resign if a peer does while this node doesn't. A store that is slow for all nodes is no
    /// reason to change the leader.
    async fn answer_probe_requests(self, mut requests: mpsc::UnboundedReceiver<ProbeRequest>) {
        while let Some(ProbeRequest(handle)) = requests.recv().await {
            let store = &self.shared.context.store;
            let own = store.newest(LEADERS, None, PROBE_TIMEOUT);
            let (own, other) = tokio::join!(own, self.first_reaching_store());
            if own.is_err() && other.is_some() {
                log::warn!("store does not answer this node but answers another one; resigning");
                handle.yield_lead();
            }
        }
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
        let mut probes = JoinSet::new();
        for member in self.successors().into_iter().take(PROBED_PEERS) {
            let pool = self.shared.pool.clone();
            probes.spawn(async move {
                let reaches = pool.probe_store(member.address, PROBE_TIMEOUT).await;
                (reaches == Ok(true)).then_some(member)
            });
        }
        while let Some(probe) = probes.join_next().await {
            if let Ok(Some(member)) = probe {
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

/// Returns the name of a member in the store's group.
fn member_name(member: &MemberIdentity) -> SmolStr {
    member.to_smolstr()
}
