//! What all listeners and connections of a node have in common.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The time after which a connection whose data is not acknowledged is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Accepts the next connection; failures to accept are logged with the name of who connects.
pub async fn accept_stream(listener: &TcpListener, peer: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(peer, error:% = error; "connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sets up a stream so that its silence is noticed.
///
/// # Errors
///
/// Returns the system's error if an option can't be set.
pub fn prepare_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
