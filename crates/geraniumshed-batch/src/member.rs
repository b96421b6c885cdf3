//! A node's part in the election of the leader.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::job::JobId;
use geraniumshed_core::membership::{
    BeatVerdict, ElectionMove, LeaderElection, LeaderRecord, LeaderTerm, MemberIdentity,
};
use geraniumshed_model::prelude::LogOffset;
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::leader::{self, LeaderEnd, LeaderHandle, StoreQuestion, claim, take_over};
use crate::node::NodeShared;
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::topic::LEADERS;
use crate::wire::{BeatReplyWire, BeatWire, MemberWire, decode};

/// The time within which a heartbeat has to be answered.
const BEAT_LIMIT: Duration = Duration::from_millis(400);
/// The time within which a peer has to answer who leads.
const PEER_BEAT_LIMIT: Duration = Duration::from_millis(250);
/// The time for which the store keeps a silent leader in the group.
const MEMBER_LIFETIME: Duration = Duration::from_secs(1);
/// The time between two renewals of the leader's membership.
const JOIN_PAUSE: Duration = Duration::from_millis(300);
/// The time within which a peer has to answer whether it reaches the store.
const PROBE_LIMIT: Duration = Duration::from_millis(700);
/// The number of peers that are asked whether they reach the store.
const PROBED_PEERS: usize = 3;
/// The time within which a peer has to take note that it should lead.
const SUCCEED_LIMIT: Duration = Duration::from_millis(300);
/// The time within which the store has to tell who leads.
const RECORD_LIMIT: Duration = Duration::from_secs(1);
/// The pause after the store could not be used to take over.
const TAKE_OVER_RETRY: Duration = Duration::from_millis(100);
/// The time within which a node has to tell which cancellations it pursues.
const CANCELS_LIMIT: Duration = Duration::from_millis(250);
/// The rank of a member that led until now, so that others go first.
const FORMER_LEADER_RANK: u32 = 3;
/// The pause between two looks for a node on a larger VM, which has to be alive for as long.
const YIELD_PAUSE: Duration = Duration::from_millis(1500);
/// The factor by which a VM has to be larger for its node to be given the lead.
const LARGER_FACTOR: u32 = 2;
/// The attempts to take over before another node may try.
const TAKE_OVER_ATTEMPTS: u32 = 5;

/// What the newest leader's record in the store says, and where the topic ends.
struct StoredLeader {
    record: Option<LeaderRecord>,
    end: LogOffset,
}

/// The task of a node that takes part in elections.
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

    /// Takes part in elections, and leads when elected, until the process ends.
    pub(crate) async fn run(self) {
        let own = self.shared.settings.identity.clone();
        let rank = self.shared.settings.first_rank;
        let clock = self.shared.clock();
        let mut election = LeaderElection::new(own, clock.now(), rank);
        let mut end = LogOffset(0);
        loop {
            if self.shared.is_stopping() {
                return;
            }
            match election.next_move(clock.now()) {
                ElectionMove::Wait(pause) => {
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        () = self.shared.asked_to_lead.notified() => {
                            election.leader_resigned(clock.now(), 0);
                        }
                    }
                }
                ElectionMove::Beat => self.beat(&mut election).await,
                ElectionMove::ReadRecord => {
                    end = self.read_record(&mut election).await.unwrap_or(end);
                }
                ElectionMove::CheckMembership => self.check_membership(&mut election).await,
                ElectionMove::Claim => self.claim_lead(&mut election, end).await,
            }
        }
    }

    /// Reads the newest claim, and returns where their topic ends if the store answers.
    async fn read_record(&self, election: &mut LeaderElection) -> Option<LogOffset> {
        match read_leader(&self.shared.context.store).await {
            Ok(stored) => {
                election.record_read(self.shared.clock().now(), stored.record);
                self.shared.view().leader = election.known().cloned();
                Some(stored.end)
            }
            Err(error) => {
                log::debug!("the leader's record can't be read: {error}");
                self.follow_by_peers(election).await;
                None
            }
        }
    }

    /// Claims to lead, if no claim was added at or after an offset, and leads if that holds.
    async fn claim_lead(&self, election: &mut LeaderElection, end: LogOffset) {
        let clock = self.shared.clock();
        // Without a configuration, nothing could be planned.
        if self.shared.config().is_none() {
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
                log::info!(error:% = error; "claim to lead does not hold");
                election.claim_lost(clock.now());
            }
        }
    }

    /// Sends a heartbeat to the known leader.
    async fn beat(&self, election: &mut LeaderElection) {
        let clock = self.shared.clock();
        let Some(record) = election.known().cloned() else {
            election.claim_lost(clock.now());
            return;
        };
        if election.names_self() {
            election.beat_answered(clock.now(), BeatVerdict::NotLeading, None);
            return;
        }
        let answer = self
            .shared
            .pool
            .beat(record.member.address, self.own_beat(), BEAT_LIMIT)
            .await;
        let verdict = judge_beat(&record, &answer);
        if verdict != BeatVerdict::Leading {
            log::info!(
                leader:% = record.member, term:% = record.term, verdict:? = verdict;
                "leader doesn't confirm that it leads"
            );
        }
        let rank = answer.as_ref().ok().and_then(|reply| reply.rank);
        election.beat_answered(clock.now(), verdict, rank);
        if let (BeatVerdict::Leading, Ok(reply)) = (verdict, answer) {
            if reply.is_store_slow {
                self.shared.intake.pace().leader_told();
            }
            let peers = reply.peers.into_iter().map(MemberIdentity::from).collect();
            self.shared.view().peers = peers;
            self.shared
                .take_config(&record.member, reply.config_version)
                .await;
        }
    }

    fn own_beat(&self) -> BeatWire {
        BeatWire {
            member: MemberWire::from(self.shared.settings.identity.clone()),
            config_version: self.shared.config_version().0,
            processors: self.shared.settings.processors.0,
            is_stopping: self.shared.is_stopping(),
        }
    }

    /// Looks for a newer leader among other nodes, since the store doesn't answer here.
    async fn follow_by_peers(&self, election: &mut LeaderElection) {
        let clock = self.shared.clock();
        for member in self.other_members() {
            let answer = self
                .shared
                .pool
                .beat(member.address, self.own_beat(), PEER_BEAT_LIMIT)
                .await;
            let Ok(reply) = answer else {
                continue;
            };
            self.shared.take_config(&member, reply.config_version).await;
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

    async fn check_membership(&self, election: &mut LeaderElection) {
        let clock = self.shared.clock();
        let leader = election.known().map(|record| member_name(&record.member));
        match self.shared.context.store.members(LEADERS).await {
            Ok(members) => {
                let is_member = leader.is_some_and(|leader| members.contains(&leader));
                election.membership_checked(clock.now(), is_member);
            }
            Err(error) => {
                log::debug!("the group's members can't be read: {error}");
                election.store_failed(clock.now());
            }
        }
    }

    /// Leads until a later leader takes over or the process is to stop.
    async fn lead(&self, term: LeaderTerm) {
        // Others look for the leader in the group also while it takes over.
        let joining = tokio::spawn(self.clone().keep_joined());
        let (found, cancelled) =
            tokio::join!(self.take_over_patiently(term), self.pursued_cancels());
        let Some(mut found) = found else {
            joining.abort();
            self.shared.end_leading();
            return;
        };
        found.cancelled = cancelled;
        let queues = self
            .shared
            .config()
            .map(|one| one.queues.clone())
            .unwrap_or_default();
        let (silence, questions) = mpsc::unbounded_channel();
        let (handle, end) = leader::run(self.shared.context.clone(), term, found, queues, silence);
        self.shared.view().handle = Some(handle.clone());
        let watching = tokio::spawn(self.clone().answer_questions(questions));
        let yielding = tokio::spawn(self.clone().yield_to_larger(handle.clone()));
        let reason = end.await.unwrap_or(LeaderEnd::Resigned);
        joining.abort();
        watching.abort();
        yielding.abort();
        self.shared.end_leading();
        log::warn!(term:% = term, reason:? = reason; "not leading any more");
        if reason == LeaderEnd::Resigned {
            self.name_successor(term).await;
        }
    }

    async fn take_over_patiently(&self, term: LeaderTerm) -> Option<leader::TakeOver> {
        for _ in 0..TAKE_OVER_ATTEMPTS {
            match take_over(&self.shared.context.store, term).await {
                Ok(found) => return Some(found),
                Err(StoreError::Fenced) => return None,
                Err(error) => {
                    log::warn!(term:% = term, error:% = error; "taking over failed");
                    tokio::time::sleep(TAKE_OVER_RETRY).await;
                }
            }
        }
        None
    }

    /// Returns the jobs whose cancellation this or another node pursues, so that none of their tasks
    /// starts meanwhile.
    async fn pursued_cancels(&self) -> BTreeSet<JobId> {
        let mut questions = JoinSet::new();
        for member in self.other_members() {
            let pool = self.shared.pool.clone();
            questions.spawn(async move {
                let answer = pool.pursued_cancels(member.address, CANCELS_LIMIT).await;
                answer.inspect_err(|error| {
                    log::debug!("{member} doesn't tell of its cancellations: {error:?}");
                })
            });
        }
        let mut jobs: BTreeSet<JobId> = self.shared.pursuits.jobs().into_iter().collect();
        while let Some(answer) = questions.join_next().await {
            jobs.extend(answer.ok().and_then(Result::ok).unwrap_or_default());
        }
        jobs
    }

    /// Returns the members that this node or the last leader has heard of.
    fn other_members(&self) -> Vec<MemberIdentity> {
        let mut members = self.shared.view().peers.clone();
        members.extend(self.successors());
        members.sort_unstable();
        members.dedup();
        members.retain(|member| member.address != self.shared.settings.identity.address);
        members
    }

    /// Keeps the leader in the store's group.
    async fn keep_joined(self) {
        let member = member_name(&self.shared.settings.identity);
        loop {
            let store = &self.shared.context.store;
            if let Err(error) = store.join(LEADERS, member.clone(), MEMBER_LIFETIME).await {
                log::debug!("the leader's membership was not renewed: {error}");
            }
            tokio::time::sleep(JOIN_PAUSE).await;
        }
    }

    /// Asks peers whether they reach the store, and lets the leader resign if one does while this
    /// node doesn't. A store that is slow for all nodes is no reason to change the leader.
    async fn answer_questions(self, mut questions: mpsc::UnboundedReceiver<StoreQuestion>) {
        while let Some(StoreQuestion(handle)) = questions.recv().await {
            let store = &self.shared.context.store;
            let own = store.newest(LEADERS, None, PROBE_LIMIT);
            let (own, other) = tokio::join!(own, self.first_with_store());
            if own.is_err() && other.is_some() {
                log::warn!("another node reaches the store, which doesn't answer here");
                handle.outpace();
            }
        }
    }

    /// Lets the leader resign once a node on a much larger VM could lead, since a small one can't
    /// keep up with many workers.
    async fn yield_to_larger(self, handle: LeaderHandle) {
        loop {
            tokio::time::sleep(YIELD_PAUSE).await;
            let Some(larger) = self.larger_member() else {
                continue;
            };
            let pool = &self.shared.pool;
            if pool.probe_store(larger.address, PROBE_LIMIT).await == Ok(true) {
                log::info!(member:% = larger; "node on a much larger VM shall lead");
                handle.outpace();
                return;
            }
        }
    }

    /// Returns a node on a much larger VM that has been alive for a while.
    fn larger_member(&self) -> Option<MemberIdentity> {
        let now = self.shared.clock().now();
        let least = self
            .shared
            .settings
            .processors
            .0
            .saturating_mul(LARGER_FACTOR);
        let view = self.shared.view();
        let best = view.successors(now).first().copied()?;
        let is_larger = best.processors.0 >= least;
        let is_steady = now.since(best.first_heard_at) >= YIELD_PAUSE;
        (is_larger && is_steady).then(|| best.member.clone())
    }

    /// Returns the first of the likely successors that reaches the store.
    async fn first_with_store(&self) -> Option<MemberIdentity> {
        let mut probes = JoinSet::new();
        for member in self.successors().into_iter().take(PROBED_PEERS) {
            let pool = self.shared.pool.clone();
            probes.spawn(async move {
                let reaches = pool.probe_store(member.address, PROBE_LIMIT).await;
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

    /// Asks the best successor to lead, and leaves the group so that others needn't wait.
    async fn name_successor(&self, term: LeaderTerm) {
        if let Some(successor) = self.first_with_store().await {
            log::info!(member:% = successor, term:% = term; "asking a successor to lead");
            let asked = self
                .shared
                .pool
                .succeed(successor.address, term.0, SUCCEED_LIMIT)
                .await;
            if let Err(error) = asked {
                log::warn!(member:% = successor, error:? = error; "successor didn't take note that it should lead");
            }
        }
        let member = member_name(&self.shared.settings.identity);
        if let Err(error) = self.shared.context.store.leave(LEADERS, member).await {
            log::debug!("the group could not be left: {error}");
        }
    }
}

fn judge_beat(record: &LeaderRecord, answer: &Result<BeatReplyWire, PeerFailure>) -> BeatVerdict {
    match answer {
        Ok(reply) if reply.incarnation != record.member.incarnation => BeatVerdict::NotLeading,
        Ok(reply) if reply.is_leading => BeatVerdict::Leading,
        Ok(_) | Err(PeerFailure::Refused) => BeatVerdict::NotLeading,
        Err(PeerFailure::NotSent | PeerFailure::Unanswered) => BeatVerdict::Silent,
    }
}

async fn read_leader<S: StoreClient>(store: &S) -> Result<StoredLeader, StoreError> {
    let page = store.newest(LEADERS, None, RECORD_LIMIT).await?;
    let record = page.records.iter().rev().find_map(|(offset, record)| {
        let member: MemberWire = decode(&record.value)
            .inspect_err(|error| log::error!("the leader's record can't be read: {error}"))
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

fn member_name(member: &MemberIdentity) -> SmolStr {
    member.to_smolstr()
}
