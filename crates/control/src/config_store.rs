//! The raw configuration that this VM holds, whole or as what changed after a version.
//!
//! Values travel one by one with the version in which each was last changed, so that a VM that
//! lacks a few versions fetches only those. The store takes a set of changes as a whole or not at
//! all, and never goes back.

use gypsumchute_config::{ConfigErrors, FleetConfig};
use gypsumchute_proto::local::{ConfigValue, ConfigValues};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// What a set of changes led to.
#[derive(Debug)]
pub enum Update {
    /// It is not newer than what is held.
    Old,
    /// It is held now and makes a good configuration.
    Good(Arc<FleetConfig>),
    /// It is held now, and what it makes is refused whole.
    Refused(u64, ConfigErrors),
}

/// The raw values, shared by all who read and serve them.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    held: Arc<Mutex<Held>>,
}

#[derive(Debug, Default)]
struct Held {
    version: u64,
    values: BTreeMap<String, ConfigValue>,
}

impl ConfigStore {
    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version held; 0 for none.
    pub fn version(&self) -> u64 {
        self.lock().version
    }

    /// What changed after `version`.
    pub fn changes_after(&self, version: u64) -> ConfigValues {
        let held = self.lock();
        let changed = held.values.values().filter(|value| value.version > version);
        ConfigValues { version: held.version, values: changed.cloned().collect() }
    }

    /// Takes in changes after what is held.
    pub fn apply(&self, changes: ConfigValues) -> Update {
        let mut held = self.lock();
        if changes.version <= held.version {
            return Update::Old;
        }
        for value in changes.values {
            let newer = held.values.get(&value.name).is_none_or(|v| v.version < value.version);
            if newer {
                held.values.insert(value.name.clone(), value);
            }
        }
        held.version = changes.version;
        let version = held.version;
        let present = held.values.values().filter(|value| !value.deleted);
        let files = present.map(|v| (v.name.clone(), v.text.clone())).collect();
        drop(held);
        match FleetConfig::from_files(version, &files) {
            Ok(config) => Update::Good(Arc::new(config)),
            Err(errors) => Update::Refused(version, errors),
        }
    }
}
