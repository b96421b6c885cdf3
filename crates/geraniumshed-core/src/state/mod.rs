//! The state that every daemon derives from the log and from the VM list.

pub mod config;
pub mod directory;
pub mod vm_table;

pub use self::config::{ConfigState, PublishVerdict};
pub use self::directory::EndpointDirectory;
pub use self::vm_table::VmTable;
