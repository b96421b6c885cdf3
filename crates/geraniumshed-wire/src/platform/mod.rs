//! The platform's HTTP interfaces.
//!
//! The list of VMs and errors are JSON. Entries of the log and calls to workers are the bulk of the
//! control traffic and go in a compact binary encoding.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /streams/{stream}` | the entry | [`AppendReplyWire`] |
//! | `GET /streams/{stream}?from=N&wait=MILLISECONDS` | | [`LogPageWire`] |
//! | `GET /vms?since=VERSION` | | [`VmPageWire`], JSON |
//! | `POST /seize` | [`SeizeRequestWire`] | [`SeizeReplyWire`] |
//! | `POST /exchange` | [`ExchangeRequestWire`] | [`ExchangeReplyWire`] |
//!
//! Any other status than 200 carries an [`ErrorWire`], JSON.

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
