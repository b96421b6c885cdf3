//! Reads of the log over a narrow link.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::{LogOffset, LogStream};
use geraniumshed_platform::{HttpLog, HttpTimeouts, LogClient, PlatformError};
use geraniumshed_wire::platform::{LogEntryWire, LogPageWire, encode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The time for an answer to begin, and for each pause in it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of pieces in which an answer arrives.
const PIECES: usize = 10;

/// Guards against a reader that restarts the read of a large page from its first byte whenever a
/// fixed time for the whole page is over, and so never gets it.
#[rstest]
#[case::steady(Duration::from_millis(100), true)]
#[case::stalled(Duration::from_secs(1), false)]
#[tokio::test]
async fn page_is_read_for_as_long_as_bytes_arrive(#[case] pause: Duration, #[case] is_read: bool) {
    let address = serve_page(pause).await;
    let timeouts = HttpTimeouts {
        answer: ANSWER_TIMEOUT,
        ..HttpTimeouts::default()
    };
    let log = HttpLog::open(address, timeouts);
    let page = log
        .read(LogStream::Config, LogOffset(0), Duration::ZERO)
        .await;
    match page {
        Ok(page) => assert!(is_read && page.entries.len() == 1),
        Err(PlatformError::AnswerLost { .. }) => assert!(!is_read),
        Err(error) => panic!("{error}"),
    }
}

/// Serves a page with one large entry, in pieces with a pause before each.
async fn serve_page(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(send_page(stream, pause));
        }
    });
    address
}

async fn send_page(mut stream: TcpStream, pause: Duration) {
    let entry = LogEntryWire {
        offset: 0,
        body: vec![7; 100_000],
    };
    let page = encode(&LogPageWire {
        first: 0,
        end: 1,
        entries: vec![entry],
    });
    let mut request = [0; 1024];
    let received = stream.read(&mut request).await.unwrap();
    assert!(received > 0);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    for piece in page.chunks(page.len().div_ceil(PIECES)) {
        sleep(pause).await;
        if stream.write_all(piece).await.is_err() {
            return;
        }
    }
}
