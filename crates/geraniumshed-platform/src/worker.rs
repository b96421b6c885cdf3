//! The control interface of a worker.

use std::net::SocketAddr;

use geraniumshed_model::worker::{ExchangeReply, ExchangeRequest, SeizeReply, SeizeRequest};

use crate::error::PlatformError;

/// A client of the workers' control interface.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Makes a term the worker's own and returns its inventory.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::StaleTerm`] if the worker holds a higher term.
    fn seize(
        &self,
        address: SocketAddr,
        request: SeizeRequest,
    ) -> impl Future<Output = Result<SeizeReply, PlatformError>> + Send;

    /// Sends commands and renews the lease.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::StaleTerm`] or [`PlatformError::WrongBoot`] if the worker no longer
    /// obeys; then no command took effect and the lease is as it was.
    fn exchange(
        &self,
        address: SocketAddr,
        request: ExchangeRequest,
    ) -> impl Future<Output = Result<ExchangeReply, PlatformError>> + Send;
}
