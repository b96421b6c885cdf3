//! One connection through a proxy.

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

/// The bytes that are read at once.
const CHUNK_BYTES: usize = 16_384;

/// The chunks of each direction that may be on their way.
const CHUNKS_ON_THE_WAY: usize = 256;

/// The state of a proxy that its connections follow.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ProxyState {
    pub(super) plan: ProxyPlan,
    /// The connections below this number are silent for good.
    pub(super) frozen_below: u64,
    /// The connections below this number are closed.
    pub(super) cut_below: u64,
}

/// What a connection needs to know.
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

/// A chunk on its way.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Passes a connection on until one side closes it or it is cut.
pub(super) async fn run(client: TcpStream, context: ConnectionContext) {
    let mut state = context.state.clone();
    let number = context.number;
    tokio::select! {
        _ = state.wait_for(|state| number < state.cut_below) => {}
        result = pass(client, &context) => {
            if let Err(error) = result {
                log::trace!("connection {number} ended: {error}");
            }
        }
    }
}

async fn pass(client: TcpStream, context: &ConnectionContext) -> io::Result<()> {
    if context.is_frozen() {
        let held = client;
        wait_while_silent(context).await;
        drop(held);
        return Ok(());
    }
    client.set_nodelay(true)?;
    let server = TcpStream::connect(context.target).await?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = pass_direction(client_read, server_write, context, ProxyDirection::ToServer);
    let to_client = pass_direction(server_read, client_write, context, ProxyDirection::ToClient);
    // The end of either direction ends the connection, once its chunks have arrived.
    tokio::select! {
        result = to_server => result,
        result = to_client => result,
    }
}

/// Waits until a proxy that is silent as a whole is silent no longer.
async fn wait_while_silent(context: &ConnectionContext) {
    let mut state = context.state.clone();
    let number = context.number;
    let wait = state
        .wait_for(|state| number >= state.frozen_below && state.plan.mode != ProxyMode::Silent);
    drop(wait.await);
}

async fn pass_direction(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    context: &ConnectionContext,
    direction: ProxyDirection,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_ON_THE_WAY);
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
            // Neither an end nor an error gets through a silent connection.
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
        let is_passable = |state: &ProxyState| {
            number >= state.frozen_below
                && state.plan.mode != ProxyMode::Silent
                && state.plan.blocked != Some(direction)
        };
        if state.wait_for(is_passable).await.is_err() {
            return Ok(());
        }
        write.write_all(&chunk.bytes).await?;
    }
    Ok(())
}
