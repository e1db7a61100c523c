//! What the node is told and what it wants done.

use crate::vm_list::VmList;
use gypsumchute_config::FleetConfig;
use gypsumchute_proto::peer::PeerFrame;
use gypsumchute_units::{
    BootMs, CustomerId, EndpointId, Refusal, RefusalReason, RouteId, Verdict, VmId,
};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request under way: the connection of the entry process and the entry's number for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The entry's connection to the control process.
    pub entry: u64,
    /// The entry's number for the request.
    pub request: u64,
}

/// A caller's key as it came, which no log may show.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct CallerKey(pub String);

impl CallerKey {
    /// Whether the caller sent none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_empty() { "none" } else { "hidden" })
    }
}

/// What a request wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A generation at a model engine.
    Generation,
    /// A call of a plain service.
    Application,
    /// The rest of a generation that runs or ran already.
    Resume,
}

/// A request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmitRequest {
    /// Which request.
    pub key: RequestKey,
    /// The caller's key, empty if none was sent.
    pub caller_key: CallerKey,
    /// The route named by the caller.
    pub route: String,
    /// What it wants.
    pub kind: RequestKind,
    /// The HTTP method of an application call.
    pub method: String,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Longest output that the caller wants; 0 for the route's own limit.
    pub max_tokens: u32,
    /// Hash over route and body: the same for the same request sent again.
    pub fingerprint: u64,
    /// Hash over the start of the prompt; 0 for none.
    pub prefix_hash: u64,
    /// The caller's idempotency key, empty if none was sent.
    pub idempotency_key: String,
    /// Size of the request body.
    pub body_bytes: u64,
    /// The endpoint that holds the generation to resume.
    pub endpoint: String,
}

/// A request lost its endpoint before anything reached the caller and wants another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryRequest {
    /// Which request.
    pub key: RequestKey,
    /// Whether the endpoint went down while it ran the request.
    pub crashed: bool,
    /// Whether the endpoint has certainly stopped working on it.
    pub stopped: bool,
}

/// The end of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRequest {
    /// Which request.
    pub key: RequestKey,
    /// Tokens that it produced.
    pub tokens: u32,
    /// Whether the endpoint has certainly stopped working on it.
    pub stopped: bool,
    /// Whether no byte of it reached an endpoint.
    pub not_run: bool,
    /// Whether the endpoint went down while it ran the request.
    pub crashed: bool,
    /// The answer, where it arrived whole and is to be kept for an idempotency key.
    pub answer: Option<KeptAnswer>,
}

/// An answer that is kept with its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u32,
    /// Content type.
    pub content_type: String,
    /// Body; empty where it is too large to keep, and then [`KeptAnswer::whole`] is false.
    pub body: Vec<u8>,
    /// Whether `body` is the whole answer.
    pub whole: bool,
}

/// The right to send one request to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Which request.
    pub key: RequestKey,
    /// For whom it runs.
    pub customer: CustomerId,
    /// Where to send it.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The first byte must leave before this, on this VM's clock.
    pub use_until_ms: BootMs,
    /// The endpoint must have answered by this.
    pub answer_by_ms: BootMs,
    /// Whether the request may be sent to a second endpoint when the first one is lost.
    pub repeatable: bool,
    /// Longest output.
    pub max_tokens: u32,
}

/// An endpoint's load as it reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// When the figures were true at the latest, on this VM's clock.
    pub taken_ms: BootMs,
    /// Requests running or waiting there.
    pub running: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Requests it bears in cold start, where it says so.
    pub cold_limit: Option<u32>,
    /// Hash of the model, adapter and version that it has loaded ([`crate::model_hash`]).
    pub loaded_hash: u64,
}

/// An order to an endpoint: what it shall have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version of the configuration that asks for it.
    pub number: u64,
    /// The model, adapter and version to load.
    pub model_version: String,
    /// The order must leave before this, on this VM's clock.
    pub use_until_ms: BootMs,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another VM.
    Peer(PeerFrame),
    /// A request asks to be admitted.
    Admit(AdmitRequest),
    /// A request runs since before this process started.
    Adopt(AdmitRequest, CustomerId),
    /// A request wants another endpoint.
    Retry(RetryRequest),
    /// A request has ended.
    Finished(FinishedRequest),
    /// The entry process behind a connection is gone.
    EntryGone(u64),
    /// A version of the configuration was read and found good.
    Config(Arc<FleetConfig>),
    /// A version of the configuration was read and refused.
    ConfigRefused(u64),
    /// The platform confirmed that this version of the configuration is its newest.
    ConfigConfirmed(u64),
    /// A version of the VM list was read.
    List(VmList),
    /// An endpoint reported its load, or could not be reached.
    Load(EndpointId, Option<LoadReport>),
    /// The answer to an order: whether it was carried out.
    OrderDone(EndpointId, bool),
    /// This VM shall shut down gracefully.
    Drain,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// To which VM.
        to: VmId,
        /// Where it listens.
        address: SocketAddr,
        /// What to send.
        frame: PeerFrame,
    },
    /// Tell the entry that a request may go.
    Granted(Grant),
    /// Tell the entry that a request is refused: its final answer.
    Refused(RequestKey, Refusal),
    /// Tell the entry the kept answer to an earlier request with the same idempotency key.
    Replay(RequestKey, KeptAnswer),
    /// Tell the entry to end a request that is under way.
    Stop(RequestKey, RefusalReason),
    /// Fetch the configuration from another VM, which has a newer one.
    FetchConfig(SocketAddr),
    /// Fetch the VM list from another VM, which has a newer one.
    FetchList(SocketAddr),
    /// Read the platform now, or stop reading it.
    ReadPlatform(bool),
    /// Read these endpoints' load from now on, and no others'.
    PollLoad(Vec<(EndpointId, SocketAddr)>),
    /// Give an order to an endpoint.
    Order(Order),
    /// Count something.
    Count(Counter),
}

/// What is counted, beside refusals.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// A request was admitted on this route.
    Admitted(RouteId),
    /// A customer's rate was charged for a request.
    Charged(CustomerId),
    /// A charge was taken back: the request was not run.
    Refunded(CustomerId),
    /// A request was refused.
    Refused(RefusalReason, Verdict),
    /// A request was sent to another endpoint.
    Retried(RetryReason),
}

/// Why a request goes to another endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// Nothing of it was sent.
    NotSent,
    /// The endpoint was lost, and the request may be repeated.
    EndpointLost,
    /// The endpoint went down while it ran the request.
    EndpointCrashed,
}
