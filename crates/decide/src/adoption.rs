//! Which version of the configuration and of the VM list is in force, and who reads the platform.
//!
//! Versions are totally ordered by the platform's numbers and only go up here: an older one, read
//! late or from a platform that runs backwards, is passed over. Every message between VMs carries
//! the sender's versions, so that whoever hears of a newer one fetches it. Only a few VMs of each
//! zone read the platform; any other does so when nothing has confirmed its version for a while.

use crate::limits::{FETCH_WAIT_MS, READ_ANYWAY_MS, READERS_PER_ZONE, START_LISTEN_MS};
use crate::vm_list::VmList;
use gypsumchute_config::{CutOff, FleetConfig};
use gypsumchute_units::{BootMs, VmId};
use std::sync::Arc;

/// What a VM has accepted, and how fresh it is.
#[derive(Debug)]
pub struct Adoption {
    started_ms: BootMs,
    config: Arc<FleetConfig>,
    refused_version: u64,
    list: VmList,
    confirmed_ms: BootMs,
    config_fetch_ms: BootMs,
    list_fetch_ms: BootMs,
    read_anyway_ms: BootMs,
    reads: bool,
}

impl Adoption {
    /// Nothing accepted yet.
    pub fn new(now: BootMs) -> Self {
        Adoption {
            started_ms: now,
            config: Arc::new(FleetConfig::default()),
            refused_version: 0,
            list: VmList::default(),
            confirmed_ms: now,
            config_fetch_ms: now,
            list_fetch_ms: now,
            read_anyway_ms: now,
            reads: false,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// The VM list in force.
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// The newest version that this VM has judged, good or bad.
    pub fn known_version(&self) -> u64 {
        self.config.version.max(self.refused_version)
    }

    /// Takes in a version; returns whether it is in force now.
    pub fn on_config(&mut self, now: BootMs, config: Arc<FleetConfig>) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.confirmed_ms = now;
        self.config = config;
        true
    }

    /// Notes a version that was refused: the one in force stays.
    pub fn on_refused(&mut self, version: u64) {
        self.refused_version = self.refused_version.max(version);
    }

    /// The platform said that `version` is its newest. An older one than is in force confirms
    /// nothing: the platform is behind.
    pub fn on_confirmed(&mut self, now: BootMs, version: u64) {
        if version >= self.config.version {
            self.confirmed_ms = now;
        }
    }

    /// Takes in a VM list; returns whether it is in force now.
    pub fn on_list(&mut self, list: VmList) -> bool {
        let newer = list.version > self.list.version || self.list.vms.is_empty();
        if newer {
            self.list = list;
        }
        newer
    }

    /// Another VM holds these versions; returns what to fetch from it: configuration, VM list.
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
        let config = config_version > self.known_version() && now >= self.config_fetch_ms;
        let list = list_version > self.list.version && now >= self.list_fetch_ms;
        if config {
            self.config_fetch_ms = now + FETCH_WAIT_MS;
        }
        if list {
            self.list_fetch_ms = now + FETCH_WAIT_MS;
        }
        (config, list)
    }

    /// A fetch ended, so that the next one may begin.
    pub fn on_fetched(&mut self, now: BootMs) {
        self.config_fetch_ms = now;
        self.list_fetch_ms = now;
    }

    /// How long ago the platform confirmed the configuration in force.
    pub fn age_ms(&self, now: BootMs) -> u64 {
        now.since(self.confirmed_ms)
    }

    /// Decides whether this VM shall read the platform; returns the decision where it changed.
    /// `live` are the VMs of the zone heard lately, this one (`me`) included.
    pub fn on_tick(&mut self, now: BootMs, me: &VmId, live: &[&VmId]) -> Option<bool> {
        let mut ordered: Vec<&VmId> = live.to_vec();
        ordered.sort();
        let chosen = ordered.iter().take(READERS_PER_ZONE).any(|vm| *vm == me);
        if !chosen && self.age_ms(now) > READ_ANYWAY_MS && now >= self.read_anyway_ms {
            self.read_anyway_ms = now + READ_ANYWAY_MS;
        }
        let reads = chosen || now < self.read_anyway_ms;
        let changed = reads != self.reads;
        self.reads = reads;
        changed.then_some(reads)
    }

    /// Whether requests may be served under what is in force: a configuration is, newer ones had
    /// time to arrive, and operators don't want this VM to stop that long after the last word.
    pub fn may_serve(&self, now: BootMs) -> bool {
        let listened = now.since(self.started_ms) >= START_LISTEN_MS || self.config.version == 0;
        let fleet = &self.config.fleet;
        let stopped = fleet.cut_off == CutOff::Stop && self.age_ms(now) > fleet.cut_off_stop_ms;
        self.config.version > 0 && listened && !stopped
    }
}
