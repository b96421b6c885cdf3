//! Workers: their clocks and leases, what they run, and how far they are trusted.

mod clock;
mod entry;
mod listing;
mod load;
mod message;
mod run;
mod trust;

pub use clock::{WorkerClock, WorkerTime};
pub use entry::{RenewMark, WorkerEntry};
pub use listing::{WorkerChange, WorkerLife, WorkerListing};
pub use load::{ServedLoad, WorkerLoad};
pub use message::{
    AdviceReply, AdviceRequest, EndKind, FenceToken, PaceOrder, RenewReply, RenewRequest, RunEnd,
    RunReport, StartOrder, StartReply, StopOrder, WorkerCall, WorkerFailure,
};
pub use run::{RunEntry, RunPhase};
pub use trust::WorkerTrust;
