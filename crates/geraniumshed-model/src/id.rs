//! Ids and names, each with its own type.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use smol_str::SmolStr;

/// The maximum length of a name, in bytes.
pub const NAME_LENGTH_LIMIT: usize = 63;

/// The error for text that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    /// The kind of id that was expected, such as `zone name`.
    pub expected: &'static str,
    /// The text that was found.
    pub found: SmolStr,
    /// What a valid id looks like.
    pub hint: &'static str,
}

impl Display for ParseIdError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a valid {}: {}",
            self.found, self.expected, self.hint
        )
    }
}

impl std::error::Error for ParseIdError {}

/// Defines newtypes over text that is validated by [`check_name`].
macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident, $expected:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the text of the id.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text, $expected)?;
                Ok(Self(SmolStr::new(text)))
            }
        }
    )*};
}

text_ids! {
    /// The name of a record that operators publish.
    RecordName, "record name";
    /// The name of a team that has a quota.
    TeamName, "team name";
    /// The id of a VM, which is either a worker or an entry VM.
    VmId, "VM id";
    /// The name of an availability zone.
    ZoneName, "availability zone name";
    /// The name of a region.
    RegionName, "region name";
    /// The name of a rack.
    RackName, "rack name";
    /// The id of a daemon, which stays the same when the daemon restarts.
    DaemonId, "daemon id";
    /// The id of a checkpoint, assigned by the worker that wrote it.
    CheckpointId, "checkpoint id";
    /// The name of a group of tasks that share the estimates of interference, size and run time.
    GroupName, "group name";
}

fn check_name(text: &str, expected: &'static str) -> Result<(), ParseIdError> {
    let valid_length = !text.is_empty() && text.len() <= NAME_LENGTH_LIMIT;
    let valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let valid_rest = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if valid_length && valid_start && valid_rest {
        return Ok(());
    }
    Err(ParseIdError {
        expected,
        found: text.chars().take(NAME_LENGTH_LIMIT).collect(),
        hint: "use 1 to 63 letters, digits, `-`, `_` or `.`, starting with a letter or digit",
    })
}

/// Defines newtypes over integers.
macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident($number:ty), $expected:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError {
                    expected: $expected,
                    found: text.chars().take(NAME_LENGTH_LIMIT).collect(),
                    hint: "use a whole number",
                })
            }
        }
    )*};
}

number_ids! {
    /// The number of a shard, a partition of the cluster's workers and tasks.
    ShardId(u16), "shard id";
    /// The fencing term of a shard's owner: the log offset of its claim.
    ShardTerm(u64), "shard term";
    /// The offset of an entry in a stream of the log.
    LogOffset(u64), "log offset";
    /// The number of an attempt to run a task, counted in log order from 1.
    AttemptNumber(u32), "attempt number";
    /// The id of one boot of a worker, which changes when the worker restarts.
    BootId(u64), "boot id";
    /// The generation of a record, counted from 1 and incremented by each change.
    RecordGeneration(u64), "record generation";
    /// The random id of one process of a daemon, which changes when the daemon restarts.
    DaemonIncarnation(u64), "daemon incarnation";
    /// The random id of a request.
    RequestId(u128), "request id";
    /// The digest of a service name and an idempotency key.
    KeyDigest(u128), "key digest";
    /// The digest of a request's method, path and body.
    RequestDigest(u128), "request digest";
}

impl From<LogOffset> for ShardTerm {
    fn from(offset: LogOffset) -> Self {
        Self(offset.0)
    }
}

/// The writer and sequence number of a batch, by which log readers drop a repeated append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriterMark {
    /// The incarnation of the writer.
    pub incarnation: DaemonIncarnation,
    /// The sequence number of the batch within its stream, counted by the writer from 1.
    pub sequence: u64,
}

/// The id of a task: one replica of a service or one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The record that the task belongs to.
    pub record: RecordName,
    /// The generation of a job's record. Zero for a service, since a replica keeps its id when the
    /// record changes.
    pub generation: RecordGeneration,
    /// The index of the task within its record, counted from 0.
    pub index: u32,
}

impl Display for TaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.record, self.generation, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError {
            expected: "task id",
            found: text.chars().take(NAME_LENGTH_LIMIT).collect(),
            hint: "use RECORD/GENERATION/INDEX, such as `regrade-17/1/0`",
        };
        let mut parts = text.split('/');
        let record = parts.next().ok_or_else(error)?.parse()?;
        let generation = parts.next().ok_or_else(error)?.parse()?;
        let index = parts
            .next()
            .ok_or_else(error)?
            .parse()
            .map_err(|_| error())?;
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(Self {
            record,
            generation,
            index,
        })
    }
}
