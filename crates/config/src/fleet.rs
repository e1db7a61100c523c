//! The validated configuration of the whole fleet, indexed for lookups.

use crate::error::{ConfigError, ConfigErrors, SourceLocation};
use crate::keys::KeyHash;
use crate::merge::{Item, MergedConfig, merge};
use crate::schema::{
    AppRoute, Customer, Endpoint, EndpointState, FleetSettings, ModelRoute, PathRoute, Service,
    TrafficKind, Zone, ZoneState,
};
use gypsumchute_units::{CustomerId, EndpointId, KeyId, RouteId, ServiceId, ZoneId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The kind of endpoints that a route sends requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A route to model engines.
    Model(ModelRoute),
    /// A route to plain services.
    App(AppRoute),
}

/// A model route or an application route, with the settings that both kinds have in common.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Route {
    /// Kind of the route, with all settings.
    pub kind: RouteKind,
    /// Whether callers without an API key may use the route.
    pub open: bool,
    /// Customers that may use the route. Empty if all customers may.
    pub customers: BTreeSet<CustomerId>,
    /// Maximum time that a request waits for a free endpoint, in milliseconds.
    pub queue_wait_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of endpoints that one request is tried at.
    pub attempts: u32,
}

impl Route {
    /// Reports whether `customer` may use this route.
    pub fn allows(&self, customer: &CustomerId) -> bool {
        self.customers.is_empty() || self.customers.contains(customer)
    }
}

/// The owner and the id of an API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyOwner {
    /// Customer that the API key belongs to.
    pub customer: CustomerId,
    /// Id of the API key.
    pub key: KeyId,
}

/// A validated version of the configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct FleetConfig {
    /// Version number of this configuration.
    pub version: u64,
    /// Settings of the whole fleet.
    pub fleet: FleetSettings,
    /// Availability zones by id.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Customers by id.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Model and application routes by id.
    pub routes: BTreeMap<RouteId, Route>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Routes that match a host and a path prefix, by id.
    pub path_routes: BTreeMap<RouteId, PathRoute>,
    /// Endpoints by id.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Owner of each API key, by key hash.
    #[serde(skip)]
    pub key_owners: BTreeMap<KeyHash, KeyOwner>,
}

impl FleetConfig {
    /// Merges, parses and validates `files`, where `version` is the version number that the
    /// platform assigned to them.
    ///
    /// # Errors
    ///
    /// Returns all errors of the merge with their locations, or, if the files can be merged, all
    /// errors of the items. A version with any error is rejected as a whole.
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

    /// Merges, parses and validates `files`, and takes the version number from the `fleet` section.
    ///
    /// # Errors
    ///
    /// Same as [`FleetConfig::from_files`].
    pub fn from_files_with_own_version(
        files: &BTreeMap<String, String>,
    ) -> Result<Self, ConfigErrors> {
        let mut config = FleetConfig::from_files(0, files)?;
        config.version = config.fleet.version;
        Ok(config)
    }

    /// Returns the owner of the API key `key`, or `None` if the key belongs to no customer.
    pub fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.key_owners.get(&KeyHash::of(&self.fleet.key_salt, key))
    }

    /// Reports whether both `endpoint` and the zone of `endpoint` accept new requests.
    pub fn in_service(&self, endpoint: &Endpoint) -> bool {
        let zone_in =
            self.zones.get(&endpoint.zone).is_some_and(|zone| zone.state == ZoneState::In);
        zone_in && endpoint.state == EndpointState::Active
    }

    /// Returns the sum of the share weights of all zones.
    pub fn total_share_weight(&self) -> u64 {
        self.zones.values().map(|zone| u64::from(zone.share_weight)).sum()
    }
}

/// Builds a [`FleetConfig`] and collects all errors.
#[derive(Default)]
struct Builder {
    errors: Vec<ConfigError>,
    /// Endpoints by address, to detect duplicate addresses.
    addresses: BTreeMap<SocketAddr, EndpointId>,
    /// Routes by lower-case host and path prefix, to detect duplicates.
    paths: BTreeMap<(String, String), RouteId>,
}

impl Builder {
    fn build(&mut self, merged: &MergedConfig) -> FleetConfig {
        let mut config = FleetConfig::default();
        if let Some(item) = &merged.fleet {
            config.fleet = self.parse(item).unwrap_or_default();
        }
        for (zone, _) in self.parse_section::<Zone>(merged, "zones") {
            config.zones.insert(zone.id.clone(), zone);
        }
        for (customer, item) in self.parse_section::<Customer>(merged, "customers") {
            self.add_keys(&mut config, &customer, item);
            self.check_customer(&customer, item);
            config.customers.insert(customer.id.clone(), customer);
        }
        for (route, item) in self.parse_section::<ModelRoute>(merged, "model_routes") {
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
        for (route, item) in self.parse_section::<AppRoute>(merged, "app_routes") {
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
        for (service, item) in self.parse_section::<Service>(merged, "services") {
            self.check_service(&service, item);
            config.services.insert(service.id.clone(), service);
        }
        for (route, item) in self.parse_section::<PathRoute>(merged, "routes") {
            self.check_path_route(&config, &route, item);
            config.path_routes.insert(route.id.clone(), route);
        }
        for (endpoint, item) in self.parse_section::<Endpoint>(merged, "endpoints") {
            self.check_endpoint(&config, &endpoint, item);
            config.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        if !config.zones.is_empty() && config.total_share_weight() == 0 {
            let location = merged.lists["zones"][0].location.clone();
            let problem = "every zone has a `share_weight` of 0";
            self.add_error(&location, problem, "give at least one zone a `share_weight` above 0");
        }
        config
    }

    fn add_error(
        &mut self,
        location: &SourceLocation,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let location = location.clone();
        self.errors.push(ConfigError { location, problem: problem.into(), fix: fix.into() });
    }

    /// Parses `item`, or records the error and returns `None`.
    fn parse<T: DeserializeOwned>(&mut self, item: &Item) -> Option<T> {
        item.parse().map_err(|err| self.errors.push(err)).ok()
    }

    /// Parses the items of section `name`. Items with errors are recorded and left out.
    fn parse_section<'a, T: DeserializeOwned>(
        &mut self,
        merged: &'a MergedConfig,
        name: &str,
    ) -> Vec<(T, &'a Item)> {
        let items = merged.lists.get(name).map(Vec::as_slice).unwrap_or_default();
        items.iter().filter_map(|item| Some((self.parse(item)?, item))).collect()
    }

    fn add_keys(&mut self, config: &mut FleetConfig, customer: &Customer, item: &Item) {
        for (index, key) in customer.keys.iter().enumerate() {
            let owner = KeyOwner { customer: customer.id.clone(), key: key.id.clone() };
            let Some(other) = config.key_owners.insert(key.sha256, owner) else { continue };
            let location = item.location_of(&format!("keys[{index}].sha256"));
            let problem = format!(
                "key `{}` of customer `{}` has the same hash as key `{}` of customer `{}`",
                key.id, customer.id, other.key, other.customer
            );
            self.add_error(location, problem, "use a different key for each customer");
        }
    }

    fn check_customer(&mut self, customer: &Customer, item: &Item) {
        if customer.burst < gypsumchute_units::NanoTokens::ONE_REQUEST {
            let problem = format!("a burst of {} admits no request", customer.burst);
            self.add_error(item.location_of("burst"), problem, "use 1 or more");
        }
        if customer.weight == 0 {
            let problem = "a weight of 0 gives this customer no share";
            self.add_error(item.location_of("weight"), problem, "use 1 or more");
        }
    }

    fn add_route(&mut self, config: &mut FleetConfig, id: RouteId, route: Route, item: &Item) {
        for customer in &route.customers {
            if !config.customers.contains_key(customer) {
                let problem = format!("customer `{customer}` is not defined");
                self.add_error(
                    item.location_of("customers"),
                    problem,
                    "use the id of an item in `customers`",
                );
            }
        }
        if route.attempts == 0 {
            let problem = "with 0 attempts, no request is sent";
            self.add_error(item.location_of("attempts"), problem, "use 1 or more");
        }
        if config.routes.insert(id.clone(), route).is_some() {
            let problem = format!("`{id}` is both a model route and an application route");
            self.add_error(&item.location, problem, "rename one of the two");
        }
    }

    fn check_service(&mut self, service: &Service, item: &Item) {
        if !service.cold_per_s.is_finite() || service.cold_per_s < 0.0 {
            let problem = format!("{} is not a request rate", service.cold_per_s);
            self.add_error(item.location_of("cold_per_s"), problem, "use 0 or more");
        }
        let memory_tokens = service.engine.map(|engine| engine.memory_tokens);
        if memory_tokens == Some(0) {
            let location = item.location_of("engine.memory_tokens");
            self.add_error(
                location,
                "an engine without memory can't serve requests",
                "use 1 or more",
            );
        }
    }

    fn check_path_route(&mut self, config: &FleetConfig, route: &PathRoute, item: &Item) {
        let host_is_valid = !route.host.is_empty() && !route.host.contains([':', '/', ' ']);
        if !host_is_valid {
            let problem = format!("{:?} is not a host name", route.host);
            self.add_error(item.location_of("host"), problem, "use a name without port and scheme");
        }
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let problem = format!("{prefix:?} does not start and end with a slash");
            self.add_error(item.location_of("path_prefix"), problem, "write it as \"/surveys/\"");
        }
        let path = (route.host.to_ascii_lowercase(), prefix.clone());
        if let Some(other) = self.paths.insert(path, route.id.clone()) {
            let problem = format!("route `{other}` already has this host and path prefix");
            self.add_error(
                item.location_of("path_prefix"),
                problem,
                "use a different host or path prefix for each route",
            );
        }
        if route.services.iter().all(|weighted| weighted.weight == 0) {
            let problem = "no service of this route has a weight above 0";
            self.add_error(
                item.location_of("services"),
                problem,
                "add a service with a weight above 0",
            );
        }
        let is_generation_route = match route.carries {
            TrafficKind::Generations | TrafficKind::ResumableGenerations => true,
            TrafficKind::Idempotent | TrafficKind::NonIdempotent => false,
        };
        for (index, weighted) in route.services.iter().enumerate() {
            let location = item.location_of(&format!("services[{index}].service"));
            match config.services.get(&weighted.service) {
                None => {
                    let problem = format!("service `{}` is not defined", weighted.service);
                    self.add_error(location, problem, "use the id of an item in `services`");
                }
                Some(service) if is_generation_route && service.engine.is_none() => {
                    let problem =
                        format!("service `{}` has no engine to run generations", weighted.service);
                    self.add_error(location, problem, "add an `engine` to the service");
                }
                Some(_) => {}
            }
        }
        if route.max_endpoints == 0 {
            let problem = "with 0 endpoints, no request is run";
            self.add_error(item.location_of("max_endpoints"), problem, "use 1 or more");
        }
        for (index, region) in route.regions.iter().enumerate() {
            let mut zones = config.zones.values();
            if !zones.any(|zone| zone.region.as_ref() == Some(region)) {
                let location = item.location_of(&format!("regions[{index}]"));
                let problem = format!("no zone is in region `{region}`");
                self.add_error(location, problem, "use the `region` of an item in `zones`");
            }
        }
    }

    fn check_endpoint(&mut self, config: &FleetConfig, endpoint: &Endpoint, item: &Item) {
        if !config.zones.contains_key(&endpoint.zone) {
            let problem = format!("zone `{}` is not defined", endpoint.zone);
            self.add_error(item.location_of("zone"), problem, "use the id of an item in `zones`");
        }
        for (index, route) in endpoint.routes.iter().enumerate() {
            if !config.routes.contains_key(route) {
                let location = item.location_of(&format!("routes[{index}]"));
                let problem = format!("route `{route}` is not defined");
                self.add_error(
                    location,
                    problem,
                    "use the id of an item in `model_routes` or `app_routes`",
                );
            }
        }
        let service = endpoint.service.as_ref();
        if let Some(service) = service.filter(|service| !config.services.contains_key(service)) {
            let problem = format!("service `{service}` is not defined");
            self.add_error(
                item.location_of("service"),
                problem,
                "use the id of an item in `services`",
            );
        }
        let limits = [("cold_limit", endpoint.cold_limit), ("warm_limit", endpoint.warm_limit)];
        for (field, limit) in limits {
            if limit == 0 {
                let problem =
                    format!("a {field} of 0 prevents this endpoint from serving requests");
                self.add_error(item.location_of(field), problem, "use 1 or more");
            }
        }
        let previous_endpoint = self.addresses.insert(endpoint.address, endpoint.id.clone());
        if let Some(other) = previous_endpoint {
            let problem = format!("endpoint `{other}` already has this address");
            self.add_error(
                item.location_of("address"),
                problem,
                "use a different address for each endpoint",
            );
        }
    }
}
