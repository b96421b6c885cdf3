//! The client of the workers' control interface.

use std::net::SocketAddr;

use geraniumshed_model::worker::{ExchangeReply, ExchangeRequest, SeizeReply, SeizeRequest};

use crate::error::PlatformError;

/// A client of the workers' control interface.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Takes over a worker for the owner of a term, fencing off owners of lower terms, and returns
    /// the worker's inventory.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::StaleTerm`] if the worker has accepted a higher term.
    fn seize(
        &self,
        address: SocketAddr,
        request: SeizeRequest,
    ) -> impl Future<Output = Result<SeizeReply, PlatformError>> + Send;

    /// Sends commands to a worker and, if requested, renews its lease.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::StaleTerm`] or [`PlatformError::WrongBoot`] if the term or the boot
    /// is stale. In this case, no command took effect and the lease is unchanged.
    fn exchange(
        &self,
        address: SocketAddr,
        request: ExchangeRequest,
    ) -> impl Future<Output = Result<ExchangeReply, PlatformError>> + Send;
}
