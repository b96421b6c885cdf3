//! Workers: their clocks and leases, their runs, their track records, and their quarantine after
//! failures.

mod clock;
mod contact;
mod entry;
mod listing;
mod load;
mod message;
mod process;
mod progress;
mod quarantine;
mod run;
mod table;
mod track_record;

pub use clock::{WorkerClock, WorkerTime};
pub use contact::{WorkerContact, WorkerStanding};
pub use entry::{SentRenewal, WorkerEntry};
pub use listing::{WorkerChange, WorkerIncarnation, WorkerListing};
pub use load::{ServedLoad, WorkerLoad};
pub use message::{
    AdviceReply, AdviceRequest, EndKind, FenceToken, PaceOrder, RenewReply, RenewRequest, RunEnd,
    RunReport, StartAnswer, StartOrder, StartReply, StopOrder, WorkerCall, WorkerFailure,
};
pub use process::ProcessMatch;
pub use progress::{ProgressMark, RunProgress, RunSpeed};
pub use quarantine::WorkerQuarantine;
pub use run::{FULL_PERCENT, RunEntry, RunPhase};
pub use table::WorkerTable;
pub(crate) use track_record::whole_percent;
pub use track_record::{RecordCredence, SLOW_SPEED, SpeedChange, StoredTrack, TrackRecord};
