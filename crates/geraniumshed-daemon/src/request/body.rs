//! Bodies of callers' requests: small ones are buffered, large ones are streamed to the endpoint.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::channel::mpsc;
use futures::{SinkExt as _, Stream, StreamExt as _};
use geraniumshed_gate::BodyBlocks;
use geraniumshed_model::prelude::ErrorKind;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answer::{BodyChunks, EntryError};
use super::settings::EntrySettings;

/// The number of chunks of a streamed body that are buffered for a slow endpoint.
const CHUNK_LIMIT: usize = 2;

/// The number of bytes per permit of the memory limit's semaphore.
const PERMIT_BYTES: usize = 1024;

/// The body of a caller's request.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body in memory, which can be sent again in a further attempt.
    Buffered(Bytes),
    /// A body that is read while it is sent, so that it can be sent only once.
    Streamed(BodyChunks),
    /// A streamed body that was already sent.
    Consumed,
}

/// A buffered body, whose memory permit is released when the last reference is dropped.
struct BufferedBytes {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BufferedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The limit on the memory of all buffered bodies together.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
}

impl BodyMemory {
    /// Creates a limit in bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(bytes / PERMIT_BYTES)),
        }
    }

    /// Reserves memory for a body; the memory is released when the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if the limit is reached.
    pub fn reserve(&self, bytes: usize) -> Result<Option<OwnedSemaphorePermit>, EntryError> {
        if bytes == 0 {
            return Ok(None);
        }
        let count = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        Arc::clone(&self.permits)
            .try_acquire_many_owned(count)
            .map(Some)
            .map_err(|_| {
                EntryError::new(
                    ErrorKind::Overloaded,
                    "the daemon's buffer for request bodies is full",
                    "send the request again later",
                )
            })
    }
}

/// Buffers a caller's body if it fits into the buffer limit, and otherwise streams it.
///
/// `declared` is the length according to the headers.
///
/// # Errors
///
/// Returns the error to send to the caller.
pub async fn read_body<S, B>(
    stream: S,
    declared: Option<u64>,
    settings: &EntrySettings,
    memory: &BodyMemory,
) -> Result<RequestBody, EntryError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    if declared.is_some_and(|length| length > settings.body_limit) {
        return Err(too_large(settings));
    }
    if declared == Some(0) {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let limit = settings.buffer_limit;
    let expected = declared.map_or(limit, |length| usize::try_from(length).unwrap_or(limit));
    let permit = memory.reserve(expected.min(limit))?;
    let mut stream = Box::pin(stream);
    let mut buffered = BodyBlocks::default();
    while buffered.len() <= limit {
        let Some(chunk) = next_chunk(&mut stream, settings.body_timeout).await? else {
            let buffered = BufferedBytes {
                bytes: buffered.join(),
                _permit: permit,
            };
            return Ok(RequestBody::Buffered(Bytes::from_owner(buffered)));
        };
        buffered.extend(&chunk);
    }
    Ok(RequestBody::Streamed(stream_rest(
        buffered.join(),
        stream,
        settings,
    )))
}

/// Reads the next chunk of a body; `None` is the end of the body.
async fn next_chunk<S, B>(stream: &mut S, limit: Duration) -> Result<Option<Bytes>, EntryError>
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    match tokio::time::timeout(limit, stream.next()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(mut chunk))) => Ok(Some(chunk.copy_to_bytes(chunk.remaining()))),
        Ok(Some(Err(_))) => Err(EntryError::new(
            ErrorKind::Malformed,
            "the request's body was cut off or is malformed",
            "send the whole body",
        )),
        Err(_) => Err(EntryError::new(
            ErrorKind::SlowCaller,
            "the request's body stopped arriving",
            "send the body without long pauses",
        )),
    }
}

/// Streams the rest of a body in a background task, after the bytes that were read already.
fn stream_rest<S, B>(first: Bytes, stream: S, settings: &EntrySettings) -> BodyChunks
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    let (mut sender, chunks) = mpsc::channel(CHUNK_LIMIT);
    let body_limit = settings.body_limit;
    let body_timeout = settings.body_timeout;
    tokio::spawn(async move {
        let mut stream = pin!(stream);
        let mut total = first.len() as u64;
        let mut chunk = Ok(Some(first));
        while let Ok(Some(bytes)) = chunk {
            if sender.send(Ok(bytes)).await.is_err() {
                return;
            }
            chunk = next_chunk(&mut stream, body_timeout).await;
            if let Ok(Some(bytes)) = &chunk {
                total += bytes.len() as u64;
            }
            if total > body_limit {
                chunk = Err(EntryError::new(ErrorKind::BodyTooLarge, "", ""));
            }
        }
        if chunk.is_err() {
            // The error aborts the request to the endpoint, so that the endpoint doesn't take the
            // truncated body for a complete one.
            let error = io::Error::from(io::ErrorKind::UnexpectedEof);
            drop(sender.send(Err(error)).await);
        }
    });
    chunks
}

fn too_large(settings: &EntrySettings) -> EntryError {
    let detail = format!("the body has more than {} bytes", settings.body_limit);
    EntryError::new(ErrorKind::BodyTooLarge, &detail, "send a smaller body")
}
