//! The history of everything that ran on the stand-ins, and the check of the promises against it.

mod checker;
mod record;
mod recorder;
mod report;

pub use self::checker::{JudgeLimits, judge};
pub use self::record::{
    CallerRecord, ExecutionEnd, ExecutionRecord, LeavingRecord, OverloadRecord, PlacementEnd,
    PlacementRecord, RefusalCause, RefusalRecord, TruthRecord, VmRecord,
};
pub use self::recorder::{ExecutionGuard, HistoryRecorder, PlacementIndex};
pub use self::report::{PromiseKind, PromiseReport, PromiseRow};
