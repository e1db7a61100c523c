//! The endpoints in service, as the platform's registry tells of them.

use gypsumchute_units::{BootMs, EndpointId, ServiceId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long an endpoint stays in doubt whose entry vanished while the registry was unreliable.
///
/// Entries that lapsed while the registry was away are back about 2 s after its return; what a
/// leaving endpoint gets must end 2 s after its entry went.
const DOUBT_MS: u64 = 1_500;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It ends soon and must get nothing new.
    Leaving,
    /// Its entry vanished around an outage of the registry: only where nothing else is left.
    InDoubt {
        /// When it counts as gone.
        until_ms: BootMs,
    },
}

/// What the registry says of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Its id.
    pub id: EndpointId,
    /// The service it is a copy of.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub leaving: bool,
    /// For how long after the entry was read it stays cold, in ms.
    pub warmup_left_ms: u64,
    /// When it started, in ms of its own wall clock, if it says so.
    pub started_wall_ms: Option<u64>,
}

/// An endpoint as requests see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its registry entry.
    pub entry: EndpointEntry,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Until when it is cold.
    pub cold_until_ms: BootMs,
}

/// All endpoints and the zones that are taken out.
#[derive(Debug, Default)]
pub struct Endpoints {
    by_id: BTreeMap<EndpointId, Endpoint>,
    zones_out: BTreeSet<ZoneId>,
}

impl Endpoints {
    /// Takes in an entry; returns whether it changed what requests may do.
    pub fn upsert(&mut self, now: BootMs, entry: EndpointEntry) -> bool {
        let state = match entry.leaving {
            true => EndpointState::Leaving,
            false => EndpointState::Ready,
        };
        let cold_until_ms = now + entry.warmup_left_ms;
        let endpoint = Endpoint { entry, state, cold_until_ms };
        let id = endpoint.entry.id.clone();
        let before = self.by_id.insert(id, endpoint.clone());
        before.is_none_or(|before| before != endpoint)
    }

    /// Takes in that an entry vanished. Around an outage of the registry (`unreliable`) that may
    /// be a lapse.
    pub fn remove(&mut self, now: BootMs, id: &EndpointId, unreliable: bool) -> bool {
        match self.by_id.get_mut(id) {
            None => false,
            Some(endpoint) if unreliable && endpoint.state == EndpointState::Ready => {
                endpoint.state = EndpointState::InDoubt { until_ms: now + DOUBT_MS };
                true
            }
            Some(_) => self.by_id.remove(id).is_some(),
        }
    }

    /// Takes in that the endpoint itself says that it leaves; returns whether that is news.
    pub fn note_leaving(&mut self, id: &EndpointId) -> bool {
        match self.by_id.get_mut(id) {
            Some(endpoint) if endpoint.state != EndpointState::Leaving => {
                endpoint.state = EndpointState::Leaving;
                true
            }
            _ => false,
        }
    }

    /// Drops endpoints whose doubt has ended without a new entry; returns them.
    pub fn expire(&mut self, now: BootMs) -> Vec<EndpointId> {
        let over = |endpoint: &Endpoint| match endpoint.state {
            EndpointState::InDoubt { until_ms } => until_ms <= now,
            EndpointState::Ready | EndpointState::Leaving => false,
        };
        let gone: Vec<_> =
            self.by_id.iter().filter(|(_, e)| over(e)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| drop(self.by_id.remove(id)));
        gone
    }

    /// Sets the zones whose endpoints must get nothing new.
    pub fn set_zones_out(&mut self, zones: BTreeSet<ZoneId>) -> bool {
        let changed = self.zones_out != zones;
        self.zones_out = zones;
        changed
    }

    /// Whether `zone` is taken out.
    pub fn zone_is_out(&self, zone: &ZoneId) -> bool {
        self.zones_out.contains(zone)
    }

    /// The endpoint called `id`.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    /// Whether `id` may get a new request now.
    pub fn takes_work(&self, id: &EndpointId) -> bool {
        self.by_id.get(id).is_some_and(|endpoint| {
            endpoint.state != EndpointState::Leaving && !self.zone_is_out(&endpoint.entry.zone)
        })
    }

    /// Whether the entry of `id` vanished and may only have lapsed.
    pub fn is_in_doubt(&self, id: &EndpointId) -> bool {
        let state = self.by_id.get(id).map(|endpoint| endpoint.state);
        matches!(state, Some(EndpointState::InDoubt { .. }))
    }

    /// Whether `id` ends soon or is gone. What runs in a zone that is taken out may stay there.
    pub fn is_leaving(&self, id: &EndpointId) -> bool {
        self.by_id.get(id).is_none_or(|endpoint| endpoint.state == EndpointState::Leaving)
    }

    /// Endpoints of `service` that may get new requests. Those in doubt are among them only if
    /// there are no others.
    pub fn candidates(&self, service: &ServiceId) -> Vec<&Endpoint> {
        let open = |endpoint: &&Endpoint| {
            endpoint.entry.service == *service && !self.zone_is_out(&endpoint.entry.zone)
        };
        let in_state = |ready: bool| {
            let fits = move |endpoint: &&Endpoint| match endpoint.state {
                EndpointState::Ready => ready,
                EndpointState::InDoubt { .. } => !ready,
                EndpointState::Leaving => false,
            };
            self.by_id.values().filter(open).filter(fits).collect::<Vec<_>>()
        };
        match in_state(true) {
            ready if ready.is_empty() => in_state(false),
            ready => ready,
        }
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_id.values()
    }
}
