//! Load of each endpoint: exact for the requests of this VM, and as last reported for those of
//! other VMs.
//!
//! Guards against many VMs that send to the same engine between two of the engine's load reports.
//! Each VM counts its own requests immediately and receives the counts of other VMs within one
//! heartbeat, so that placement does not depend on delayed engine reports.

use gypsumchute_units::{BootMs, EndpointId, VmId};
use std::collections::BTreeMap;
use std::ops::{AddAssign, Sub};

/// Time after which a peer's load report expires, in milliseconds. A VM that stays silent for this
/// long is considered gone.
pub const PEER_LOAD_TTL_MS: u64 = 4_000;

/// Load of one endpoint, or the part of the load that one request adds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Number of requests that are in flight or queued.
    pub requests: u32,
    /// Engine memory that the requests will occupy when they end, in tokens.
    pub reserved_tokens: u64,
    /// Engine memory occupied by backups of generations that run on other engines, in tokens.
    pub backup_tokens: u64,
    /// Prompt tokens that the engine has yet to prefill.
    pub pending_prefill_tokens: u64,
}

impl Load {
    /// Reports whether the load is zero.
    pub fn is_zero(&self) -> bool {
        *self == Load::default()
    }

    /// Returns the total engine memory of requests and backups, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.reserved_tokens + self.backup_tokens
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Load) {
        self.requests += other.requests;
        self.reserved_tokens += other.reserved_tokens;
        self.backup_tokens += other.backup_tokens;
        self.pending_prefill_tokens += other.pending_prefill_tokens;
    }
}

impl Sub for Load {
    type Output = Load;

    /// Subtracts field by field. A result below zero becomes zero.
    fn sub(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            reserved_tokens: self.reserved_tokens.saturating_sub(other.reserved_tokens),
            backup_tokens: self.backup_tokens.saturating_sub(other.backup_tokens),
            pending_prefill_tokens: self
                .pending_prefill_tokens
                .saturating_sub(other.pending_prefill_tokens),
        }
    }
}

/// Load that a peer VM reported for one endpoint.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    load: Load,
    received_ms: BootMs,
}

/// Load of all endpoints, as known to this VM.
#[derive(Debug, Default)]
pub struct LoadTable {
    local: BTreeMap<EndpointId, Load>,
    peers: BTreeMap<VmId, BTreeMap<EndpointId, PeerLoad>>,
}

impl LoadTable {
    /// Adds the load of a request of this VM.
    pub fn add_local(&mut self, endpoint: &EndpointId, load: Load) {
        *self.local.entry(endpoint.clone()).or_default() += load;
    }

    /// Removes the load of a request of this VM.
    pub fn remove_local(&mut self, endpoint: &EndpointId, load: Load) {
        let Some(local) = self.local.get_mut(endpoint) else { return };
        *local = *local - load;
        if local.is_zero() {
            self.local.remove(endpoint);
        }
    }

    /// Replaces all loads that `vm` reported before.
    pub fn replace_peer_loads(
        &mut self,
        now: BootMs,
        vm: &VmId,
        by_endpoint: impl IntoIterator<Item = (EndpointId, Load)>,
    ) {
        let peer_load = |(endpoint, load)| (endpoint, PeerLoad { load, received_ms: now });
        self.peers.insert(vm.clone(), by_endpoint.into_iter().map(peer_load).collect());
    }

    /// Replaces the load that `vm` reported for one endpoint.
    pub fn set_peer_load(&mut self, now: BootMs, vm: &VmId, endpoint: EndpointId, load: Load) {
        let peer = self.peers.entry(vm.clone()).or_default();
        match load.is_zero() {
            true => drop(peer.remove(&endpoint)),
            false => drop(peer.insert(endpoint, PeerLoad { load, received_ms: now })),
        }
    }

    /// Drops loads that have not been reported again in time: the VM may be gone, or the message
    /// that the load ended may have been lost.
    pub fn expire(&mut self, now: BootMs) {
        for peer in self.peers.values_mut() {
            peer.retain(|_, peer_load| now.since(peer_load.received_ms) < PEER_LOAD_TTL_MS);
        }
        self.peers.retain(|_, peer| !peer.is_empty());
    }

    /// Returns the load of this VM's own requests by endpoint, for reporting to other VMs.
    pub fn local_loads(&self) -> impl Iterator<Item = (&EndpointId, &Load)> {
        self.local.iter()
    }

    /// Returns the load of this VM's own requests at `endpoint`.
    pub fn local_load(&self, endpoint: &EndpointId) -> Load {
        self.local.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns the total known load of `endpoint`, from this VM and all peers.
    pub fn total(&self, endpoint: &EndpointId) -> Load {
        let mut total = self.local.get(endpoint).copied().unwrap_or_default();
        let peer_loads = self.peers.values().filter_map(|peer| peer.get(endpoint));
        peer_loads.for_each(|peer_load| total += peer_load.load);
        total
    }
}
