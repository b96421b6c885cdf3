//! The RPC interface between daemons.

use super::forward::{ForwardAnswerWire, ForwardRequestWire};
use super::report::PeerReportWire;

/// The RPC interface of a daemon for its peers.
#[tarpc::service]
pub trait PeerApi {
    /// Exchanges heartbeat reports: receives the caller's and returns the callee's.
    async fn beat(report: PeerReportWire) -> PeerReportWire;

    /// Forwards a request to the daemon that has to dispatch it.
    async fn forward(request: ForwardRequestWire) -> ForwardAnswerWire;
}
