//! Schema of the items in configuration files, such as zones, customers, routes and endpoints.
//!
//! [`FleetSettings`] is the `fleet` section. The elements of the list sections are [`Zone`],
//! [`Customer`], [`Service`], [`PathRoute`] (section `routes`), [`ModelRoute`], [`AppRoute`] and
//! [`Endpoint`]. Daemons serve the path routes; entry and control processes serve the model and
//! application routes. Most fields have a default, unknown fields are errors, and the suffix of a
//! field name, such as `_ms`, is the unit.

use crate::keys::KeyHash;
use gypsumchute_units::{
    CustomerId, EndpointId, KeyId, NanoTokens, RegionId, RequestRate, RouteId, ServiceId, ZoneId,
};
use serde::{Deserialize, Serialize};
use serde_with::{TryFromInto, serde_as};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// Policy for in-flight requests whose API key is revoked.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum KeyRevocationPolicy {
    /// The requests are aborted within seconds.
    #[default]
    Cut,
    /// The requests run to completion. New requests are refused.
    Finish,
}

/// Policy for a VM that has not reached any configuration source for
/// [`cut_off_stop_ms`](FleetSettings::cut_off_stop_ms).
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum IsolationPolicy {
    /// The VM keeps serving with the last accepted configuration.
    #[default]
    Serve,
    /// The VM refuses new requests until a configuration source is reachable again.
    Stop,
}

/// Settings of the whole fleet. At most one file may contain this section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Version number of this configuration, which operators increase with each change. If VMs have
    /// different folders, the folder with the larger number takes effect on every VM.
    pub version: u64,
    /// Size and time limits for requests of callers.
    pub callers: CallerLimits,
    /// Salt that is included in every key hash.
    pub key_salt: String,
    /// Policy for in-flight requests whose API key is revoked.
    pub key_withdrawal: KeyRevocationPolicy,
    /// Policy for a VM without a reachable configuration source.
    pub cut_off: IsolationPolicy,
    /// Time without any configuration source after which `cut_off: "stop"` takes effect, in
    /// milliseconds.
    pub cut_off_stop_ms: u64,
    /// Time that an idempotency key and the stored response are kept after the request has ended,
    /// in milliseconds.
    pub idempotency_keep_ms: u64,
    /// Time that a poison request, which has crashed endpoints, is refused, in milliseconds.
    pub poison_keep_ms: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            version: 1,
            callers: CallerLimits::default(),
            key_salt: String::new(),
            key_withdrawal: KeyRevocationPolicy::Cut,
            cut_off: IsolationPolicy::Serve,
            cut_off_stop_ms: 60_000,
            idempotency_keep_ms: 600_000,
            poison_keep_ms: 600_000,
        }
    }
}

/// Limits on the size of requests and on the time that callers may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum time that an idle connection is kept open, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// Whether the endpoints of an availability zone receive new requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ZoneState {
    /// The endpoints of the zone receive new requests.
    #[default]
    In,
    /// The endpoints of the zone receive no new requests.
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Id of the zone.
    pub id: ZoneId,
    /// Whether the endpoints of the zone receive new requests.
    #[serde(default)]
    pub state: ZoneState,
    /// Weight of the zone's share of every customer's rate and burst, relative to the other zones.
    #[serde(default = "one")]
    pub share_weight: u32,
    /// Region that the zone belongs to.
    #[serde(default)]
    pub region: Option<RegionId>,
}

/// An API key of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerKey {
    /// Id by which operators grant and revoke the key.
    pub id: KeyId,
    /// SHA-256 hash of the fleet's salt and the key, as printed by `gypsumchute hash-key`.
    pub sha256: KeyHash,
}

/// A customer with API keys and limits that apply to the whole fleet.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Id of the customer.
    pub id: CustomerId,
    /// API keys of the customer.
    #[serde(default)]
    pub keys: Vec<CustomerKey>,
    /// Rate limit over the whole fleet, in requests per second.
    #[serde_as(as = "TryFromInto<f64>")]
    pub rate_per_s: RequestRate,
    /// Capacity of the token bucket over the whole fleet, in requests.
    #[serde_as(as = "TryFromInto<f64>")]
    pub burst: NanoTokens,
    /// Weight of the customer's fair share, relative to the other customers, when endpoints are
    /// overloaded.
    #[serde(default = "one")]
    pub weight: u32,
    /// Priority of all requests of the customer, which overrides the priority of the route. 0 is
    /// the highest priority.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// A service, which is a set of interchangeable endpoints (replicas).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Id of the service.
    pub id: ServiceId,
    /// Maximum rate for one endpoint of the service during a cold start, in requests per second. 0
    /// if the endpoints have no cold start.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Properties of the model engines of the service. `None` for a plain service.
    #[serde(default)]
    pub engine: Option<EngineSpec>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Size of the KV cache for running generations and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    #[serde(default = "one")]
    pub tokens_per_event: u32,
    /// Whether the KV state of a running generation can be copied to another engine.
    #[serde(default)]
    pub copies_runs: bool,
    /// Whether the KV state of a running generation can be sent incrementally to another engine, as
    /// a backup.
    #[serde(default)]
    pub keeps_backups: bool,
}

/// The kind of requests on a route, which determines whether a request may be repeated.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TrafficKind {
    /// Plain requests that may run more than once.
    Idempotent,
    /// Plain requests that may run at most once.
    #[default]
    NonIdempotent,
    /// Generations with streamed events. Each may run at most once.
    Generations,
    /// Generations with streamed events that a second run can resume where the first run ended.
    ResumableGenerations,
}

/// A service and the weight of the service in the distribution of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Id of the service.
    pub service: ServiceId,
    /// Weight of the service, relative to the other services of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A route of the daemons, which matches a host and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathRoute {
    /// Id of the route.
    pub id: RouteId,
    /// Host name in the requests of callers, without port.
    pub host: String,
    /// Prefix of matching paths, which starts and ends with a slash. The longest matching prefix
    /// wins.
    pub path_prefix: String,
    /// Kind of requests on the route.
    #[serde(default)]
    pub carries: TrafficKind,
    /// Services that the requests are distributed to.
    pub services: Vec<WeightedService>,
    /// Maximum time until the end of a response, in milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_timeout_ms: u64,
    /// Latency target for a response, or for the first event of a stream, in milliseconds. A
    /// response within the target has full value for the caller.
    #[serde(default = "default_target_ms")]
    pub target_ms: u64,
    /// Target for the maximum pause between two events of a stream, in milliseconds. A stream
    /// within the target has full value for the caller.
    #[serde(default = "default_pause_target_ms")]
    pub pause_target_ms: u64,
    /// Priority of requests whose customer has no priority. 0 is the highest priority.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Maximum number of endpoints that may run one request.
    #[serde(default = "one")]
    pub max_endpoints: u32,
    /// Whether callers without an API key may use the route.
    #[serde(default)]
    pub open: bool,
    /// Regions in which the requests may run. Empty for all regions.
    #[serde(default)]
    pub regions: Vec<RegionId>,
}

/// A route to model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRoute {
    /// Id of the route, which callers send in the `model` field.
    pub id: RouteId,
    /// Whether callers without an API key may use the route.
    #[serde(default)]
    pub open: bool,
    /// Customers that may use the route. Empty if all customers may.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Maximum length of the output, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Maximum time that a request waits for a free endpoint, in milliseconds.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum number of endpoints that one request is tried at.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Model, adapter and version that the engines of the route must load. If empty, the engines
    /// receive no orders to load a model.
    #[serde(default)]
    pub model_version: String,
}

/// A route to plain services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppRoute {
    /// Id of the route, which is the path segment after `/apps/`.
    pub id: RouteId,
    /// Whether callers without an API key may use the route.
    #[serde(default)]
    pub open: bool,
    /// Customers that may use the route. Empty if all customers may.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// HTTP methods whose requests may be retried at another endpoint if the first endpoint is
    /// lost.
    #[serde(default = "default_repeatable_methods")]
    pub repeatable_methods: Vec<String>,
    /// Maximum time for an endpoint to respond, in milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// Maximum time that a request waits for a free endpoint, in milliseconds.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum number of endpoints that one repeatable request is tried at.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
}

/// Whether an endpoint receives new requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint receives new requests.
    #[default]
    Active,
    /// The endpoint is draining: in-flight requests finish and no new ones are sent.
    Leaving,
}

/// An endpoint, which is one replica of a model engine or of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// IP address and port on which the endpoint listens.
    pub address: SocketAddr,
    /// Model and application routes that the endpoint serves.
    #[serde(default)]
    pub routes: Vec<RouteId>,
    /// Service that the endpoint is a replica of, for routes that match a host and a path prefix.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether the endpoint receives new requests.
    #[serde(default)]
    pub state: EndpointState,
    /// Maximum number of concurrent requests during a cold start.
    #[serde(default = "one")]
    pub cold_limit: u32,
    /// Maximum number of concurrent requests after warm-up.
    #[serde(default = "default_warm_limit")]
    pub warm_limit: u32,
    /// Size of the KV cache for running generations, in tokens. 0 for a plain service.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Whether the endpoint rejects an order to load a model if the number of the order is lower
    /// than that of the last accepted order.
    #[serde(default)]
    pub checks_order_number: bool,
}

fn one() -> u32 {
    1
}

fn default_max_tokens() -> u32 {
    4_096
}

fn default_queue_wait_ms() -> u64 {
    2_000
}

fn default_max_body_bytes() -> u64 {
    1 << 20
}

fn default_attempts() -> u32 {
    3
}

fn default_answer_ms() -> u64 {
    30_000
}

fn default_target_ms() -> u64 {
    1_000
}

fn default_pause_target_ms() -> u64 {
    200
}

fn default_priority() -> u8 {
    5
}

fn default_warm_limit() -> u32 {
    16
}

fn default_repeatable_methods() -> Vec<String> {
    vec!["GET".to_owned(), "HEAD".to_owned()]
}
