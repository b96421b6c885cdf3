//! The frames of a connection between nodes.

use tarpc::tokio_util::codec::LengthDelimitedCodec;

/// The bytes that one call or answer may have.
const FRAME_LIMIT: usize = 8 * 1024 * 1024;

/// Returns the codec of the frames.
pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec()
}
