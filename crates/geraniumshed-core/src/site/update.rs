//! The difference between two versions of the configuration.

use super::config::{ConfigVersion, SiteConfig};
use super::route::{RouteEntry, RouteKey};

/// The changes from one version to a later one, or a whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigUpdate {
    /// The version that the changes apply to; `None` if the update is a whole configuration.
    pub base: Option<ConfigVersion>,
    /// The version that results.
    pub version: ConfigVersion,
    /// The maximum size of a client's request body, in bytes.
    pub body_limit: usize,
    /// The routes that no longer exist.
    pub removed: Vec<RouteKey>,
    /// The routes that are new or different.
    pub changed: Vec<(RouteKey, RouteEntry)>,
}

impl From<&SiteConfig> for ConfigUpdate {
    fn from(config: &SiteConfig) -> Self {
        let routes = config.routes.iter();
        Self {
            base: None,
            version: config.version,
            body_limit: config.body_limit,
            removed: Vec::new(),
            changed: routes
                .map(|(key, entry)| (key.clone(), entry.clone()))
                .collect(),
        }
    }
}
