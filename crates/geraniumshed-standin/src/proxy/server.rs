//! The listener of a proxy.

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
    next_number: watch::Receiver<u64>,
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
        let (state, state_receiver) = watch::channel(ProxyState::default());
        let (next_number_sender, next_number) = watch::channel(0);
        let context = ConnectionContext {
            number: 0,
            seed,
            target,
            state: state_receiver,
        };
        let task = tokio::spawn(accept(listener, context, next_number_sender));
        Ok(Self {
            address,
            target,
            state,
            next_number,
            task,
        })
    }

    /// Returns the address at which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that the proxy forwards to.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sets the faults that the proxy injects.
    pub fn set_plan(&self, plan: ProxyPlan) {
        self.state.send_modify(|state| state.plan = plan);
    }

    /// Returns the faults that the proxy injects.
    pub fn plan(&self) -> ProxyPlan {
        self.state.borrow().plan
    }

    /// Silences all current connections forever; new ones are not affected.
    pub fn freeze(&self) {
        let next_number = *self.next_number.borrow();
        self.state
            .send_modify(|state| state.frozen_below = next_number);
    }

    /// Closes all current connections.
    pub fn cut(&self) {
        let next_number = *self.next_number.borrow();
        self.state
            .send_modify(|state| state.cut_below = next_number);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    context: ConnectionContext,
    next_number: watch::Sender<u64>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                let number = *next_number.borrow();
                next_number.send_replace(number + 1);
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

/// Makes a connection send a reset when it is dropped, as a closed port would.
fn reset(client: &TcpStream) {
    drop(client.set_zero_linger());
}
