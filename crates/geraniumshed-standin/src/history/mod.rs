//! The history of everything that ran on the stand-ins, and the check of the promises against it.

mod checker;
mod record;
mod recorder;
mod report;

pub use self::checker::{CheckLimits, check_promises};
pub use self::record::{
    CallerRecord, ExecutionEnd, ExecutionRecord, LeavingRecord, OverloadRecord, PlacementEnd,
    PlacementRecord, RefusalCause, RefusalRecord, RunHistory, VmRecord,
};
pub use self::recorder::{ExecutionGuard, HistoryRecorder, PlacementIndex};
pub use self::report::{PromiseKind, PromiseReport, PromiseRow};
