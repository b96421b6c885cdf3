//! The framing of connections between nodes.

use tarpc::tokio_util::codec::LengthDelimitedCodec;

/// The largest size of a call or an answer, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Returns the codec for length-delimited frames.
pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
