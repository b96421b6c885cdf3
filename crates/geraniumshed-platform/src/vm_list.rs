//! The client of the platform's VM list, which may be out of date.

use geraniumshed_model::prelude::{TimeSpan, VmEntry};

use crate::error::PlatformError;

/// A version of the list. Version 0 requests the complete list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListVersion(pub u64);

/// The changes of the list since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPage {
    /// The version of the list after the changes.
    pub version: ListVersion,
    /// The age of the list according to the platform's clock.
    pub age: TimeSpan,
    /// Whether the page is the complete list, so VMs that it doesn't contain no longer exist.
    pub whole: bool,
    /// The changed VMs.
    pub entries: Vec<VmEntry>,
}

/// A client of the platform's VM list.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the changes since a version.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be read.
    fn changes(
        &self,
        since: ListVersion,
    ) -> impl Future<Output = Result<VmPage, PlatformError>> + Send;
}
