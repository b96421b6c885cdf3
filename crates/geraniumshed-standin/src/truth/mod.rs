//! The stand-ins' own record of what ran where, and the judgement of the promises on it.

mod judge;
mod ledger;
mod record;
mod report;

pub use self::judge::{JudgeLimits, judge};
pub use self::ledger::{ExecutionGuard, PlacementMark, TruthLedger};
pub use self::record::{
    CallerRecord, ExecutionEnd, ExecutionRecord, LeavingRecord, OverloadRecord, PlacementEnd,
    PlacementRecord, RefusalCause, RefusalRecord, TruthRecord, VmRecord,
};
pub use self::report::{PromiseKind, PromiseReport, PromiseRow};
