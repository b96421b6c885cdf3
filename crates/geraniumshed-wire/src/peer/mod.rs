//! RPC between daemons.

mod api;
mod forward;
mod report;

pub use self::api::{PeerApi, PeerApiClient};
pub use self::forward::{ForwardAnswerWire, ForwardRequestWire, HeaderWire};
pub use self::report::PeerReportWire;
