//! Routing table: routes by host and longest path prefix, the services that they refer to, and the
//! customers of API keys.

use gypsumchute_config::KeyHash;
use gypsumchute_units::{CustomerId, RegionId, RouteId, ServiceId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

/// Zone id that no endpoint uses.
const NONEXISTENT_ZONE: &str = "-none-";

/// Version number of a configuration. Version numbers only increase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Priority of a request. 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Type of the requests on a route, which determines whether they may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Plain requests that may be executed any number of times.
    Idempotent,
    /// Plain requests that may be executed only once.
    NonIdempotent,
    /// Generations whose tokens are streamed.
    Generation {
        /// Whether an interrupted generation may be continued by a new run on another endpoint.
        resumable: bool,
    },
}

/// A service and its weight in the distribution of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route and the rules for its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Id of the route.
    pub id: RouteId,
    /// Type of the requests.
    pub kind: RouteKind,
    /// Maximum time until the response is complete, in milliseconds.
    pub response_timeout_ms: u64,
    /// Latency target in milliseconds: the time within which a response, or the first event of a
    /// stream, has its full value.
    pub latency_target_ms: u64,
    /// Latency target between two events of a stream, in milliseconds: the longest pause that does
    /// not reduce the value of the stream.
    pub inter_event_target_ms: u64,
    /// Priority of requests whose customer has no priority.
    pub priority: Priority,
    /// Maximum number of endpoints that may run the same request.
    pub max_endpoints: u32,
    /// Whether callers may use the route without an API key.
    pub allows_anonymous: bool,
    /// Services that the requests are distributed over.
    pub services: Vec<WeightedService>,
    /// Regions in which the requests may run. An empty set allows all regions.
    pub regions: BTreeSet<RegionId>,
}

impl Route {
    /// Returns the zones in which the requests may run. An empty set allows all zones.
    ///
    /// If the route is limited to regions that have no zone in `regions`, the result is one zone
    /// that no endpoint is in, because an empty set would allow all zones.
    pub fn allowed_zones(&self, regions: &BTreeMap<ZoneId, RegionId>) -> BTreeSet<ZoneId> {
        let permitted = regions.iter().filter(|(_, region)| self.regions.contains(*region));
        let zones: BTreeSet<ZoneId> = permitted.map(|(zone, _)| zone.clone()).collect();
        match zones.is_empty() && !self.regions.is_empty() {
            true => ZoneId::from_str(NONEXISTENT_ZONE).into_iter().collect(),
            false => zones,
        }
    }

    /// Chooses the service for a request by weight. `random_value` must be uniformly distributed
    /// over requests. Returns `None` if the weights add up to zero.
    pub fn choose_service(&self, random_value: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut remainder = random_value.checked_rem(total)?;
        for weighted in &self.services {
            match remainder.checked_sub(u64::from(weighted.weight)) {
                Some(rest) => remainder = rest,
                None => return Some(&weighted.service),
            }
        }
        None
    }
}

/// Capacity and capabilities of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineProperties {
    /// KV cache capacity for running generations and cached prefixes, in tokens.
    pub kv_cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Whether the KV cache of a running generation can be copied to another engine.
    pub supports_kv_copy: bool,
    /// Whether the KV cache of a running generation can be replicated to another engine while it
    /// grows.
    pub supports_kv_backup: bool,
}

/// A service, which is either a plain service or a group of model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Id of the service.
    pub id: ServiceId,
    /// Request rate that one endpoint sustains during a cold start, per second. Zero if the service
    /// has no cold start.
    pub cold_start_rate_per_s: f64,
    /// Properties of the engines. `None` for a plain service.
    pub engine: Option<EngineProperties>,
}

/// A customer, as far as routing is concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Id of the customer.
    pub id: CustomerId,
    /// Priority of all requests of the customer, which overrides the route's priority.
    pub priority: Option<Priority>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum time that an idle connection stays open, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration, in the form used to match requests.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on callers, if the configuration sets any.
    pub ingress_limits: Option<IngressLimits>,
    /// Whether routes that do not allow anonymous callers require an API key.
    pub requires_api_key: bool,
    /// Salt that is included in every key hash.
    pub key_salt: String,
    /// Region of each zone for which the configuration sets one.
    pub zone_regions: BTreeMap<ZoneId, RegionId>,
    /// Routes by host in lower case and by path prefix.
    routes: BTreeMap<String, BTreeMap<String, Route>>,
    keys: BTreeMap<KeyHash, Customer>,
}

impl RoutingTable {
    /// Adds a route for the paths of `host` that begin with `prefix`.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        let host_routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        host_routes.insert(prefix.to_owned(), route);
    }

    /// Assigns the API key with this hash to `customer`.
    pub fn add_key(&mut self, key: KeyHash, customer: Customer) {
        self.keys.insert(key, customer);
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Prefixes begin and end with a slash, so that a prefix can only match up to a slash in
    /// `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let host_routes = self.routes.get(&host)?;
        let mut slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.find_map(|(slash, _)| host_routes.get(&path[..=slash]))
    }

    /// Returns the customer that the API key belongs to.
    pub fn customer_of_key(&self, key: &str) -> Option<&Customer> {
        self.keys.get(&KeyHash::of(&self.key_salt, key))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flat_map(BTreeMap::values)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}
