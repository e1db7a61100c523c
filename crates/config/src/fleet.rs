//! The checked configuration of the whole fleet, in the form that the decisions use.

use crate::error::{ConfigError, ConfigErrors, Place};
use crate::keys::KeyHash;
use crate::merge::{Item, Merged, merge};
use crate::schema::{
    AppRoute, Carries, Customer, Endpoint, EndpointState, Fleet, ModelRoute, PathRoute, Service,
    Zone, ZoneState,
};
use gypsumchute_units::{CustomerId, EndpointId, KeyId, RouteId, ServiceId, ZoneId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a route leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model engines.
    Model(ModelRoute),
    /// Plain services.
    App(AppRoute),
}

/// A route of either kind, with what both have in common.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Route {
    /// What it leads to.
    pub kind: RouteKind,
    /// Open to callers without a key.
    pub open: bool,
    /// The customers that may use it; none means all.
    pub customers: BTreeSet<CustomerId>,
    /// Longest wait for room at an endpoint.
    pub queue_wait_ms: u64,
    /// Largest request body.
    pub max_body_bytes: u64,
    /// Endpoints that one request may be tried at.
    pub attempts: u32,
}

impl Route {
    /// Whether `customer` may use this route.
    pub fn allows(&self, customer: &CustomerId) -> bool {
        self.customers.is_empty() || self.customers.contains(customer)
    }
}

/// Whose key it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyHolder {
    /// The customer.
    pub customer: CustomerId,
    /// The key's name.
    pub key: KeyId,
}

/// One accepted version of the configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct FleetConfig {
    /// The number of this version.
    pub version: u64,
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Availability zones.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Customers.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Model and application routes.
    pub routes: BTreeMap<RouteId, Route>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Routes by host and path.
    pub path_routes: BTreeMap<RouteId, PathRoute>,
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Whose each key is.
    #[serde(skip)]
    pub keys: BTreeMap<KeyHash, KeyHolder>,
}

impl FleetConfig {
    /// Merges, types and checks `files`; `version` is the platform's number for them.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, each with its place: the version is refused whole.
    pub fn from_files(
        version: u64,
        files: &BTreeMap<String, String>,
    ) -> Result<Self, ConfigErrors> {
        let merged = merge(files).map_err(ConfigErrors::Invalid)?;
        let mut builder = Builder::default();
        let mut config = builder.build(&merged);
        config.version = version;
        match builder.errors.is_empty() {
            true => Ok(config),
            false => {
                builder.errors.sort();
                Err(ConfigErrors::Invalid(builder.errors))
            }
        }
    }

    /// Merges, types and checks `files`, which tell their version themselves.
    ///
    /// # Errors
    ///
    /// As [`FleetConfig::from_files`].
    pub fn from_folder_files(files: &BTreeMap<String, String>) -> Result<Self, ConfigErrors> {
        let mut config = FleetConfig::from_files(0, files)?;
        config.version = config.fleet.version;
        Ok(config)
    }

    /// The holder of `key`, if a customer holds it.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.get(&KeyHash::of(&self.fleet.key_salt, key))
    }

    /// Whether `endpoint` may receive new work, and so does its zone.
    pub fn in_service(&self, endpoint: &Endpoint) -> bool {
        let zone_in =
            self.zones.get(&endpoint.zone).is_some_and(|zone| zone.state == ZoneState::In);
        zone_in && endpoint.state == EndpointState::Active
    }

    /// The sum of all zones' share weights.
    pub fn total_share_weight(&self) -> u64 {
        self.zones.values().map(|zone| u64::from(zone.share_weight)).sum()
    }
}

#[derive(Default)]
struct Builder {
    errors: Vec<ConfigError>,
    addresses: BTreeMap<SocketAddr, EndpointId>,
    paths: BTreeMap<(String, String), RouteId>,
}

impl Builder {
    fn build(&mut self, merged: &Merged) -> FleetConfig {
        let mut config = FleetConfig::default();
        if let Some(item) = &merged.fleet {
            config.fleet = self.parse(item).unwrap_or_default();
        }
        for (zone, _) in self.section::<Zone>(merged, "zones") {
            config.zones.insert(zone.id.clone(), zone);
        }
        for (customer, item) in self.section::<Customer>(merged, "customers") {
            self.add_keys(&mut config, &customer, item);
            self.check_customer(&customer, item);
            config.customers.insert(customer.id.clone(), customer);
        }
        for (route, item) in self.section::<ModelRoute>(merged, "model_routes") {
            let id = route.id.clone();
            let route = Route {
                open: route.open,
                customers: route.customers.iter().cloned().collect(),
                queue_wait_ms: route.queue_wait_ms,
                max_body_bytes: route.max_body_bytes,
                attempts: route.attempts,
                kind: RouteKind::Model(route),
            };
            self.add_route(&mut config, id, route, item);
        }
        for (route, item) in self.section::<AppRoute>(merged, "app_routes") {
            let id = route.id.clone();
            let route = Route {
                open: route.open,
                customers: route.customers.iter().cloned().collect(),
                queue_wait_ms: route.queue_wait_ms,
                max_body_bytes: route.max_body_bytes,
                attempts: route.attempts,
                kind: RouteKind::App(route),
            };
            self.add_route(&mut config, id, route, item);
        }
        for (service, item) in self.section::<Service>(merged, "services") {
            self.check_service(&service, item);
            config.services.insert(service.id.clone(), service);
        }
        for (route, item) in self.section::<PathRoute>(merged, "routes") {
            self.check_path_route(&config, &route, item);
            config.path_routes.insert(route.id.clone(), route);
        }
        for (endpoint, item) in self.section::<Endpoint>(merged, "endpoints") {
            self.check_endpoint(&config, &endpoint, item);
            config.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        if !config.zones.is_empty() && config.total_share_weight() == 0 {
            let place = merged.lists["zones"][0].place.clone();
            let problem = "no zone has a share of the customers' rates";
            self.report(&place, problem, "give at least one zone a `share_weight` above 0");
        }
        config
    }

    fn report(&mut self, place: &Place, problem: impl Into<String>, fix: impl Into<String>) {
        let place = place.clone();
        self.errors.push(ConfigError { place, problem: problem.into(), fix: fix.into() });
    }

    fn parse<T: DeserializeOwned>(&mut self, item: &Item) -> Option<T> {
        item.parse().map_err(|err| self.errors.push(err)).ok()
    }

    fn section<'a, T: DeserializeOwned>(
        &mut self,
        merged: &'a Merged,
        name: &str,
    ) -> Vec<(T, &'a Item)> {
        let items = merged.lists.get(name).map(Vec::as_slice).unwrap_or_default();
        items.iter().filter_map(|item| Some((self.parse(item)?, item))).collect()
    }

    fn add_keys(&mut self, config: &mut FleetConfig, customer: &Customer, item: &Item) {
        for (index, key) in customer.keys.iter().enumerate() {
            let holder = KeyHolder { customer: customer.id.clone(), key: key.id.clone() };
            let Some(other) = config.keys.insert(key.sha256, holder) else { continue };
            let place = item.place_of(&format!("keys[{index}].sha256"));
            let problem = format!(
                "key `{}` of customer `{}` is also key `{}` of customer `{}`",
                key.id, customer.id, other.key, other.customer
            );
            self.report(place, problem, "give each customer a key of its own");
        }
    }

    fn check_customer(&mut self, customer: &Customer, item: &Item) {
        if customer.burst < gypsumchute_units::NanoTokens::ONE_REQUEST {
            let problem = format!("a burst of {} admits no request", customer.burst);
            self.report(item.place_of("burst"), problem, "write 1 or more");
        }
        if customer.weight == 0 {
            let problem = "a weight of 0 gives this customer no share";
            self.report(item.place_of("weight"), problem, "write 1 or more");
        }
    }

    fn add_route(&mut self, config: &mut FleetConfig, id: RouteId, route: Route, item: &Item) {
        for customer in &route.customers {
            if !config.customers.contains_key(customer) {
                let problem = format!("no customer is called `{customer}`");
                self.report(item.place_of("customers"), problem, "name one of `customers`");
            }
        }
        if route.attempts == 0 {
            let problem = "0 attempts never send a request";
            self.report(item.place_of("attempts"), problem, "write 1 or more");
        }
        if config.routes.insert(id.clone(), route).is_some() {
            let problem = format!("`{id}` is a model route and an application route");
            self.report(&item.place, problem, "rename one of the two");
        }
    }

    fn check_service(&mut self, service: &Service, item: &Item) {
        if !service.cold_per_s.is_finite() || service.cold_per_s < 0.0 {
            let problem = format!("{} is no rate of requests", service.cold_per_s);
            self.report(item.place_of("cold_per_s"), problem, "write 0 or more");
        }
        let memory_tokens = service.engine.map(|engine| engine.memory_tokens);
        if memory_tokens == Some(0) {
            let place = item.place_of("engine.memory_tokens");
            self.report(place, "an engine without memory serves nothing", "write 1 or more");
        }
    }

    fn check_path_route(&mut self, config: &FleetConfig, route: &PathRoute, item: &Item) {
        let host_is_good = !route.host.is_empty() && !route.host.contains([':', '/', ' ']);
        if !host_is_good {
            let problem = format!("{:?} is no host name", route.host);
            self.report(item.place_of("host"), problem, "write a name without port or scheme");
        }
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let problem = format!("{prefix:?} does not begin and end with a slash");
            self.report(item.place_of("path_prefix"), problem, "write it as \"/surveys/\"");
        }
        let path = (route.host.to_ascii_lowercase(), prefix.clone());
        if let Some(other) = self.paths.insert(path, route.id.clone()) {
            let problem = format!("route `{other}` has this host and path already");
            self.report(item.place_of("path_prefix"), problem, "give each route its own path");
        }
        if route.services.iter().all(|part| part.weight == 0) {
            let problem = "no service gets any of its requests";
            self.report(item.place_of("services"), problem, "name one with a weight above 0");
        }
        let streams = match route.carries {
            Carries::Generations | Carries::ResumableGenerations => true,
            Carries::Idempotent | Carries::NonIdempotent => false,
        };
        for (index, part) in route.services.iter().enumerate() {
            let place = item.place_of(&format!("services[{index}].service"));
            match config.services.get(&part.service) {
                None => {
                    let problem = format!("no service is called `{}`", part.service);
                    self.report(place, problem, "name one of `services`");
                }
                Some(service) if streams && service.engine.is_none() => {
                    let problem = format!("`{}` has no engines for generations", part.service);
                    self.report(place, problem, "give the service an `engine`");
                }
                Some(_) => {}
            }
        }
        if route.max_endpoints == 0 {
            let problem = "0 endpoints never run a request";
            self.report(item.place_of("max_endpoints"), problem, "write 1 or more");
        }
        for (index, region) in route.regions.iter().enumerate() {
            let mut zones = config.zones.values();
            if !zones.any(|zone| zone.region.as_ref() == Some(region)) {
                let place = item.place_of(&format!("regions[{index}]"));
                let problem = format!("no zone lies in region `{region}`");
                self.report(place, problem, "name the `region` of one of `zones`");
            }
        }
    }

    fn check_endpoint(&mut self, config: &FleetConfig, endpoint: &Endpoint, item: &Item) {
        if !config.zones.contains_key(&endpoint.zone) {
            let problem = format!("no zone is called `{}`", endpoint.zone);
            self.report(item.place_of("zone"), problem, "name one of `zones`");
        }
        for (index, route) in endpoint.routes.iter().enumerate() {
            if !config.routes.contains_key(route) {
                let place = item.place_of(&format!("routes[{index}]"));
                let problem = format!("no route is called `{route}`");
                self.report(place, problem, "name one of `model_routes` or `app_routes`");
            }
        }
        let service = endpoint.service.as_ref();
        if let Some(service) = service.filter(|service| !config.services.contains_key(service)) {
            let problem = format!("no service is called `{service}`");
            self.report(item.place_of("service"), problem, "name one of `services`");
        }
        let limits = [("cold_limit", endpoint.cold_limit), ("warm_limit", endpoint.warm_limit)];
        for (field, limit) in limits {
            if limit == 0 {
                let problem = format!("a {field} of 0 lets this endpoint serve nothing");
                self.report(item.place_of(field), problem, "write 1 or more");
            }
        }
        let same_address = self.addresses.insert(endpoint.address, endpoint.id.clone());
        if let Some(other) = same_address {
            let problem = format!("endpoint `{other}` has this address already");
            self.report(item.place_of("address"), problem, "give each endpoint its own address");
        }
    }
}
