//! Accepts and configures TCP connections for all listeners of a node.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time after which a connection whose sent data is not acknowledged is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Accepts the next connection. Failures are logged with the kind of peer that the listener serves,
/// and retried.
pub async fn accept_stream(listener: &TcpListener, peer: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(peer, error:% = error; "could not accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Disables the delay of small packets (Nagle's algorithm), and closes the connection if the peer
/// stops acknowledging data.
///
/// # Errors
///
/// Returns the system's error if an option can't be set.
pub fn prepare_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
