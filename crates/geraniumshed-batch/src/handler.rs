//! The server side of the calls between nodes.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::intake::StoreVerdict;
use geraniumshed_core::job::JobId;
use geraniumshed_core::leadership::{LeaderTerm, MemberIdentity};
use geraniumshed_core::site::ConfigVersion;
use geraniumshed_model::prelude::ProcessorShare;
use tarpc::context::Context;
use tokio::time::Instant;

use crate::config::answer_config_query;
use crate::forecast::answer_forecast_query;
use crate::node::{LeadRequest, NodeShared, TrackedMember};
use crate::service::{CallOutcome, JobService, ask_local_leader};
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::topic::LEADERS;
use crate::wire::{
    ConfigQueryWire, ConfigReplyWire, CourierReplyBatchWire, CourierRequestWire, ForecastQueryWire,
    ForecastReplyWire, HeartbeatReplyWire, HeartbeatWire, JobAnswerWire, JobCallWire, LeaderWire,
    MemberWire, NodePeer,
};

/// The time within which a forwarded call has to be answered.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);
/// The time within which the store has to answer to count as reachable.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers the calls of other nodes.
#[derive(Debug)]
pub(crate) struct PeerHandler<S, F: SiteFeed, W> {
    service: JobService<S, F, W>,
}

impl<S, F: SiteFeed, W> Clone for PeerHandler<S, F, W> {
    fn clone(&self) -> Self {
        Self {
            service: self.service.clone(),
        }
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> PeerHandler<S, F, W> {
    pub(crate) fn new(shared: Arc<NodeShared<S, F, W>>) -> Self {
        Self {
            service: JobService::new(shared),
        }
    }

    fn shared(&self) -> &NodeShared<S, F, W> {
        &self.service.shared
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> NodePeer for PeerHandler<S, F, W> {
    async fn heartbeat(self, _: Context, request: HeartbeatWire) -> HeartbeatReplyWire {
        let shared = self.shared();
        let member = MemberIdentity::from(request.member);
        let announced = ConfigVersion(request.config_version);
        shared.config.version_announced(&member, announced);
        let config_version = shared.config.version().0;
        let now = shared.clock().now();
        let mut view = shared.view();
        let first_heartbeat = view
            .tracked_members
            .get(&member.address)
            .filter(|known| known.member == member)
            .map_or(now, |known| known.first_heartbeat);
        let tracked = TrackedMember {
            member: member.clone(),
            last_heartbeat: now,
            first_heartbeat,
            is_stopping: request.is_stopping,
            processors: ProcessorShare(request.processors),
        };
        view.tracked_members.insert(member.address, tracked);
        let successors = view.successors(now);
        let rank = successors.iter().position(|one| one.member == member);
        let peers = successors
            .iter()
            .map(|one| MemberWire::from(one.member.clone()))
            .collect();
        HeartbeatReplyWire {
            incarnation: shared.settings.identity.incarnation,
            is_leading: view.is_leading,
            leader: view.leader.clone().map(LeaderWire::from),
            rank: rank.and_then(|rank| u32::try_from(rank).ok()),
            peers,
            config_version,
            is_store_slow: view.is_leading && shared.is_store_slow(),
        }
    }

    async fn forward_call(self, _: Context, call: JobCallWire) -> JobAnswerWire {
        let deadline = Instant::now() + FORWARD_TIMEOUT;
        if let JobCallWire::Submit(id, body) = &call {
            return match self.shared().intake.store(JobId(*id), body).await {
                Ok(()) => JobAnswerWire::Accepted,
                Err(StoreError::Refused) => JobAnswerWire::Unavailable,
                Err(_) => JobAnswerWire::Undecided,
            };
        }
        let Some(handle) = self.service.local_leader() else {
            return JobAnswerWire::Unavailable;
        };
        match ask_local_leader(&handle, &call, deadline).await {
            Some(CallOutcome::Accepted) => JobAnswerWire::Accepted,
            Some(CallOutcome::Status(phase)) => JobAnswerWire::Status(phase.into()),
            Some(CallOutcome::Cancelled) => JobAnswerWire::Cancelled,
            Some(CallOutcome::Unknown) => JobAnswerWire::Unknown,
            Some(CallOutcome::Pending(count)) => JobAnswerWire::Pending(count),
            Some(CallOutcome::Unavailable(_) | CallOutcome::Overloaded(_)) => {
                JobAnswerWire::Unavailable
            }
            Some(CallOutcome::Undecided) | None => JobAnswerWire::Undecided,
        }
    }

    async fn replicate_cancel(self, _: Context, job: u64) {
        tokio::spawn(self.service.clone().run_replicated_cancel(JobId(job)));
    }

    async fn active_cancels(self, _: Context) -> Vec<u64> {
        let jobs = self.shared().active_cancels.jobs();
        jobs.into_iter().map(|job| job.0).collect()
    }

    async fn config_update(self, _: Context, query: ConfigQueryWire) -> ConfigReplyWire {
        answer_config_query(self.shared(), query).await
    }

    async fn probe_store(self, _: Context) -> bool {
        // A read would be answered after the caller has given up.
        if self.shared().context.store_health.verdict() == StoreVerdict::Silent {
            return false;
        }
        let store = &self.shared().context.store;
        store.newest(LEADERS, None, PROBE_TIMEOUT).await.is_ok()
    }

    async fn call_workers(self, _: Context, request: CourierRequestWire) -> CourierReplyBatchWire {
        let shared = self.shared();
        let (caller, clock) = (&shared.context.caller, shared.clock());
        shared
            .courier_sessions
            .exchange(caller, clock, request)
            .await
    }

    async fn wait_forecast(self, _: Context, query: ForecastQueryWire) -> ForecastReplyWire {
        answer_forecast_query(self.shared(), query).await
    }

    async fn become_leader(self, _: Context, term: u64) {
        let shared = self.shared();
        let is_known = shared
            .view()
            .leader
            .as_ref()
            .is_some_and(|record| record.term.0 <= term);
        if is_known {
            shared.view().lead_request = Some(LeadRequest {
                term: LeaderTerm(term),
                at: shared.clock().now(),
            });
            shared.asked_to_lead.notify_one();
        }
    }
}
