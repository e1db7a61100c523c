//! Stores the raw configuration values of this VM and returns those that changed after a version.
//!
//! Each value carries the configuration version in which it was last changed, so that a VM that
//! misses a few versions fetches only the values that changed in them. The store applies a set of
//! changes completely or not at all, and never returns to an older version.

use gypsumchute_config::{ConfigErrors, FleetConfig};
use gypsumchute_proto::local::{ConfigValue, ConfigValues};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// The result of applying a set of changes.
#[derive(Debug)]
pub enum ConfigUpdate {
    /// The changes are not newer than the stored version and were ignored.
    Stale,
    /// The changes were stored and result in this valid configuration.
    Accepted(Arc<FleetConfig>),
    /// The changes were stored, but the resulting configuration is invalid and is rejected as a
    /// whole. Carries the version and the errors found.
    Rejected(u64, ConfigErrors),
}

/// Raw configuration values. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    raw: Arc<Mutex<RawConfig>>,
}

/// A version of the configuration as raw values.
#[derive(Debug, Default)]
struct RawConfig {
    version: u64,
    /// Values by name, including deleted ones, so that deletions reach other VMs too.
    values: BTreeMap<String, ConfigValue>,
}

impl ConfigStore {
    fn lock(&self) -> std::sync::MutexGuard<'_, RawConfig> {
        self.raw.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the stored version, or 0 if the store is empty.
    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// Returns the stored version and the values that changed after `version`.
    pub fn changes_after(&self, version: u64) -> ConfigValues {
        let raw = self.lock();
        let changed = raw.values.values().filter(|value| value.version > version);
        ConfigValues { version: raw.version, values: changed.cloned().collect() }
    }

    /// Applies a set of changes and validates the resulting configuration.
    pub fn apply(&self, changes: ConfigValues) -> ConfigUpdate {
        let mut raw = self.lock();
        if changes.version <= raw.version {
            return ConfigUpdate::Stale;
        }
        for value in changes.values {
            let is_newer = raw.values.get(&value.name).is_none_or(|v| v.version < value.version);
            if is_newer {
                raw.values.insert(value.name.clone(), value);
            }
        }
        raw.version = changes.version;
        let version = raw.version;
        let present = raw.values.values().filter(|value| !value.deleted);
        let files = present.map(|v| (v.name.clone(), v.text.clone())).collect();
        drop(raw);
        match FleetConfig::from_files(version, &files) {
            Ok(config) => ConfigUpdate::Accepted(Arc::new(config)),
            Err(errors) => ConfigUpdate::Rejected(version, errors),
        }
    }
}
