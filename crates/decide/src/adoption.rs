//! Versions of the configuration and of the VM list: which ones are in force, and which VMs read
//! the platform.
//!
//! The platform numbers the versions, and a VM only moves to a higher number: an older version is
//! ignored, whether it was read late or the platform returned to an earlier state. Every message
//! between VMs carries the versions of the sender, so that a receiver with an older version fetches
//! the newer one. Only a few VMs of each zone read the platform. Another VM reads it when its
//! version has not been confirmed for [`FALLBACK_READ_AGE_MS`].

use crate::limits::{FALLBACK_READ_AGE_MS, FETCH_TIMEOUT_MS, READERS_PER_ZONE, STARTUP_LISTEN_MS};
use crate::vm_list::VmList;
use gypsumchute_config::{FleetConfig, IsolationPolicy};
use gypsumchute_units::{BootMs, VmId};
use std::sync::Arc;

/// The configuration and the VM list in force at one VM, and the time of their last confirmation.
#[derive(Debug)]
pub struct Adoption {
    started_ms: BootMs,
    config: Arc<FleetConfig>,
    /// Highest configuration version that was refused as invalid; 0 if none was.
    refused_version: u64,
    list: VmList,
    /// Time at which the platform last confirmed the configuration in force.
    confirmed_ms: BootMs,
    /// Earliest time of the next fetch of a configuration from a peer.
    next_config_fetch_ms: BootMs,
    /// Earliest time of the next fetch of a VM list from a peer.
    next_list_fetch_ms: BootMs,
    /// End of the current fallback read of a VM that is not a regular reader.
    fallback_read_until_ms: BootMs,
    /// Whether this VM reads the platform.
    reads_platform: bool,
}

impl Adoption {
    /// Returns the state without a configuration and a VM list.
    pub fn new(now: BootMs) -> Self {
        Adoption {
            started_ms: now,
            config: Arc::new(FleetConfig::default()),
            refused_version: 0,
            list: VmList::default(),
            confirmed_ms: now,
            next_config_fetch_ms: now,
            next_list_fetch_ms: now,
            fallback_read_until_ms: now,
            reads_platform: false,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Returns the VM list in force.
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// Returns the highest configuration version that this VM has accepted or refused.
    pub fn latest_checked_version(&self) -> u64 {
        self.config.version.max(self.refused_version)
    }

    /// Puts a configuration in force if its version is newer; returns whether it is in force now.
    pub fn on_config(&mut self, now: BootMs, config: Arc<FleetConfig>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.confirmed_ms = now;
        self.config = config;
        true
    }

    /// Records that a version was refused as invalid. The version in force does not change.
    pub fn on_refused(&mut self, version: u64) {
        self.refused_version = self.refused_version.max(version);
    }

    /// Records that `version` is the latest one at the platform. If the version in force is newer,
    /// the platform is behind and its answer confirms nothing.
    pub fn on_confirmed(&mut self, now: BootMs, version: u64) {
        if version >= self.config.version {
            self.confirmed_ms = now;
        }
    }

    /// Puts a VM list in force if its version is newer or the one in force is empty; returns
    /// whether it is in force now.
    pub fn on_list(&mut self, list: VmList) -> bool {
        let newer = list.version > self.list.version || self.list.vms.is_empty();
        if newer {
            self.list = list;
        }
        newer
    }

    /// Compares the versions of a peer with those in force. Returns whether to fetch the
    /// configuration and whether to fetch the VM list from the peer.
    pub fn on_peer_versions(
        &mut self,
        now: BootMs,
        config_version: u64,
        config_age_ms: u64,
        list_version: u64,
    ) -> (bool, bool) {
        if config_version >= self.config.version {
            let confirmed_ms = BootMs(now.0.saturating_sub(config_age_ms));
            self.confirmed_ms = self.confirmed_ms.max(confirmed_ms);
        }
        let fetch_config =
            config_version > self.latest_checked_version() && now >= self.next_config_fetch_ms;
        let fetch_list = list_version > self.list.version && now >= self.next_list_fetch_ms;
        if fetch_config {
            self.next_config_fetch_ms = now + FETCH_TIMEOUT_MS;
        }
        if fetch_list {
            self.next_list_fetch_ms = now + FETCH_TIMEOUT_MS;
        }
        (fetch_config, fetch_list)
    }

    /// Allows the next fetches, because a fetch has completed.
    pub fn on_fetched(&mut self, now: BootMs) {
        self.next_config_fetch_ms = now;
        self.next_list_fetch_ms = now;
    }

    /// Returns the time since the platform confirmed the configuration in force, in milliseconds.
    pub fn age_ms(&self, now: BootMs) -> u64 {
        now.since(self.confirmed_ms)
    }

    /// Decides whether this VM reads the platform; returns the decision if it changed. `live`
    /// contains the live VMs of the zone, including this VM (`me`).
    pub fn on_tick(&mut self, now: BootMs, me: &VmId, live: &[&VmId]) -> Option<bool> {
        let mut sorted_live: Vec<&VmId> = live.to_vec();
        sorted_live.sort();
        let is_regular_reader = sorted_live.iter().take(READERS_PER_ZONE).any(|vm| *vm == me);
        if !is_regular_reader
            && self.age_ms(now) > FALLBACK_READ_AGE_MS
            && now >= self.fallback_read_until_ms
        {
            self.fallback_read_until_ms = now + FALLBACK_READ_AGE_MS;
        }
        let reads = is_regular_reader || now < self.fallback_read_until_ms;
        let changed = reads != self.reads_platform;
        self.reads_platform = reads;
        changed.then_some(reads)
    }

    /// Reports whether the configuration in force allows this VM to serve requests: a configuration
    /// exists, newer versions had time to arrive, and the last confirmation is recent enough if
    /// the operator chose to stop VMs that are cut off from the platform.
    pub fn may_serve(&self, now: BootMs) -> bool {
        let has_listened =
            now.since(self.started_ms) >= STARTUP_LISTEN_MS || self.config.version == 0;
        let fleet = &self.config.fleet;
        let must_stop =
            fleet.cut_off == IsolationPolicy::Stop && self.age_ms(now) > fleet.cut_off_stop_ms;
        self.config.version > 0 && has_listened && !must_stop
    }
}
