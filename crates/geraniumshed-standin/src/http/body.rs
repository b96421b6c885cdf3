//! Response bodies that can pause or abort the connection.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

/// One step in sending a body.
#[derive(Debug)]
pub enum BodyStep {
    /// Sends the bytes.
    Data(Bytes),
    /// Waits before the next step.
    Wait(Duration),
    /// Aborts the connection.
    Abort,
}

/// A response body, given as a sequence of steps.
#[derive(Debug)]
pub struct ResponseBody {
    steps: VecDeque<BodyStep>,
    sleep: Option<Pin<Box<Sleep>>>,
    declared: Option<u64>,
}

impl ResponseBody {
    /// Creates a body that is sent at once.
    pub fn whole(bytes: Bytes) -> Self {
        let length = bytes.len() as u64;
        Self {
            steps: [BodyStep::Data(bytes)].into(),
            sleep: None,
            declared: Some(length),
        }
    }

    /// Creates a body from steps; without a declared length it uses chunked encoding.
    pub fn steps(steps: impl IntoIterator<Item = BodyStep>, declared: Option<u64>) -> Self {
        Self {
            steps: steps.into_iter().collect(),
            sleep: None,
            declared,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        loop {
            if let Some(sleep) = self.sleep.as_mut() {
                ready!(sleep.as_mut().poll(cx));
                self.sleep = None;
            }
            match self.steps.pop_front() {
                None => return Poll::Ready(None),
                Some(BodyStep::Data(bytes)) => {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Some(BodyStep::Wait(duration)) => self.sleep = Some(Box::pin(sleep(duration))),
                Some(BodyStep::Abort) => {
                    let error = io::Error::from(io::ErrorKind::ConnectionReset);
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.steps.is_empty() && self.sleep.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.declared
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
