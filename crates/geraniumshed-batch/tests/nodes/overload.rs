//! Jobs that are rejected on arrival, since they would start too late to be of use.

use std::time::Duration;

use geraniumshed_batch::CallOutcome;
use geraniumshed_core::job::{JobId, JobRequest};
use geraniumshed_model::prelude::ProcessorShare;

use crate::support::{Node, Site, deadline, job, settled_leader, wait_for};

/// The job whose tasks take up the only worker for estimated hours.
const BACKLOG: JobId = JobId(1);
/// The number of jobs that are submitted before one has to be rejected, ten a second.
const MAX_ADMITTED: u64 = 200;

/// The time in which a process that is lost stops to answer. A forecast is used for longer than that.
const LOSS_DELAY: Duration = Duration::from_millis(400);

/// Returns a job of tasks that each take the whole worker, for an estimated ten seconds.
fn whole_worker_job(task_count: u32) -> JobRequest {
    let mut request = job(task_count);
    request.steps[0].size.processors = ProcessorShare(32_000);
    request.steps[0].estimate = Duration::from_secs(10);
    request
}

async fn submit_backlog(node: &Node) {
    let backlog = whole_worker_job(4_000);
    let outcome = node.service().submit(BACKLOG, &backlog, deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
}

/// Submits jobs with ids from `first` on until one is rejected, and returns its id.
async fn first_rejected(node: &Node, first: u64) -> JobId {
    for id in (first..first + MAX_ADMITTED).map(JobId) {
        let request = whole_worker_job(1);
        match node.service().submit(id, &request, deadline()).await {
            CallOutcome::Overloaded(_) => return id,
            outcome => assert_eq!(outcome, CallOutcome::Accepted),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no job was rejected");
}

/// Guards against a rejection of a job that is stored or runs, and of one that was stored before.
#[tokio::test]
async fn rejected_job_is_not_stored_and_a_known_job_is_accepted_again() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 23_500).await;
    settled_leader(&nodes).await;
    submit_backlog(&nodes[0]).await;
    for (node, first) in nodes.iter().zip([100, 1_100]) {
        let id = first_rejected(node, first).await;
        let outcome = node
            .service()
            .submit(id, &whole_worker_job(1), deadline())
            .await;
        assert!(
            matches!(outcome, CallOutcome::Overloaded(delay) if delay >= Duration::from_secs(1))
        );
        assert!(!site.has_request(id));
        let status = node.service().status(id, deadline()).await;
        assert_eq!(status, CallOutcome::Unknown);
        let service = node.service();
        let again = service
            .submit(BACKLOG, &whole_worker_job(1), deadline())
            .await;
        assert_eq!(again, CallOutcome::Accepted);
        let text = node.metrics().text();
        let rejections = "geraniumshed_admissions_total{priority=\"0\",verdict=\"Rejected\"} ";
        let known = "geraniumshed_admissions_total{priority=\"0\",verdict=\"Known\"} 1";
        assert!(
            text.lines().any(|line| line.starts_with(rejections)),
            "{text}"
        );
        assert!(text.lines().any(|line| line == known), "{text}");
    }
}

/// Guards against a rejection by a forecast of a leader that is lost, which can't tell whether it knows
/// the job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_leader_jobs_are_admitted() {
    let site = Site::new();
    let mut processes = site.spawn_processes(2, 23_520).await;
    let is_leading = |(_, node): &(_, Node)| node.is_leading();
    wait_for(async || processes.iter().any(is_leading)).await;
    let leader = processes.iter().position(is_leading).unwrap();
    let other = processes[1 - leader].1.service();
    submit_backlog(&processes[1 - leader].1).await;
    first_rejected(&processes[1 - leader].1, 100).await;
    let (runtime, _) = processes.remove(leader);
    runtime.shutdown_background();
    tokio::time::sleep(LOSS_DELAY).await;
    let outcome = other
        .submit(JobId(5_000), &whole_worker_job(1), deadline())
        .await;
    assert_eq!(outcome, CallOutcome::Accepted);
    assert!(site.has_request(JobId(5_000)));
    for (runtime, _) in processes {
        runtime.shutdown_background();
    }
}
