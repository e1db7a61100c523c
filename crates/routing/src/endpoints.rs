//! Endpoints that the platform's registry reports, and which of them may receive new requests.

use crate::leaving_notices::LeavingNotices;
use crate::stream_versions::ServiceVersion;
use gypsumchute_units::{BootMs, EndpointId, ServiceId, SoftwareVersion, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time for which an endpoint stays usable after the registry entry vanished during a registry
/// outage, in milliseconds.
///
/// The time is below 2 s, because requests sent to an endpoint that is in fact shutting down must
/// end within 2 s of the removal of the entry. Entries that expired during the outage are
/// registered again about 2 s after the registry returns.
const UNCONFIRMED_TTL_MS: u64 = 1_500;

/// Lifecycle state of an endpoint, which determines whether it receives new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint receives new requests.
    Ready,
    /// The endpoint will shut down soon and must not receive new requests.
    Terminating,
    /// The registry entry vanished during a registry outage. The endpoint receives new requests
    /// only if no endpoint of the service is ready.
    Unconfirmed {
        /// Time at which the endpoint is considered gone.
        until_ms: BootMs,
    },
}

/// Registry entry of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint has announced that it will shut down.
    pub terminating: bool,
    /// Remaining duration of the cold start when the entry was read, in milliseconds.
    pub warmup_remaining_ms: u64,
    /// Start time of the endpoint in milliseconds of its own wall clock, if reported.
    pub started_wall_ms: Option<u64>,
    /// Version of the endpoint's software, if reported.
    pub version: Option<SoftwareVersion>,
}

/// An endpoint and its routing state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Registry entry of the endpoint.
    pub entry: EndpointEntry,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Time at which the cold start ends.
    pub cold_until_ms: BootMs,
    /// Service and software version of the endpoint.
    pub service_version: ServiceVersion,
}

/// All known endpoints and the set of drained zones.
#[derive(Debug, Default)]
pub struct EndpointTable {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// Number of endpoints of each service and software version.
    version_counts: BTreeMap<(ServiceId, ServiceVersion), usize>,
    drained_zones: BTreeSet<ZoneId>,
    leaving_notices: LeavingNotices,
}

impl EndpointTable {
    /// Adds or replaces an entry. An endpoint that has given notice itself stays terminating until
    /// it starts again. Returns whether the endpoint changed.
    pub fn upsert(&mut self, now: BootMs, entry: EndpointEntry) -> bool {
        self.leaving_notices.on_started(&entry.id, entry.started_wall_ms);
        let has_notice = self.leaving_notices.has_notice(&entry.id, entry.started_wall_ms);
        let state = match entry.terminating || has_notice {
            true => EndpointState::Terminating,
            false => EndpointState::Ready,
        };
        let cold_until_ms = now + entry.warmup_remaining_ms;
        let service_version = ServiceVersion::of(&entry);
        let endpoint = Endpoint { entry, state, cold_until_ms, service_version };
        let id = endpoint.entry.id.clone();
        *self.version_counts.entry(version_key(&endpoint)).or_default() += 1;
        let previous = self.by_id.insert(id, endpoint.clone());
        previous.iter().for_each(|previous| self.uncount_version(previous));
        previous.is_none_or(|previous| previous != endpoint)
    }

    /// Removes the endpoint of an entry that vanished. If `unreliable` is set, the registry has an
    /// outage and the entry may merely have expired; a ready endpoint then becomes
    /// [`Unconfirmed`](EndpointState::Unconfirmed) instead. Returns whether the endpoint changed.
    pub fn remove(&mut self, now: BootMs, id: &EndpointId, unreliable: bool) -> bool {
        match self.by_id.get_mut(id) {
            None => false,
            Some(endpoint) if unreliable && endpoint.state == EndpointState::Ready => {
                endpoint.state = EndpointState::Unconfirmed { until_ms: now + UNCONFIRMED_TTL_MS };
                true
            }
            Some(_) => {
                if !unreliable {
                    self.leaving_notices.on_removed(id);
                }
                self.discard(id)
            }
        }
    }

    /// Removes the endpoint with this id. Returns whether there was one.
    fn discard(&mut self, id: &EndpointId) -> bool {
        let removed = self.by_id.remove(id);
        removed.iter().for_each(|endpoint| self.uncount_version(endpoint));
        removed.is_some()
    }

    /// Counts one endpoint less of the version of `endpoint`.
    fn uncount_version(&mut self, endpoint: &Endpoint) {
        let key = version_key(endpoint);
        match self.version_counts.get_mut(&key) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.version_counts.remove(&key)),
        }
    }

    /// Records that the endpoint that started at `started_wall_ms` has said itself that it is
    /// leaving. Returns whether the state of a known endpoint changed.
    pub fn mark_terminating(
        &mut self,
        now: BootMs,
        id: &EndpointId,
        started_wall_ms: Option<u64>,
    ) -> bool {
        let known_start = self.by_id.get(id).and_then(|known| known.entry.started_wall_ms);
        self.leaving_notices.record(now, id, started_wall_ms.or(known_start));
        match self.by_id.get_mut(id) {
            Some(endpoint)
                if endpoint.state != EndpointState::Terminating
                    && self.leaving_notices.has_notice(id, known_start) =>
            {
                endpoint.state = EndpointState::Terminating;
                true
            }
            _ => false,
        }
    }

    /// Returns the start time that the notice of an endpoint belongs to, in milliseconds of the
    /// endpoint's own wall clock, if it has given notice and reports its starts.
    pub fn leaving_start_ms(&self, id: &EndpointId) -> Option<u64> {
        self.leaving_notices.started_wall_ms(id)
    }

    /// Returns the endpoints that have said themselves that they are leaving, as far as the notice
    /// belongs to a known start.
    pub fn leaving_by_notice(&self) -> impl Iterator<Item = &EndpointId> {
        self.leaving_notices.iter_with_start()
    }

    /// Removes unconfirmed endpoints that were not registered again in time, and returns their ids.
    pub fn expire(&mut self, now: BootMs) -> Vec<EndpointId> {
        for id in self.leaving_notices.expire(now, |id| self.by_id.contains_key(id)) {
            match self.by_id.get_mut(&id) {
                Some(endpoint) if !endpoint.entry.terminating => {
                    endpoint.state = EndpointState::Ready;
                }
                _ => {}
            }
        }
        let has_expired = |endpoint: &Endpoint| match endpoint.state {
            EndpointState::Unconfirmed { until_ms } => until_ms <= now,
            EndpointState::Ready | EndpointState::Terminating => false,
        };
        let expired: Vec<_> =
            self.by_id.iter().filter(|(_, e)| has_expired(e)).map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.discard(id);
        }
        expired
    }

    /// Sets the drained zones, whose endpoints receive no new requests. Returns whether the set
    /// changed.
    pub fn set_drained_zones(&mut self, zones: BTreeSet<ZoneId>) -> bool {
        let changed = self.drained_zones != zones;
        self.drained_zones = zones;
        changed
    }

    /// Reports whether `zone` is drained.
    pub fn is_zone_drained(&self, zone: &ZoneId) -> bool {
        self.drained_zones.contains(zone)
    }

    /// Returns the start time of a registered endpoint by its own wall clock, in milliseconds, if it
    /// reports one.
    pub fn started_wall_ms(&self, id: &EndpointId) -> Option<u64> {
        self.by_id.get(id).and_then(|endpoint| endpoint.entry.started_wall_ms)
    }

    /// Returns the endpoint with this id.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    /// Reports whether the endpoint may receive new requests.
    pub fn accepts_requests(&self, id: &EndpointId) -> bool {
        self.by_id.get(id).is_some_and(|endpoint| {
            endpoint.state != EndpointState::Terminating
                && !self.is_zone_drained(&endpoint.entry.zone)
        })
    }

    /// Reports whether the endpoint is registered and has announced no shutdown.
    pub fn is_ready(&self, id: &EndpointId) -> bool {
        self.by_id.get(id).is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// Reports whether `entry` comes from a new start of an endpoint that is already known.
    pub fn is_new_start(&self, entry: &EndpointEntry) -> bool {
        self.by_id.get(&entry.id).is_some_and(|known| {
            known.entry.started_wall_ms.is_some()
                && known.entry.started_wall_ms != entry.started_wall_ms
        })
    }

    /// Reports whether the endpoint's entry vanished but may only have expired.
    pub fn is_unconfirmed(&self, id: &EndpointId) -> bool {
        let state = self.by_id.get(id).map(|endpoint| endpoint.state);
        matches!(state, Some(EndpointState::Unconfirmed { .. }))
    }

    /// Reports whether the endpoint is shutting down or gone. Endpoints in a drained zone do not
    /// count: requests that already run on these endpoints may stay.
    pub fn is_terminating_or_gone(&self, id: &EndpointId) -> bool {
        self.by_id.get(id).is_none_or(|endpoint| endpoint.state == EndpointState::Terminating)
    }

    /// Returns the endpoints of `service`, and of `version` if given, that may receive new requests.
    /// Unconfirmed endpoints are returned only if none of these is ready.
    pub fn candidates(
        &self,
        service: &ServiceId,
        version: Option<ServiceVersion>,
    ) -> Vec<&Endpoint> {
        let is_eligible = |endpoint: &&Endpoint| {
            endpoint.entry.service == *service
                && version.is_none_or(|version| version == endpoint.service_version)
                && !self.is_zone_drained(&endpoint.entry.zone)
        };
        let in_state = |ready: bool| {
            let matches_state = move |endpoint: &&Endpoint| match endpoint.state {
                EndpointState::Ready => ready,
                EndpointState::Unconfirmed { .. } => !ready,
                EndpointState::Terminating => false,
            };
            self.by_id.values().filter(is_eligible).filter(matches_state).collect::<Vec<_>>()
        };
        match in_state(true) {
            ready if ready.is_empty() => in_state(false),
            ready => ready,
        }
    }

    /// Returns the services and software versions that are registered.
    pub fn versions(&self) -> impl Iterator<Item = &(ServiceId, ServiceVersion)> {
        self.version_counts.keys()
    }

    /// Returns the software versions of `service` that are registered.
    pub fn versions_of(&self, service: &ServiceId) -> BTreeSet<ServiceVersion> {
        let versions = self.versions().filter(|(of_service, _)| of_service == service);
        versions.map(|(_, version)| *version).collect()
    }

    /// Returns the service of a software version that is registered.
    pub fn service_of(&self, version: ServiceVersion) -> Option<ServiceId> {
        let found = self.versions().find(|(_, registered)| *registered == version);
        found.map(|(service, _)| service.clone())
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_id.values()
    }

    /// Returns the endpoints of `service` that accept new requests.
    pub fn iter_in_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.by_id.values().filter(|e| e.entry.service == *service);
        endpoints.filter(|endpoint| self.accepts_requests(&endpoint.entry.id))
    }
}

/// Returns the key under which the version of `endpoint` is counted.
fn version_key(endpoint: &Endpoint) -> (ServiceId, ServiceVersion) {
    (endpoint.entry.service.clone(), endpoint.service_version)
}
