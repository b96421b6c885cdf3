//! The calls between daemons.

use super::forward::{ForwardAnswerWire, ForwardRequestWire};
use super::report::PeerReportWire;

/// The calls between daemons.
#[tarpc::service]
pub trait PeerApi {
    /// Takes the caller's report and answers with the callee's.
    async fn beat(report: PeerReportWire) -> PeerReportWire;

    /// Dispatches a request that only the callee may dispatch.
    async fn forward(request: ForwardRequestWire) -> ForwardAnswerWire;
}
