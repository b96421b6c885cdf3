//! Jobs that no worker and no store has room for.

use std::time::Duration;

use futures::future::join_all;
use geraniumshed_batch::CallOutcome;
use geraniumshed_core::intake::RetryDelay;
use geraniumshed_core::job::{JobId, JobPhase, JobRequest, RepeatPlan, StepRequest};

use crate::support::{Site, deadline, job, wait_for};

/// Returns a job whose record is larger than the store accepts, although its body isn't.
fn large_job() -> JobRequest {
    JobRequest {
        steps: vec![StepRequest::default(); 20_000],
        ..job(1)
    }
}

/// Guards against a job that the store rejects together with all others of the same append.
#[tokio::test]
async fn a_job_beyond_the_size_of_a_record_holds_up_no_other() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_850).await;
    let service = nodes[0].service();
    let submissions = (0..12).map(|number| {
        let service = service.clone();
        async move {
            let is_large = number % 4 == 0;
            let request = if is_large { large_job() } else { job(1) };
            let outcome = service.submit(JobId(number), &request, deadline()).await;
            (is_large, outcome)
        }
    });
    for (is_large, outcome) in join_all(submissions).await {
        let expected = if is_large {
            CallOutcome::Unavailable(RetryDelay::default())
        } else {
            CallOutcome::Accepted
        };
        assert_eq!(outcome, expected);
    }
}

/// Guards against an append of many jobs that together are larger than the store accepts.
#[tokio::test]
async fn many_large_jobs_are_stored_in_several_appends() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_860).await;
    let service = nodes[0].service();
    let submissions = (0..30).map(|number| {
        let service = service.clone();
        let request = JobRequest {
            payload: "p".repeat(200_000).into(),
            ..job(1)
        };
        async move { service.submit(JobId(number), &request, deadline()).await }
    });
    let outcomes = join_all(submissions).await;
    assert_eq!(outcomes, [CallOutcome::Accepted; 30]);
}

/// Guards against a stored job that ends each leader that reads it.
#[tokio::test]
async fn leaders_survive_jobs_with_numbers_out_of_range() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_870).await;
    let service = nodes[0].service();
    // Only the first step has a task, so that the job ends soon.
    let step = |index: u32| StepRequest {
        task_count: u32::from(index == 0),
        estimate: Duration::MAX,
        after: index.checked_sub(1).into_iter().collect(),
        ..job(1).steps[0].clone()
    };
    let chain = JobRequest {
        steps: (0..1100).map(step).collect(),
        ..job(1)
    };
    let repeating = JobRequest {
        repeat: Some(RepeatPlan {
            first_unix_ms: 0,
            interval: Duration::ZERO,
            count: u32::MAX,
        }),
        ..job(100)
    };
    for (number, odd) in [(1, chain), (2, repeating)] {
        let outcome = service.submit(JobId(number), &odd, deadline()).await;
        assert_eq!(outcome, CallOutcome::Accepted);
    }
    let outcome = service.submit(JobId(3), &job(3), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    service.cancel(JobId(2), deadline()).await;
    for number in [1, 3] {
        wait_for(async || {
            let phase = service.status(JobId(number), deadline()).await;
            phase == CallOutcome::Status(JobPhase::Completed)
        })
        .await;
    }
}
