//! The state that every daemon derives from the log and the platform's list of VMs.

pub mod append_budget;
pub mod config;
pub mod config_replica;
pub mod config_snapshot;
pub mod directory;
pub mod entry_filter;
pub mod job_progress;
pub mod record_table;
pub mod retry_delay;
pub mod snapshot_parts;
pub mod vm_table;

pub use self::append_budget::AppendBudget;
pub use self::config::{ConfigState, PublishVerdict};
pub use self::config_replica::ConfigReplica;
pub use self::directory::EndpointDirectory;
pub use self::entry_filter::{EntryFilter, EntryVerdict};
pub use self::job_progress::{EndedCount, FinishedJob, JobProgress, ProgressTable};
pub use self::record_table::{HeldRecord, RecordEntry, RecordTable};
pub use self::retry_delay::RetryDelay;
pub use self::snapshot_parts::{SnapshotParts, split_snapshot};
pub use self::vm_table::VmTable;
