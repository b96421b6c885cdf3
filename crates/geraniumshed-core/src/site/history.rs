//! Which routes changed between the versions that a node has had in force.

use std::collections::{BTreeMap, BTreeSet};

use super::config::{ConfigVersion, SiteConfig};
use super::route::RouteKey;
use super::update::ConfigUpdate;

/// The number of versions from which a history knows the changes.
const MAX_VERSIONS: usize = 32;

/// Remembers which routes changed with which version.
///
/// It knows the changes only from versions that were in force here: between two of them, a route may
/// have changed and changed back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigHistory {
    /// The last versions in force.
    versions: BTreeSet<ConfigVersion>,
    /// The version with which a route was last added, changed or removed.
    changed: BTreeMap<RouteKey, ConfigVersion>,
}

impl ConfigHistory {
    /// Records that a configuration has replaced an earlier one.
    pub fn record(&mut self, replaced: Option<&SiteConfig>, config: &SiteConfig) {
        if let Some(replaced) = replaced {
            self.record_changes(replaced, config);
        }
        self.versions.insert(config.version);
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
        if let Some(oldest) = self.versions.first() {
            self.changed.retain(|_, version| *version > *oldest);
        }
    }

    fn record_changes(&mut self, replaced: &SiteConfig, config: &SiteConfig) {
        let removed = replaced.routes.iter().map(|(key, _)| key);
        let removed = removed.filter(|key| config.routes.get(key).is_none());
        let changed = config.routes.iter();
        let changed = changed.filter(|(key, entry)| replaced.routes.get(key) != Some(*entry));
        let keys = removed.chain(changed.map(|(key, _)| key));
        self.changed
            .extend(keys.map(|key| (key.clone(), config.version)));
    }

    /// Returns the changes from a version to the configuration in force, or the whole configuration
    /// if they aren't known.
    pub fn update_from(&self, base: ConfigVersion, config: &SiteConfig) -> ConfigUpdate {
        if !self.versions.contains(&base) {
            return ConfigUpdate::from(config);
        }
        let mut update = ConfigUpdate {
            base: Some(base),
            version: config.version,
            body_limit: config.body_limit,
            removed: Vec::new(),
            changed: Vec::new(),
        };
        for (key, _) in self.changed.iter().filter(|(_, version)| **version > base) {
            match config.routes.get(key) {
                Some(entry) => update.changed.push((key.clone(), entry.clone())),
                None => update.removed.push(key.clone()),
            }
        }
        update
    }
}
