//! Inputs and outputs of the node: events, actions and the types that they carry.

use crate::vm_list::VmList;
use gypsumchute_config::FleetConfig;
use gypsumchute_proto::peer::PeerFrame;
use gypsumchute_units::{
    BootMs, CustomerId, EndpointId, Refusal, RefusalReason, RouteId, Verdict, VmId,
};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a request: the connection of its entry process and the number that the entry process
/// assigned to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Connection of the entry process to the control process.
    pub entry: u64,
    /// Number of the request on that connection.
    pub request: u64,
}

/// API key sent by a caller. The `Debug` output hides the key, because it must not appear in logs.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct ApiKey(pub String);

impl ApiKey {
    /// Reports whether the caller sent no key.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_empty() { "none" } else { "hidden" })
    }
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Starts a generation at a model engine.
    Generation,
    /// Calls a plain service.
    Application,
    /// Resumes the stream of a generation that is running or has finished.
    Resume,
}

/// A request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmitRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// API key of the caller; empty if none was sent.
    pub api_key: ApiKey,
    /// Name of the route that the caller requested.
    pub route: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// HTTP method of an application call.
    pub method: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the output that the caller requested, in tokens; 0 for the limit of the
    /// route.
    pub max_tokens: u32,
    /// Hash of route and body. A request that is sent again has the same fingerprint.
    pub fingerprint: u64,
    /// Hash of the start of the prompt; 0 if there is none.
    pub prefix_hash: u64,
    /// Idempotency key of the caller; empty if none was sent.
    pub idempotency_key: String,
    /// Size of the request body, in bytes.
    pub body_bytes: u64,
    /// Endpoint that holds the generation to resume; empty for other kinds of requests.
    pub endpoint: String,
}

/// A request for another endpoint, after the first one was lost before any byte of the answer
/// reached the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Whether the endpoint crashed while it was running the request.
    pub crashed: bool,
    /// Whether the endpoint is certainly not running the request. If it did not crash, this means
    /// that the request was not sent or that the endpoint rejected it without running it.
    pub stopped: bool,
}

/// Report that a request has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Length of the output, in tokens.
    pub tokens: u32,
    /// Whether the endpoint has certainly stopped running the request.
    pub stopped: bool,
    /// Whether no byte of the request reached an endpoint.
    pub not_run: bool,
    /// Whether the endpoint crashed while it was running the request.
    pub crashed: bool,
    /// Answer to store with the idempotency key, if the answer was received completely.
    pub answer: Option<StoredAnswer>,
}

/// An answer that is stored with its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u32,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body; empty if the body is too large to store, in which case
    /// [`StoredAnswer::is_complete`] is false.
    pub body: Vec<u8>,
    /// Whether `body` is complete.
    pub is_complete: bool,
}

/// Permission to send one request to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Key of the request.
    pub key: RequestKey,
    /// Customer to which the request is attributed.
    pub customer: CustomerId,
    /// Endpoint to send the request to.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time before which the first byte must be sent, on the clock of this VM.
    pub use_until_ms: BootMs,
    /// Deadline for the answer of the endpoint, on the clock of this VM.
    pub answer_by_ms: BootMs,
    /// Whether the request may be sent to a second endpoint if the first one is lost.
    pub repeatable: bool,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u32,
}

/// Load report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Earliest time at which the endpoint can have taken the figures, on the clock of this VM.
    pub taken_ms: BootMs,
    /// Number of requests that are running or queued at the endpoint.
    pub in_flight: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// Maximum number of concurrent requests in cold start, if the endpoint reports it.
    pub cold_limit: Option<u32>,
    /// Hash of the loaded model, adapter and version ([`crate::model_hash`]).
    pub loaded_hash: u64,
}

/// An order to an endpoint to load a model version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOrder {
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Version of the configuration that the order follows from.
    pub config_version: u64,
    /// Model, adapter and version to load.
    pub model_version: String,
    /// Time before which the order must be sent, on the clock of this VM.
    pub use_until_ms: BootMs,
}

/// An input of the node.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived from another VM.
    Peer(PeerFrame),
    /// An entry process requests admission of a request.
    Admit(AdmitRequest),
    /// An entry process reports a request that started before this control process did.
    Adopt(AdmitRequest, CustomerId),
    /// A request needs another endpoint.
    Retry(RetryRequest),
    /// A request has ended.
    Finished(FinishedRequest),
    /// The connection of an entry process ([`RequestKey::entry`]) was lost.
    EntryDisconnected(u64),
    /// A version of the configuration was read and is valid.
    Config(Arc<FleetConfig>),
    /// A version of the configuration was read and is invalid.
    ConfigRefused(u64),
    /// The platform confirmed that this version of the configuration is the latest.
    ConfigConfirmed(u64),
    /// A version of the VM list was read.
    VmList(VmList),
    /// An endpoint reported its load; `None` if it could not be reached.
    LoadReported(EndpointId, Option<LoadReport>),
    /// An endpoint answered an order: whether the order was executed.
    OrderDone(EndpointId, bool),
    /// This VM starts a graceful shutdown.
    Drain,
}

/// An output of the node, to be carried out by the control process.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram to another VM.
    Send {
        /// Receiving VM.
        to: VmId,
        /// Address of the receiving VM.
        address: SocketAddr,
        /// Message to send.
        frame: PeerFrame,
    },
    /// Tell the entry process that a request is granted.
    Granted(Grant),
    /// Tell the entry process that a request is refused. This is the final answer.
    Refused(RequestKey, Refusal),
    /// Send the entry process the stored answer to an earlier request with the same idempotency
    /// key.
    Replay(RequestKey, StoredAnswer),
    /// Tell the entry process to stop a running request.
    Stop(RequestKey, RefusalReason),
    /// Fetch the configuration from another VM, which has a newer one.
    FetchConfig(SocketAddr),
    /// Fetch the VM list from another VM, which has a newer one.
    FetchVmList(SocketAddr),
    /// Start reading the platform (true), or stop reading it (false).
    ReadPlatform(bool),
    /// Poll the load of exactly these endpoints from now on.
    PollLoad(Vec<(EndpointId, SocketAddr)>),
    /// Send an order to an endpoint.
    Order(ModelOrder),
    /// Increment a counter.
    Count(Counter),
}

/// Counters that the node increments.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// A request was admitted on this route.
    Admitted(RouteId),
    /// The rate of this customer was charged for a request.
    Charged(CustomerId),
    /// A charge to this customer was refunded, because the request did not run.
    Refunded(CustomerId),
    /// A request was refused.
    Refused(RefusalReason, Verdict),
    /// A request was sent to another endpoint.
    Retried(RetryReason),
}

/// Reason for which a request is sent to another endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The request was not sent, or the endpoint rejected it without running it.
    NotSent,
    /// The endpoint was lost, and the request is repeatable.
    EndpointLost,
    /// The endpoint crashed while it was running the request.
    EndpointCrashed,
}
