//! What both ends of a connection between nodes have in common.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// The time after which a connection whose data is not acknowledged is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// The bytes that one call or answer may have.
const FRAME_LIMIT: usize = 8 * 1024 * 1024;

/// Sets up a stream so that its silence is noticed.
pub(super) fn prepare_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_LIMIT))
}

/// Returns the codec of the frames.
pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec()
}
