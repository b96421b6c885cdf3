//! The platform's lagging list of VMs.

use geraniumshed_model::prelude::{TimeSpan, VmEntry};

use crate::error::PlatformError;

/// The version of the list; 0 asks for the whole list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListVersion(pub u64);

/// The part of the list that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPage {
    /// The version up to which the page goes.
    pub version: ListVersion,
    /// How old the list is, by the platform's own clock.
    pub age: TimeSpan,
    /// Whether the page is the whole list, so that VMs missing from it are gone.
    pub whole: bool,
    /// The VMs that changed.
    pub entries: Vec<VmEntry>,
}

/// A client of the platform's list of VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads what changed since a version.
    ///
    /// # Errors
    ///
    /// Returns the transport's error if the list can't be read.
    fn changes(
        &self,
        since: ListVersion,
    ) -> impl Future<Output = Result<VmPage, PlatformError>> + Send;
}
