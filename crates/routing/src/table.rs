//! Routes by host and longest path prefix, the services behind them, and whose key is whose.

use gypsumchute_config::KeyHash;
use gypsumchute_units::{CustomerId, RegionId, RouteId, ServiceId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

/// A zone that no endpoint is in.
const NO_ZONE: &str = "-none-";

/// The number of a configuration; only ever grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Urgency of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a route carries and what of it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Plain requests that may run any number of times.
    Idempotent,
    /// Plain requests that may run once.
    NonIdempotent,
    /// Generations whose tokens are streamed.
    Generation {
        /// Whether another run may go on where the first one ended.
        resumable: bool,
    },
}

/// A service and its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part, against the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its id.
    pub id: RouteId,
    /// What it carries.
    pub kind: RouteKind,
    /// How long a caller may be kept waiting for the end of the answer.
    pub answer_timeout_ms: u64,
    /// Within which time an answer, or the first event of a stream, is of full use.
    pub target_ms: u64,
    /// Longest pause between events that is of full use.
    pub pause_target_ms: u64,
    /// Urgency, where the customer has none of its own.
    pub priority: Priority,
    /// Endpoints that may run one request.
    pub max_endpoints: u32,
    /// Open to callers without a key.
    pub open: bool,
    /// Where its requests go.
    pub services: Vec<WeightedService>,
    /// Regions in which its requests may run; none named means all.
    pub regions: BTreeSet<RegionId>,
}

impl Route {
    /// The zones in which its requests may run; none means all.
    ///
    /// A route whose regions have no zone here gets one that no endpoint is in, rather than all.
    pub fn zones(&self, regions: &BTreeMap<ZoneId, RegionId>) -> BTreeSet<ZoneId> {
        let inside = regions.iter().filter(|(_, region)| self.regions.contains(*region));
        let zones: BTreeSet<ZoneId> = inside.map(|(zone, _)| zone.clone()).collect();
        match zones.is_empty() && !self.regions.is_empty() {
            true => ZoneId::from_str(NO_ZONE).into_iter().collect(),
            false => zones,
        }
    }

    /// The service for a request; `draw` is a number that is spread evenly over requests.
    pub fn service_for(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for part in &self.services {
            match left.checked_sub(u64::from(part.weight)) {
                Some(rest) => left = rest,
                None => return Some(&part.service),
            }
        }
        None
    }
}

/// How the engines of a service are built.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineShape {
    /// Memory for running generations and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
    /// Whether a run's memory can be copied to another engine.
    pub copies_runs: bool,
    /// Whether a run's memory can be sent to another engine as it grows.
    pub keeps_backups: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its id.
    pub id: ServiceId,
    /// Requests a second that one of its endpoints bears in cold start; zero if it has none.
    pub cold_per_s: f64,
    /// Set for model engines.
    pub engine: Option<EngineShape>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its id.
    pub id: CustomerId,
    /// Urgency of all its requests, in place of the route's.
    pub priority: Option<Priority>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head, in ms.
    pub head_timeout_ms: u64,
    /// Longest time that a connection stays open unused, in ms.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration, as requests are matched against it.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Its number.
    pub version: ConfigVersion,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// What callers may send, if the configuration says so.
    pub limits: Option<IngressLimits>,
    /// Whether callers must show a key on routes that are not open.
    pub needs_key: bool,
    /// Mixed into every key hash.
    pub key_salt: String,
    /// The region of each zone, where the configuration says so.
    pub zone_regions: BTreeMap<ZoneId, RegionId>,
    routes: BTreeMap<String, BTreeMap<String, Route>>,
    keys: BTreeMap<KeyHash, Customer>,
}

impl RoutingTable {
    /// Adds a route for paths of `host` that begin with `prefix`.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        let of_host = self.routes.entry(host.to_ascii_lowercase()).or_default();
        of_host.insert(prefix.to_owned(), route);
    }

    /// Gives `customer` the key with this hash.
    pub fn add_key(&mut self, key: KeyHash, customer: Customer) {
        self.keys.insert(key, customer);
    }

    /// The route of `host` whose prefix is the longest that begins `path`.
    ///
    /// Prefixes begin and end with a slash, so only those that end at a slash of `path` can match.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let of_host = self.routes.get(&host)?;
        let mut ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.find_map(|(slash, _)| of_host.get(&path[..=slash]))
    }

    /// Who holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Customer> {
        self.keys.get(&KeyHash::of(&self.key_salt, key))
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}
