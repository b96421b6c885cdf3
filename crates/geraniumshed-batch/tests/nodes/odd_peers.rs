//! Connections to a node's port for its peers from something else than a node.

use std::time::Duration;

use geraniumshed_batch::{BatchNode, CallOutcome};
use geraniumshed_core::job::{JobId, JobPhase};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::{Site, deadline, job, settled_leader, wait_for};

/// The time to wait for a node to close a connection, which it need not do.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

fn framed(content: &[u8]) -> Vec<u8> {
    let length = u32::try_from(content.len()).unwrap();
    [&length.to_be_bytes()[..], content].concat()
}

/// Sends bytes to a node and waits a moment for it to close the connection.
async fn send(node_address: std::net::SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(node_address).await.unwrap();
    // The node may close the connection at any byte.
    drop(stream.write_all(bytes).await);
    let mut answer = [0; 64];
    drop(timeout(CLOSE_TIMEOUT, stream.read(&mut answer)).await);
}

/// Guards against a node that ends, or stops to serve its peers, after bytes that no node sends.
#[rstest]
#[case::http(21_800, b"GET /v1/ready HTTP/1.1\r\n\r\n".to_vec())]
#[case::largest_length(21_803, vec![0xff; 64])]
#[case::empty_frames(21_806, vec![0; 4096])]
#[case::largest_numbers(21_809, framed(&[0xff; 4096]))]
#[case::huge_text(21_812, framed(&[&[0; 40][..], &[0xff; 8]].concat()))]
#[case::truncated(21_815, framed(&[0; 64])[..20].to_vec())]
#[tokio::test]
async fn odd_bytes_of_a_peer_end_no_node(#[case] first_port: u16, #[case] bytes: Vec<u8>) {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, first_port).await;
    let leader = settled_leader(&nodes).await;
    for node in &nodes {
        send(node.address(), &bytes).await;
    }
    let mut random = SmallRng::seed_from_u64(5);
    for _ in 0..10 {
        let length = random.random_range(1..200);
        let content: Vec<u8> = (0..length).map(|_| random.random()).collect();
        send(nodes[leader].address(), &framed(&content)).await;
    }
    let id = JobId(7);
    let other = nodes[1 - leader].service();
    let outcome = other.submit(id, &job(3), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    // The answer comes from the leader, over a connection between the nodes.
    wait_for(async || {
        other.status(id, deadline()).await == CallOutcome::Status(JobPhase::Completed)
    })
    .await;
    assert!(nodes.iter().any(BatchNode::is_leading));
}
