//! The platform's HTTP interfaces.
//!
//! The VM list and errors are encoded in JSON. Log pages and calls to workers make up most of the
//! control traffic and use a compact binary encoding.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /streams/{stream}` | the entry | [`AppendReplyWire`] |
//! | `GET /streams/{stream}?from=N&wait=MILLISECONDS` | | [`LogPageWire`] |
//! | `GET /vms?since=VERSION` | | [`VmPageWire`], JSON |
//! | `POST /seize` | [`SeizeRequestWire`] | [`SeizeReplyWire`] |
//! | `POST /exchange` | [`ExchangeRequestWire`] | [`ExchangeReplyWire`] |
//!
//! An answer with a status other than 200 contains an [`ErrorWire`] in JSON.

mod codec;
mod error;
mod log;
mod vm_list;
mod worker;

pub use self::codec::{decode, encode};
pub use self::error::ErrorWire;
pub use self::log::{AppendReplyWire, LogEntryWire, LogPageWire};
pub use self::vm_list::{VmEntryWire, VmPageWire, VmPhaseWire, VmRoleWire};
pub use self::worker::{
    AttemptPhaseWire, CommandResultWire, EndedReportWire, ExchangeReplyWire, ExchangeRequestWire,
    RunningAttemptWire, SeizeReplyWire, SeizeRequestWire, TaskSignalWire, TaskUsageWire,
    UsageReportWire, WorkerCommandWire,
};
