//! The forwarding of a connection through a proxy.

use std::future::pending;
use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::plan::{ProxyDirection, ProxyMode, ProxyPlan};
use crate::seed::seeded_rng;

/// The maximum number of bytes per read.
const CHUNK_BYTES: usize = 16_384;

/// The maximum number of delayed chunks per direction.
const CHUNK_QUEUE_LIMIT: usize = 256;

/// The state of a proxy that its connections watch.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ProxyState {
    pub(super) plan: ProxyPlan,
    /// Connections with a number below this one stay silent forever.
    pub(super) frozen_below: u64,
    /// Connections with a number below this one are closed.
    pub(super) cut_below: u64,
}

/// The parameters of a connection.
#[derive(Debug, Clone)]
pub(super) struct ConnectionContext {
    pub(super) number: u64,
    pub(super) seed: u64,
    pub(super) target: SocketAddr,
    pub(super) state: watch::Receiver<ProxyState>,
}

impl ConnectionContext {
    fn is_frozen(&self) -> bool {
        let state = self.state.borrow();
        self.number < state.frozen_below || state.plan.mode == ProxyMode::Silent
    }

    fn rng(&self, direction: ProxyDirection) -> ChaCha8Rng {
        let number = self.number.to_string();
        let direction = match direction {
            ProxyDirection::ToServer => "to-server",
            ProxyDirection::ToClient => "to-client",
        };
        seeded_rng(self.seed, &["proxy", &number, direction])
    }
}

/// A chunk of data and the time at which to write it.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Forwards a connection until either side closes it or the proxy cuts it.
pub(super) async fn run(client: TcpStream, context: ConnectionContext) {
    let mut state = context.state.clone();
    let number = context.number;
    tokio::select! {
        _ = state.wait_for(|state| number < state.cut_below) => {}
        result = forward(client, &context) => {
            if let Err(error) = result {
                log::trace!("connection {number} failed: {error}");
            }
        }
    }
}

async fn forward(client: TcpStream, context: &ConnectionContext) -> io::Result<()> {
    if context.is_frozen() {
        let silent_client = client;
        wait_while_silent(context).await;
        drop(silent_client);
        return Ok(());
    }
    client.set_nodelay(true)?;
    let server = TcpStream::connect(context.target).await?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = forward_direction(client_read, server_write, context, ProxyDirection::ToServer);
    let to_client = forward_direction(server_read, client_write, context, ProxyDirection::ToClient);
    // The connection ends as soon as either direction has ended and delivered its chunks.
    tokio::select! {
        result = to_server => result,
        result = to_client => result,
    }
}

/// Waits until neither the connection is frozen nor the proxy silent.
async fn wait_while_silent(context: &ConnectionContext) {
    let mut state = context.state.clone();
    let number = context.number;
    let wait = state
        .wait_for(|state| number >= state.frozen_below && state.plan.mode != ProxyMode::Silent);
    drop(wait.await);
}

async fn forward_direction(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    context: &ConnectionContext,
    direction: ProxyDirection,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE_LIMIT);
    let (read_result, write_result) = tokio::join!(
        read_chunks(read, sender, context, direction),
        write_chunks(write, receiver, context, direction),
    );
    read_result.and(write_result)
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    context: &ConnectionContext,
    direction: ProxyDirection,
) -> io::Result<()> {
    let mut rng = context.rng(direction);
    let mut due = Instant::now();
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        let read_bytes = read.read_buf(&mut buffer).await;
        if context.is_frozen() {
            // A silent connection hides both its end and its errors.
            pending::<()>().await;
        }
        if read_bytes? == 0 {
            return Ok(());
        }
        let delay = context.state.borrow().plan.draw_delay(&mut rng);
        due = due.max(Instant::now() + delay);
        let chunk = Chunk {
            due,
            bytes: buffer.freeze(),
        };
        if sender.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    context: &ConnectionContext,
    direction: ProxyDirection,
) -> io::Result<()> {
    let mut state = context.state.clone();
    let number = context.number;
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.due).await;
        let can_forward = |state: &ProxyState| {
            number >= state.frozen_below
                && state.plan.mode != ProxyMode::Silent
                && state.plan.blocked != Some(direction)
        };
        if state.wait_for(can_forward).await.is_err() {
            return Ok(());
        }
        write.write_all(&chunk.bytes).await?;
    }
    Ok(())
}
