//! The faults that the proxy injects into connections.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_standin::FaultProxy;
use geraniumshed_standin::proxy::{ProxyDirection, ProxyMode, ProxyPlan};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use support::eventually;

/// How long a silent connection is observed.
const SILENCE_CHECK: Duration = Duration::from_millis(300);

/// Starts an echo server and returns its address.
async fn open_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn open_proxy() -> FaultProxy {
    FaultProxy::bind(0, open_echo().await, 7).unwrap()
}

/// Sends a byte and returns the byte received within the limit, if any.
async fn echo(stream: &mut TcpStream, byte: u8, limit: Duration) -> Option<u8> {
    stream.write_u8(byte).await.ok()?;
    timeout(limit, stream.read_u8()).await.ok()?.ok()
}

async fn connect(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.address()).await.unwrap()
}

const ECHO_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn bytes_arrive_in_order_despite_random_delays() {
    let proxy = open_proxy().await;
    proxy.set_plan(ProxyPlan {
        jitter_us: 3_000,
        loss: 0.01,
        ..ProxyPlan::default()
    });
    let (mut read, mut write) = connect(&proxy).await.into_split();
    let sent: Vec<u8> = (0..200).collect();
    let to_send = sent.clone();
    tokio::spawn(async move {
        for byte in to_send {
            write.write_u8(byte).await.unwrap();
            tokio::time::sleep(Duration::from_micros(200)).await;
        }
        std::future::pending::<()>().await;
    });
    let mut received = vec![0; sent.len()];
    timeout(ECHO_TIMEOUT, read.read_exact(&mut received))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(received, sent);
}

#[tokio::test]
async fn frozen_connections_stay_silent_and_open_while_new_ones_work() {
    let proxy = open_proxy().await;
    let mut old = connect(&proxy).await;
    assert_eq!(echo(&mut old, 1, ECHO_TIMEOUT).await, Some(1));
    proxy.freeze();
    assert_eq!(echo(&mut old, 2, SILENCE_CHECK).await, None);
    let mut new = connect(&proxy).await;
    assert_eq!(echo(&mut new, 3, ECHO_TIMEOUT).await, Some(3));
    // The old connection still gets neither data nor an end.
    timeout(SILENCE_CHECK, old.read_u8()).await.unwrap_err();
}

#[tokio::test]
async fn cut_connections_end_while_new_ones_work() {
    let proxy = open_proxy().await;
    let mut old = connect(&proxy).await;
    assert_eq!(echo(&mut old, 1, ECHO_TIMEOUT).await, Some(1));
    proxy.cut();
    timeout(ECHO_TIMEOUT, old.read_u8())
        .await
        .unwrap()
        .unwrap_err();
    assert_eq!(
        echo(&mut connect(&proxy).await, 2, ECHO_TIMEOUT).await,
        Some(2)
    );
}

#[rstest]
#[case::to_server(ProxyDirection::ToServer)]
#[case::to_client(ProxyDirection::ToClient)]
#[tokio::test]
async fn a_blocked_direction_delivers_its_data_once_unblocked(#[case] blocked: ProxyDirection) {
    let proxy = open_proxy().await;
    let mut stream = connect(&proxy).await;
    assert_eq!(echo(&mut stream, 1, ECHO_TIMEOUT).await, Some(1));
    proxy.set_plan(ProxyPlan {
        blocked: Some(blocked),
        ..ProxyPlan::default()
    });
    assert_eq!(echo(&mut stream, 2, SILENCE_CHECK).await, None);
    proxy.set_plan(ProxyPlan::default());
    assert_eq!(
        timeout(ECHO_TIMEOUT, stream.read_u8())
            .await
            .unwrap()
            .unwrap(),
        2
    );
}

#[tokio::test]
async fn a_refusing_proxy_resets_connections_and_a_silent_one_sends_nothing() {
    let proxy = open_proxy().await;
    let plan = |mode| ProxyPlan {
        mode,
        ..ProxyPlan::default()
    };
    proxy.set_plan(plan(ProxyMode::Refuse));
    eventually(async || {
        let mut stream = TcpStream::connect(proxy.address()).await.ok()?;
        stream.read_u8().await.err()
    })
    .await;
    proxy.set_plan(plan(ProxyMode::Silent));
    assert_eq!(
        echo(&mut connect(&proxy).await, 1, SILENCE_CHECK).await,
        None
    );
    proxy.set_plan(plan(ProxyMode::Pass));
    assert_eq!(
        echo(&mut connect(&proxy).await, 2, ECHO_TIMEOUT).await,
        Some(2)
    );
}
