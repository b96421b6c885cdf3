//! Bodies of callers' requests: small ones are held whole, large ones passed on part by part.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::channel::mpsc;
use futures::{SinkExt as _, Stream, StreamExt as _};
use geraniumshed_model::prelude::ErrorKind;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answer::{BodyParts, EntryError};
use super::settings::EntrySettings;

/// The parts of a streamed body that may wait for the endpoint.
const PART_LIMIT: usize = 2;

/// The bytes that one permit of the memory limit stands for.
const PERMIT_BYTES: usize = 1024;

/// The body of a caller's request.
#[derive(Debug)]
pub enum RequestBody {
    /// The whole body, held for further attempts.
    Whole(Bytes),
    /// A body that can be sent once only.
    Parts(BodyParts),
    /// A body that was sent.
    Spent,
}

/// The bytes of a held body, which give their memory back when the last reader is done.
struct HeldBytes {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The limit of the memory that all held bodies take together.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
}

impl BodyMemory {
    /// Creates the limit.
    pub fn new(bytes: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(bytes / PERMIT_BYTES)),
        }
    }

    /// Takes memory for a body.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if the limit is reached.
    pub fn take(&self, bytes: usize) -> Result<Option<OwnedSemaphorePermit>, EntryError> {
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
                    "the daemon holds too many request bodies",
                    "send the request again later",
                )
            })
    }
}

/// Reads a caller's body: whole if it fits the buffer, part by part otherwise.
///
/// # Errors
///
/// Returns the error that the caller is answered with.
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
        return Ok(RequestBody::Whole(Bytes::new()));
    }
    let limit = settings.buffer_limit;
    let wanted = declared.map_or(limit, |length| usize::try_from(length).unwrap_or(limit));
    let permit = memory.take(wanted.min(limit))?;
    let mut stream = Box::pin(stream);
    let mut held = BytesMut::new();
    while held.len() <= limit {
        let Some(part) = next_part(&mut stream, settings.body_timeout).await? else {
            let held = HeldBytes {
                bytes: held.freeze(),
                _permit: permit,
            };
            return Ok(RequestBody::Whole(Bytes::from_owner(held)));
        };
        held.extend_from_slice(&part);
    }
    Ok(RequestBody::Parts(pass_on(held.freeze(), stream, settings)))
}

/// Reads the next part of a body.
async fn next_part<S, B>(stream: &mut S, limit: Duration) -> Result<Option<Bytes>, EntryError>
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    match tokio::time::timeout(limit, stream.next()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(mut part))) => Ok(Some(part.copy_to_bytes(part.remaining()))),
        Ok(Some(Err(_))) => Err(EntryError::new(
            ErrorKind::Malformed,
            "the request's body was cut off or is malformed",
            "send the whole body",
        )),
        Err(_) => Err(EntryError::new(
            ErrorKind::SlowCaller,
            "the request's body stopped coming",
            "send the body without long pauses",
        )),
    }
}

/// Passes a body on in a task of its own, a few parts at a time.
fn pass_on<S, B>(first: Bytes, stream: S, settings: &EntrySettings) -> BodyParts
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    let (mut sender, parts) = mpsc::channel(PART_LIMIT);
    let body_limit = settings.body_limit;
    let body_timeout = settings.body_timeout;
    tokio::spawn(async move {
        let mut stream = pin!(stream);
        let mut total = first.len() as u64;
        let mut part = Ok(Some(first));
        while let Ok(Some(bytes)) = part {
            if sender.send(Ok(bytes)).await.is_err() {
                return;
            }
            part = next_part(&mut stream, body_timeout).await;
            if let Ok(Some(bytes)) = &part {
                total += bytes.len() as u64;
            }
            if total > body_limit {
                part = Err(EntryError::new(ErrorKind::BodyTooLarge, "", ""));
            }
        }
        if part.is_err() {
            // The endpoint sees a body that is cut off, never one that seems complete.
            let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
            drop(sender.send(Err(cut)).await);
        }
    });
    parts
}

fn too_large(settings: &EntrySettings) -> EntryError {
    let detail = format!("the body has more than {} bytes", settings.body_limit);
    EntryError::new(ErrorKind::BodyTooLarge, &detail, "send a smaller body")
}
