//! The items that operators write: zones, customers, routes and endpoints.
//!
//! Each struct is one element of a list of the same name in the files. Every field but the id has
//! a default, unknown fields are errors, and a field's unit is its suffix.

use crate::keys::KeyHash;
use gypsumchute_units::{
    CustomerId, EndpointId, KeyId, NanoTokens, RegionId, RequestRate, RouteId, ServiceId, ZoneId,
};
use serde::{Deserialize, Serialize};
use serde_with::{TryFromInto, serde_as};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// What happens to requests under way when their key is withdrawn.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum KeyWithdrawal {
    /// They are stopped within seconds.
    #[default]
    Cut,
    /// They run to their end; nothing new starts.
    Finish,
}

/// What a VM does that has heard of no configuration source for `cut_off_stop_ms`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CutOff {
    /// It serves on under the last configuration it accepted.
    #[default]
    Serve,
    /// It refuses new requests until it hears of the configuration again.
    Stop,
}

/// Settings of the whole fleet; at most one file may have this section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The number of this configuration. It grows with each change: of two folders that VMs hold,
    /// the one with the larger number is in force everywhere.
    pub version: u64,
    /// What callers may send.
    pub callers: CallerLimits,
    /// Mixed into every key hash.
    pub key_salt: String,
    /// What happens to requests under way when their key is withdrawn.
    pub key_withdrawal: KeyWithdrawal,
    /// What a VM does that is cut off from the configuration.
    pub cut_off: CutOff,
    /// After how long without any configuration source `cut_off: "stop"` takes effect.
    pub cut_off_stop_ms: u64,
    /// How long an idempotency key and its answer are kept after the request ended.
    pub idempotency_keep_ms: u64,
    /// How long a request that brought endpoints down stays refused.
    pub poison_keep_ms: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            version: 1,
            callers: CallerLimits::default(),
            key_salt: String::new(),
            key_withdrawal: KeyWithdrawal::Cut,
            cut_off: CutOff::Serve,
            cut_off_stop_ms: 60_000,
            idempotency_keep_ms: 600_000,
            poison_keep_ms: 600_000,
        }
    }
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest request head.
    pub max_head_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time for a request head.
    pub head_timeout_ms: u64,
    /// Longest time that a connection stays open unused.
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

/// Whether an availability zone receives new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ZoneState {
    /// Its endpoints receive new work.
    #[default]
    In,
    /// Its endpoints receive nothing new.
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its id.
    pub id: ZoneId,
    /// Whether its endpoints receive new work.
    #[serde(default)]
    pub state: ZoneState,
    /// Its part of every customer's rate and burst, against those of the other zones.
    #[serde(default = "one")]
    pub share_weight: u32,
    /// The region it lies in.
    #[serde(default)]
    pub region: Option<RegionId>,
}

/// One key of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerKey {
    /// The name under which it is granted and withdrawn.
    pub id: KeyId,
    /// SHA-256 over the fleet's salt and the key; `gypsumchute hash-key` prints it.
    pub sha256: KeyHash,
}

/// A customer with its keys and its limits over the whole fleet.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its id.
    pub id: CustomerId,
    /// Its keys.
    #[serde(default)]
    pub keys: Vec<CustomerKey>,
    /// Requests per second over the whole fleet.
    #[serde_as(as = "TryFromInto<f64>")]
    pub rate_per_s: RequestRate,
    /// Requests that may come at once over the whole fleet.
    #[serde_as(as = "TryFromInto<f64>")]
    pub burst: NanoTokens,
    /// Its fair share against the other customers where endpoints are crowded.
    #[serde(default = "one")]
    pub weight: u32,
    /// Urgency of all its requests, in place of their routes'; 0 is the most urgent.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// A service: endpoints that are copies of each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its id.
    pub id: ServiceId,
    /// Requests a second that one of its endpoints bears in cold start; 0 if it has none.
    #[serde(default)]
    pub cold_per_s: f64,
    /// How its engines are built; none for a plain service.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// How the engines of a service are built.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Memory for running generations and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream holds.
    #[serde(default = "one")]
    pub tokens_per_event: u32,
    /// Whether a run's memory can be copied to another engine.
    #[serde(default)]
    pub copies_runs: bool,
    /// Whether a run's memory can be sent to another engine as it grows.
    #[serde(default)]
    pub keeps_backups: bool,
}

/// What a route carries and what of it may be repeated.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Carries {
    /// Plain requests that may run any number of times.
    Idempotent,
    /// Plain requests that may run once.
    #[default]
    NonIdempotent,
    /// Generations whose events are streamed; each runs once.
    Generations,
    /// Generations that another run may go on with where the first one ended.
    ResumableGenerations,
}

/// A service and its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePart {
    /// The service.
    pub service: ServiceId,
    /// Its part, against the other services of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A route by host and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathRoute {
    /// Its id.
    pub id: RouteId,
    /// The host that callers name.
    pub host: String,
    /// How its paths begin: from a slash to a slash. The longest one that fits counts.
    pub path_prefix: String,
    /// What it carries.
    #[serde(default)]
    pub carries: Carries,
    /// Where its requests go.
    pub services: Vec<ServicePart>,
    /// How long a caller may be kept waiting for the end of an answer.
    #[serde(default = "default_answer_ms")]
    pub answer_timeout_ms: u64,
    /// Within which time an answer, or the first event of a stream, is of full use.
    #[serde(default = "default_target_ms")]
    pub target_ms: u64,
    /// Longest pause between events that is of full use.
    #[serde(default = "default_pause_target_ms")]
    pub pause_target_ms: u64,
    /// Urgency, where the customer has none of its own; 0 is the most urgent.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Endpoints that may run one request.
    #[serde(default = "one")]
    pub max_endpoints: u32,
    /// Open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// Regions in which its requests may run; none named means all.
    #[serde(default)]
    pub regions: Vec<RegionId>,
}

/// A route to model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRoute {
    /// Its id, which callers name as `model`.
    pub id: RouteId,
    /// Open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// The customers that may use it; none named means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Longest output, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Longest wait for room at an endpoint.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u64,
    /// Largest request body.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Endpoints that one request may be tried at.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// The model, adapter and version that its engines shall have loaded; none gives no orders.
    #[serde(default)]
    pub model_version: String,
}

/// A route to plain services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppRoute {
    /// Its id, the first part of the path behind `/apps/`.
    pub id: RouteId,
    /// Open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// The customers that may use it; none named means all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// Methods whose requests may be sent to a second endpoint when the first one is lost.
    #[serde(default = "default_repeatable_methods")]
    pub repeatable_methods: Vec<String>,
    /// How long an endpoint may take to answer.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// Longest wait for room at an endpoint.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u64,
    /// Largest request body.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Endpoints that one repeatable request may be tried at.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
}

/// Whether an endpoint receives new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// It does.
    #[default]
    Active,
    /// It finishes what it has and receives nothing new.
    Leaving,
}

/// A back end: one replica of a model engine or of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where it listens, by IP number.
    pub address: SocketAddr,
    /// The model and application routes it serves.
    #[serde(default)]
    pub routes: Vec<RouteId>,
    /// The service it is a copy of, for routes by path.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether it receives new work.
    #[serde(default)]
    pub state: EndpointState,
    /// Requests it bears at once in cold start.
    #[serde(default = "one")]
    pub cold_limit: u32,
    /// Requests it bears at once when warm.
    #[serde(default = "default_warm_limit")]
    pub warm_limit: u32,
    /// Memory for running generations, in tokens; 0 for a service.
    #[serde(default)]
    pub memory_tokens: u64,
    /// Whether it refuses orders whose number is older than the last it took.
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
