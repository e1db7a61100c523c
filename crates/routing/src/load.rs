//! What runs at each endpoint: own requests exactly, those of other VMs as they last told.
//!
//! Answers the pattern "many VMs send to the same engine between two of its load reports": each VM
//! counts its own sends at once and hears of the others' within a heartbeat, so that nobody
//! depends on reports that lag.

use gypsumchute_units::{BootMs, EndpointId, VmId};
use std::collections::BTreeMap;
use std::ops::{AddAssign, Sub};

/// How long what another VM told counts: a VM that fell silent is taken for gone after it.
pub const PEER_LOAD_TTL_MS: u64 = 4_000;

/// Load of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests at work or waiting there.
    pub requests: u32,
    /// Engine memory that they will need at their end, in tokens.
    pub tokens: u64,
    /// Engine memory taken by backups of runs elsewhere, in tokens.
    pub backup_tokens: u64,
    /// Prompts that the engine has yet to read, in tokens.
    pub unread_tokens: u64,
}

impl Load {
    /// Whether there is none.
    pub fn is_none(&self) -> bool {
        *self == Load::default()
    }

    /// Engine memory in all.
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.backup_tokens
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Load) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.backup_tokens += other.backup_tokens;
        self.unread_tokens += other.unread_tokens;
    }
}

impl Sub for Load {
    type Output = Load;

    fn sub(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
            backup_tokens: self.backup_tokens.saturating_sub(other.backup_tokens),
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
        }
    }
}

/// What another VM told, and when.
#[derive(Debug, Clone, Copy)]
struct Told {
    load: Load,
    heard_ms: BootMs,
}

/// The load of all endpoints, as this VM knows it.
#[derive(Debug, Default)]
pub struct Loads {
    own: BTreeMap<EndpointId, Load>,
    peers: BTreeMap<VmId, BTreeMap<EndpointId, Told>>,
}

impl Loads {
    /// Counts a request of this VM.
    pub fn add(&mut self, endpoint: &EndpointId, load: Load) {
        *self.own.entry(endpoint.clone()).or_default() += load;
    }

    /// Takes a request of this VM out again.
    pub fn remove(&mut self, endpoint: &EndpointId, load: Load) {
        let Some(own) = self.own.get_mut(endpoint) else { return };
        *own = *own - load;
        if own.is_none() {
            self.own.remove(endpoint);
        }
    }

    /// Replaces what `vm` told before.
    pub fn set_peer(
        &mut self,
        now: BootMs,
        vm: &VmId,
        by_endpoint: impl IntoIterator<Item = (EndpointId, Load)>,
    ) {
        let told = |(endpoint, load)| (endpoint, Told { load, heard_ms: now });
        self.peers.insert(vm.clone(), by_endpoint.into_iter().map(told).collect());
    }

    /// Replaces what `vm` told of one endpoint.
    pub fn set_peer_at(&mut self, now: BootMs, vm: &VmId, endpoint: EndpointId, load: Load) {
        let peer = self.peers.entry(vm.clone()).or_default();
        match load.is_none() {
            true => drop(peer.remove(&endpoint)),
            false => drop(peer.insert(endpoint, Told { load, heard_ms: now })),
        }
    }

    /// Forgets what was not said again: its VM may be gone, or word of the end was lost.
    pub fn expire(&mut self, now: BootMs) {
        for peer in self.peers.values_mut() {
            peer.retain(|_, told| now.since(told.heard_ms) < PEER_LOAD_TTL_MS);
        }
        self.peers.retain(|_, peer| !peer.is_empty());
    }

    /// This VM's own requests, for the other VMs.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, &Load)> {
        self.own.iter()
    }

    /// This VM's own requests at `endpoint`.
    pub fn own_at(&self, endpoint: &EndpointId) -> Load {
        self.own.get(endpoint).copied().unwrap_or_default()
    }

    /// All that is known to run at `endpoint`.
    pub fn at(&self, endpoint: &EndpointId) -> Load {
        let mut sum = self.own.get(endpoint).copied().unwrap_or_default();
        let of_peers = self.peers.values().filter_map(|peer| peer.get(endpoint));
        of_peers.for_each(|told| sum += told.load);
        sum
    }
}
