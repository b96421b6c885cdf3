//! A running proxy.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::connection::{self, ConnectionContext, ProxyState};
use super::plan::{ProxyMode, ProxyPlan};
use crate::http::open_listener;

/// A running proxy in front of one address; dropping it closes its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    target: SocketAddr,
    state: watch::Sender<ProxyState>,
    next: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Binds a proxy to a port of the loopback address; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(port: u16, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = open_listener(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
        let address = listener.local_addr()?;
        let (state, state_view) = watch::channel(ProxyState::default());
        let (next_sender, next) = watch::channel(0);
        let context = ConnectionContext {
            number: 0,
            seed,
            target,
            state: state_view,
        };
        let task = tokio::spawn(accept(listener, context, next_sender));
        Ok(Self {
            address,
            target,
            state,
            next,
            task,
        })
    }

    /// Returns the address at which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that the proxy connects to.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Changes what the proxy does to its connections.
    pub fn set_plan(&self, plan: ProxyPlan) {
        self.state.send_modify(|state| state.plan = plan);
    }

    /// Returns what the proxy does to its connections.
    pub fn plan(&self) -> ProxyPlan {
        self.state.borrow().plan
    }

    /// Makes all present connections silent for good, while new ones work.
    pub fn freeze(&self) {
        let next = *self.next.borrow();
        self.state.send_modify(|state| state.frozen_below = next);
    }

    /// Closes all present connections.
    pub fn cut(&self) {
        let next = *self.next.borrow();
        self.state.send_modify(|state| state.cut_below = next);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, context: ConnectionContext, next: watch::Sender<u64>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                let number = *next.borrow();
                next.send_replace(number + 1);
                if context.state.borrow().plan.mode == ProxyMode::Refuse {
                    reset(&client);
                    continue;
                }
                let context = ConnectionContext { number, ..context.clone() };
                connections.spawn(connection::run(client, context));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Makes the drop of a connection reset it, as a closed port would.
fn reset(client: &TcpStream) {
    drop(client.set_zero_linger());
}
