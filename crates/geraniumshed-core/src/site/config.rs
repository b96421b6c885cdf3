//! A version of the configuration.

use std::fmt::{self, Display, Formatter};

use super::route::RouteTable;
use super::update::ConfigUpdate;

/// The version of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl Display for ConfigVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// The parts of a configuration that nodes use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteConfig {
    /// The version.
    pub version: ConfigVersion,
    /// The maximum size of a client's request body, in bytes.
    pub body_limit: usize,
    /// The queues and the routes to them.
    pub routes: RouteTable,
}

impl SiteConfig {
    /// Returns the configuration that results from an update, or `None` if the update is based on
    /// another version.
    pub fn updated(&self, update: ConfigUpdate) -> Option<Self> {
        let mut routes = match update.base {
            None => RouteTable::default(),
            Some(base) if base == self.version => self.routes.clone(),
            Some(_) => return None,
        };
        routes.change(update.removed, update.changed);
        Some(Self {
            version: update.version,
            body_limit: update.body_limit,
            routes,
        })
    }
}
