//! The common types, for glob imports.

pub use crate::endpoint::{EndpointEntry, EndpointId, EndpointPhase};
pub use crate::error::{ErrorAnswer, ErrorKind, ProblemError, RetryAdvice, RunOutcome};
pub use crate::event::{
    ClaimEvent, ConfigEvent, EndpointEvent, KeyEvent, LogBatch, LogStream, RecordBody, ShardEvent,
    SnapshotPart,
};
pub use crate::id::{
    AttemptNumber, BootId, CheckpointId, DaemonId, DaemonIncarnation, GroupName, KeyDigest,
    LogOffset, ParseIdError, RackName, RecordGeneration, RecordName, RegionName, RequestDigest,
    RequestId, ShardId, ShardTerm, TaskId, TeamName, VmId, WriterMark, ZoneName,
};
pub use crate::peer::{PeerIdentity, PeerReport};
pub use crate::record::{
    BindingSpec, CancelSpec, DrainScope, DrainSpec, JobSpec, OperatorRecord, RecordKey, RecordKind,
    RecordSpec, SchemaVersion, ServiceSpec, TeamSpec,
};
pub use crate::resource::{
    AcceleratorCount, MemorySize, ProcessorShare, RequestRate, ResourceSize, SlotCount,
};
pub use crate::task::{EndedAttempt, TaskClass, TaskOutcome, TaskSpec, UrgencyClass};
pub use crate::time::{TimePoint, TimeSpan, whole_millis};
pub use crate::vm::{VmEntry, VmPhase, VmRole};
pub use crate::worker::{
    AttemptPhase, CommandResult, EndedReport, ExchangeReply, ExchangeRequest, RunningAttempt,
    SeizeReply, SeizeRequest, TaskSignal, TaskUsage, UsageReport, WorkerCommand,
};
