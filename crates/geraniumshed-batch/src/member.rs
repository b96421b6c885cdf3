//! A node's part in the election of the leader.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::membership::{
    BeatVerdict, ElectionMove, LeaderElection, LeaderRecord, LeaderTerm, MemberIdentity,
};
use geraniumshed_model::prelude::LogOffset;
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::{mpsc, oneshot};

use crate::leader::{self, LeaderEnd, StoreQuestion, claim, take_over};
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
/// The pause after the store could not be used to take over.
const TAKE_OVER_RETRY: Duration = Duration::from_millis(100);
/// The rank of a member that led until now, so that others go first.
const FORMER_LEADER_RANK: u32 = 3;
/// The attempts to take over before another node may try.
const TAKE_OVER_ATTEMPTS: u32 = 5;

/// What the newest leader's record in the store says, and where the topic ends.
struct StoredLeader {
    record: Option<LeaderRecord>,
    end: LogOffset,
}

/// Takes part in elections, and leads when elected, until the process ends.
pub(crate) async fn run<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let own = shared.settings.identity.clone();
    let rank = shared.settings.first_rank;
    let clock = shared.clock();
    let mut election = LeaderElection::new(own, clock.now(), rank);
    let mut end = LogOffset(0);
    loop {
        if shared.is_stopping() {
            return;
        }
        match election.next_move(clock.now()) {
            ElectionMove::Wait(pause) => {
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = shared.asked_to_lead.notified() => {
                        election.leader_resigned(clock.now(), 0);
                    }
                }
            }
            ElectionMove::Beat => beat(&shared, &mut election).await,
            ElectionMove::ReadRecord => match read_leader(&shared.context.store).await {
                Ok(stored) => {
                    end = stored.end;
                    election.record_read(clock.now(), stored.record);
                    shared.view().leader = election.known().cloned();
                }
                Err(error) => {
                    log::debug!("the leader's record can't be read: {error}");
                    follow_by_peers(&shared, &mut election).await;
                }
            },
            ElectionMove::CheckMembership => check_membership(&shared, &mut election).await,
            ElectionMove::Claim => {
                // Without a configuration, nothing could be planned.
                if shared.config().is_none() {
                    election.store_failed(clock.now());
                    continue;
                }
                match claim(&shared.context.store, &shared.settings.identity, end).await {
                    Ok(record) => {
                        log::info!("elected to lead in term {}", record.term);
                        election.claim_won(clock.now(), record.clone());
                        begin_leading(&shared, &record);
                        lead(&shared, record.term).await;
                        shared.view().is_leading = false;
                        election.leader_resigned(clock.now(), FORMER_LEADER_RANK);
                    }
                    Err(error) => {
                        log::info!("the claim to lead does not hold: {error}");
                        election.claim_lost(clock.now());
                    }
                }
            }
        }
    }
}

/// Sends a heartbeat to the known leader.
async fn beat<S, F, W>(shared: &Arc<NodeShared<S, F, W>>, election: &mut LeaderElection)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let clock = shared.clock();
    let Some(record) = election.known().cloned() else {
        election.claim_lost(clock.now());
        return;
    };
    if election.names_self() {
        election.beat_answered(clock.now(), BeatVerdict::NotLeading, None);
        return;
    }
    let answer = shared
        .pool
        .beat(record.member.address, own_beat(shared), BEAT_LIMIT)
        .await;
    let verdict = judge_beat(&record, &answer);
    if verdict != BeatVerdict::Leading {
        log::debug!("leader {}: {verdict:?}", record.member);
    }
    let rank = answer.as_ref().ok().and_then(|reply| reply.rank);
    election.beat_answered(clock.now(), verdict, rank);
    if let (BeatVerdict::Leading, Ok(reply)) = (verdict, answer) {
        let peers = reply.peers.into_iter().map(MemberIdentity::from).collect();
        shared.view().peers = peers;
        take_config(shared, &record.member, reply.config_version).await;
    }
}

fn own_beat<S, F, W>(shared: &Arc<NodeShared<S, F, W>>) -> BeatWire
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    BeatWire {
        member: MemberWire::from(shared.settings.identity.clone()),
        config_version: shared.config_version().0,
        processors: shared.settings.processors.0,
        is_stopping: shared.is_stopping(),
    }
}

/// Looks for a newer leader among other nodes, since the store doesn't answer here.
async fn follow_by_peers<S, F, W>(shared: &Arc<NodeShared<S, F, W>>, election: &mut LeaderElection)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let clock = shared.clock();
    let mut members = shared.view().peers.clone();
    members.extend(successors(shared));
    members.retain(|member| member.address != shared.settings.identity.address);
    for member in members {
        let answer = shared
            .pool
            .beat(member.address, own_beat(shared), PEER_BEAT_LIMIT)
            .await;
        let Ok(reply) = answer else {
            continue;
        };
        take_config(shared, &member, reply.config_version).await;
        let record = reply.leader.map(LeaderRecord::from);
        let known = election.known().map(|record| record.term);
        if record.as_ref().map(|record| record.term) > known {
            election.record_read(clock.now(), record);
            shared.view().leader = election.known().cloned();
            return;
        }
    }
    election.store_failed(clock.now());
}

fn judge_beat(record: &LeaderRecord, answer: &Result<BeatReplyWire, PeerFailure>) -> BeatVerdict {
    match answer {
        Ok(reply) if reply.incarnation != record.member.incarnation => BeatVerdict::NotLeading,
        Ok(reply) if reply.is_leading => BeatVerdict::Leading,
        Ok(_) | Err(PeerFailure::Refused) => BeatVerdict::NotLeading,
        Err(PeerFailure::NotSent | PeerFailure::Unanswered) => BeatVerdict::Silent,
    }
}

/// Reads a node's configuration if it is newer than the one in force.
async fn take_config<S, F, W>(
    shared: &Arc<NodeShared<S, F, W>>,
    member: &MemberIdentity,
    version: u64,
) where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    if version <= shared.config_version().0 {
        return;
    }
    match shared.pool.config(member.address, BEAT_LIMIT).await {
        Ok(source) => {
            if let Some(config) = shared.context.feed.decode(&source) {
                shared.apply_config(config);
            }
        }
        Err(error) => log::debug!("the configuration of {member} can't be read: {error:?}"),
    }
}

async fn check_membership<S, F, W>(shared: &Arc<NodeShared<S, F, W>>, election: &mut LeaderElection)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let clock = shared.clock();
    let leader = election.known().map(|record| member_name(&record.member));
    match shared.context.store.members(LEADERS).await {
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

async fn read_leader<S: StoreClient>(store: &S) -> Result<StoredLeader, StoreError> {
    let page = store.newest(LEADERS, None).await?;
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

fn begin_leading<S, F, W>(shared: &Arc<NodeShared<S, F, W>>, record: &LeaderRecord)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let mut view = shared.view();
    view.leader = Some(record.clone());
    view.is_leading = true;
}

/// Leads until a later leader takes over or the process is to stop.
async fn lead<S, F, W>(shared: &Arc<NodeShared<S, F, W>>, term: LeaderTerm)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let Some(found) = take_over_patiently(shared, term).await else {
        return;
    };
    let queues = shared
        .config()
        .map(|one| one.queues.clone())
        .unwrap_or_default();
    let (silence, questions) = mpsc::unbounded_channel();
    let (handle, end) = leader::run(shared.context.clone(), term, found, queues, silence);
    shared.view().handle = Some(handle);
    let joining = tokio::spawn(keep_joined(Arc::clone(shared)));
    let watching = tokio::spawn(answer_questions(Arc::clone(shared), questions));
    let reason = end.await.unwrap_or(LeaderEnd::Resigned);
    joining.abort();
    watching.abort();
    {
        let mut view = shared.view();
        view.handle = None;
        view.is_leading = false;
    };
    log::warn!("not leading any more in term {term}: {reason:?}");
    if reason == LeaderEnd::Resigned {
        name_successor(shared, term).await;
    }
}

async fn take_over_patiently<S, F, W>(
    shared: &Arc<NodeShared<S, F, W>>,
    term: LeaderTerm,
) -> Option<leader::TakeOver>
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    for _ in 0..TAKE_OVER_ATTEMPTS {
        match take_over(&shared.context.store, term).await {
            Ok(found) => return Some(found),
            Err(StoreError::Fenced) => return None,
            Err(error) => {
                log::warn!("taking over in term {term} failed: {error}");
                tokio::time::sleep(TAKE_OVER_RETRY).await;
            }
        }
    }
    None
}

/// Keeps the leader in the store's group.
async fn keep_joined<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let member = member_name(&shared.settings.identity);
    loop {
        let store = &shared.context.store;
        if let Err(error) = store.join(LEADERS, member.clone(), MEMBER_LIFETIME).await {
            log::debug!("the leader's membership was not renewed: {error}");
        }
        tokio::time::sleep(JOIN_PAUSE).await;
    }
}

/// Asks peers whether they reach the store, and lets the leader resign if one does.
async fn answer_questions<S, F, W>(
    shared: Arc<NodeShared<S, F, W>>,
    mut questions: mpsc::UnboundedReceiver<StoreQuestion>,
) where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    while let Some(StoreQuestion(handle)) = questions.recv().await {
        if first_with_store(&shared).await.is_some() {
            log::warn!("another node reaches the store, which doesn't answer here");
            handle.outpace();
        }
    }
}

/// Returns the first of the likely successors that reaches the store.
async fn first_with_store<S, F, W>(shared: &Arc<NodeShared<S, F, W>>) -> Option<MemberIdentity>
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let (sender, answers) = oneshot::channel();
    let sender = Arc::new(std::sync::Mutex::new(Some(sender)));
    for member in successors(shared).into_iter().take(PROBED_PEERS) {
        let pool = shared.pool.clone();
        let sender = Arc::clone(&sender);
        tokio::spawn(async move {
            let reaches = pool.probe_store(member.address, PROBE_LIMIT).await;
            if reaches == Ok(true) {
                let first = sender.lock().ok().and_then(|mut one| one.take());
                if first.is_some_and(|one| one.send(member).is_err()) {
                    log::debug!("nobody waits for the probe any more");
                }
            }
        });
    }
    drop(sender);
    answers.await.ok()
}

fn successors<S, F, W>(shared: &Arc<NodeShared<S, F, W>>) -> Vec<MemberIdentity>
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let now = shared.clock().now();
    let view = shared.view();
    let members = view.successors(now);
    members.into_iter().map(|one| one.member.clone()).collect()
}

/// Asks the best successor to lead, and leaves the group so that others needn't wait.
async fn name_successor<S, F, W>(shared: &Arc<NodeShared<S, F, W>>, term: LeaderTerm)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    if let Some(successor) = first_with_store(shared).await {
        log::info!("asking {successor} to lead");
        let asked = shared
            .pool
            .succeed(successor.address, term.0, SUCCEED_LIMIT)
            .await;
        if let Err(error) = asked {
            log::warn!("{successor} didn't take note that it should lead: {error:?}");
        }
    }
    let member = member_name(&shared.settings.identity);
    if let Err(error) = shared.context.store.leave(LEADERS, member).await {
        log::debug!("the group could not be left: {error}");
    }
}

fn member_name(member: &MemberIdentity) -> SmolStr {
    member.to_smolstr()
}
