//! The worker of the in-memory platform.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_batch::site::{RenewOutcome, WorkerCaller};
use geraniumshed_core::job::WorkerId;
use geraniumshed_core::worker::{
    AdviceReply, AdviceRequest, EndKind, PaceOrder, RenewReply, RenewRequest, RunEnd, RunReport,
    StartAnswer, StartOrder, StartReply, StopOrder, WorkerCall, WorkerFailure, WorkerIncarnation,
    WorkerListing,
};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{Site, size};

pub(super) fn worker_listing() -> WorkerListing {
    WorkerListing {
        id: WorkerId("w".into()),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z".into(),
        incarnation: Some(WorkerIncarnation(1)),
        capacity: size(32_000),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
    }
}

/// The only worker, whose runs end as soon as they start, unless they are kept.
impl WorkerCaller for Site {
    async fn start(&self, call: WorkerCall<StartOrder>) -> Result<StartAnswer, WorkerFailure> {
        let mut state = self.lock();
        state.starts += 1;
        state.started_runs.push(call.body.run);
        if state.is_worker_failing {
            return Err(WorkerFailure::Unanswered);
        }
        if state.is_keeping_runs {
            state.running.push(RunReport {
                task: call.body.task,
                run: call.body.run,
                checkpoint: None,
                percent: 0,
                tail_latency: Duration::ZERO,
            });
            return Ok(StartReply::Started.into());
        }
        state.next_end += 1;
        let end = RunEnd {
            number: state.next_end,
            task: call.body.task,
            run: call.body.run,
            kind: EndKind::Done,
            checkpoint: None,
        };
        state.ended.push(end);
        Ok(StartReply::Started.into())
    }

    async fn stop(&self, _: WorkerCall<StopOrder>) -> Result<(), WorkerFailure> {
        Ok(())
    }

    async fn pace(&self, _: WorkerCall<PaceOrder>) -> Result<(), WorkerFailure> {
        Ok(())
    }

    async fn advise(&self, request: &AdviceRequest) -> Result<AdviceReply, WorkerFailure> {
        let ticket = |worker: &WorkerId| (worker.clone(), SmolStr::new("ticket"));
        Ok(AdviceReply {
            tickets: request.workers.iter().map(ticket).collect(),
            validity: Duration::from_secs(3),
        })
    }

    async fn renew(&self, call: WorkerCall<RenewRequest>) -> RenewOutcome {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut state = self.lock();
        if state.is_worker_failing && state.starts > 0 {
            return RenewOutcome::Failed(WorkerFailure::Unanswered);
        }
        if call.body.deadline.is_some() {
            state.extended_at = Some(Instant::now());
        }
        let seen = call.body.last_stored_end;
        state.ended.retain(|end| end.number > seen);
        let ended = state.ended.clone();
        let mut running = state.running.clone();
        drop(state);
        // All runs progress, so that none counts as stalled.
        let percent = u32::try_from(self.clock().0 / 1000 % 100).unwrap();
        for run in &mut running {
            run.percent = percent;
        }
        RenewOutcome::Answered(RenewReply {
            clock: self.clock(),
            incarnation: Some(WorkerIncarnation(1)),
            running,
            ended,
            has_all_ends: true,
        })
    }
}
