//! Refusals: why a request failed, whether it may have run, and when the caller may retry.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether an endpoint may have run a refused or failed request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint received any byte of the request, so a retry can't run it twice.
    NotRun,
    /// At least a part of the request was sent to an endpoint, which may have run all or some of
    /// it.
    MayHaveRun,
}

/// The reason for which a request is refused or ends in an error.
///
/// The name in snake case is the error code that callers receive.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request can't be parsed or a required field is missing.
    Malformed,
    /// The request has no API key, or the key belongs to no customer (it may have been revoked).
    UnknownKey,
    /// The customer of the API key may not use this route.
    KeyNotForRoute,
    /// No route has the requested name.
    NoSuchRoute,
    /// No generation has the requested id, or it belongs to another customer.
    NoSuchGeneration,
    /// The request body is larger than the route allows.
    BodyTooLarge,
    /// The customer exceeded the rate limit and used up the burst.
    OverRate,
    /// No reachable VM holds a share of the customer's rate, so no request can be admitted.
    ShareUnavailable,
    /// Every endpoint of the route stayed full until the queue timeout.
    NoRoom,
    /// No endpoint of the route is reachable and in service.
    NoEndpoint,
    /// Endpoints of the route are in service, but connections to them failed.
    NoReachableEndpoint,
    /// The request resumes a stream, and the software version that began it is not known.
    UnknownStream,
    /// This VM has no configuration yet, or the configuration is too stale to be used.
    NoConfiguration,
    /// This VM is shutting down.
    Draining,
    /// This VM has reached the maximum number of concurrent requests.
    Overloaded,
    /// The control process of this VM does not respond.
    ControlUnavailable,
    /// A request with the same idempotency key is still running.
    KeyInUse,
    /// A request with the same idempotency key has run, and the response is no longer stored.
    AlreadyRan,
    /// The idempotency key was already used with a different request body.
    KeyReused,
    /// The VM that owns the record of this idempotency key can't be reached.
    KeyOwnerUnavailable,
    /// The request is a poison request: endpoints crashed each time they ran it.
    PoisonRequest,
    /// The connection to the endpoint was lost, or the endpoint went down, during the request.
    EndpointLost,
    /// The endpoint did not respond before the deadline.
    EndpointTimeout,
    /// The response of the endpoint violates the engine protocol.
    EndpointProtocol,
    /// The customer's API key was revoked while the request was in flight.
    KeyWithdrawn,
}

impl RefusalReason {
    /// Returns the HTTP status code of responses with this reason.
    pub fn http_status(self) -> u16 {
        match self {
            RefusalReason::Malformed => 400,
            RefusalReason::UnknownKey | RefusalReason::KeyWithdrawn => 401,
            RefusalReason::KeyNotForRoute => 403,
            RefusalReason::NoSuchRoute | RefusalReason::NoSuchGeneration => 404,
            RefusalReason::KeyInUse | RefusalReason::AlreadyRan => 409,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::KeyReused => 422,
            RefusalReason::OverRate => 429,
            RefusalReason::EndpointLost | RefusalReason::EndpointProtocol => 502,
            RefusalReason::EndpointTimeout => 504,
            RefusalReason::ShareUnavailable
            | RefusalReason::NoRoom
            | RefusalReason::NoEndpoint
            | RefusalReason::NoReachableEndpoint
            | RefusalReason::UnknownStream
            | RefusalReason::NoConfiguration
            | RefusalReason::Draining
            | RefusalReason::Overloaded
            | RefusalReason::ControlUnavailable
            | RefusalReason::KeyOwnerUnavailable
            | RefusalReason::PoisonRequest => 503,
        }
    }

    /// Returns the error message that is sent to the caller.
    pub fn message(self) -> &'static str {
        match self {
            RefusalReason::Malformed => "the request is malformed",
            RefusalReason::UnknownKey => {
                "no customer holds this key; send `Authorization: Bearer KEY`"
            }
            RefusalReason::KeyNotForRoute => "this key's customer may not use this route",
            RefusalReason::NoSuchRoute => "no route has this name",
            RefusalReason::NoSuchGeneration => "no generation of this customer has this id",
            RefusalReason::BodyTooLarge => "the body is larger than this route allows",
            RefusalReason::OverRate => "the customer's rate and burst are spent",
            RefusalReason::ShareUnavailable => {
                "the customer's rate can't be counted here at the moment"
            }
            RefusalReason::NoRoom => "every endpoint of this route is full",
            RefusalReason::NoEndpoint => "no endpoint of this route is in service here",
            RefusalReason::NoReachableEndpoint => "no endpoint of this route can be reached",
            RefusalReason::UnknownStream => {
                "the stream can't be resumed: the software version that began it is not known"
            }
            RefusalReason::NoConfiguration => "this VM has no configuration in force",
            RefusalReason::Draining => "this VM is shutting down; another one will answer",
            RefusalReason::Overloaded => "this VM has as many requests as it bears",
            RefusalReason::ControlUnavailable => "this VM's control process does not answer",
            RefusalReason::KeyInUse => "a request with this idempotency key is running",
            RefusalReason::AlreadyRan => {
                "a request with this idempotency key ran before; its answer is not held any more"
            }
            RefusalReason::KeyReused => "this idempotency key belongs to another request body",
            RefusalReason::KeyOwnerUnavailable => {
                "the VM that keeps this idempotency key can't be reached"
            }
            RefusalReason::PoisonRequest => "this request brought down the endpoints that ran it",
            RefusalReason::EndpointLost => "the endpoint was lost while it ran the request",
            RefusalReason::EndpointTimeout => "the endpoint did not answer in time",
            RefusalReason::EndpointProtocol => "the endpoint's answer breaks its protocol",
            RefusalReason::KeyWithdrawn => "the key was withdrawn",
        }
    }
}

/// The final error response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether an endpoint may have run the request.
    pub verdict: Verdict,
    /// Delay after which a retry can succeed, in milliseconds. `None` if retrying does not help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that was not sent to any endpoint, without a retry delay.
    pub fn not_run(reason: RefusalReason) -> Self {
        Refusal { reason, verdict: Verdict::NotRun, retry_after_ms: None }
    }

    /// Creates a refusal of a request that was not sent to any endpoint, with a delay in
    /// milliseconds after which the caller may retry.
    pub fn not_run_retry_after(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Refusal { reason, verdict: Verdict::NotRun, retry_after_ms: Some(retry_after_ms) }
    }

    /// Creates a refusal of a request of which at least a part was sent to an endpoint, without a
    /// retry delay.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Refusal { reason, verdict: Verdict::MayHaveRun, retry_after_ms: None }
    }

    /// Returns the refusal with the verdict that is true of a request that `may_have_run`. The caller is
    /// not asked to retry such a request.
    pub fn corrected(self, may_have_run: bool) -> Self {
        match self.verdict {
            Verdict::NotRun if may_have_run => Refusal::may_have_run(self.reason),
            Verdict::NotRun | Verdict::MayHaveRun => self,
        }
    }

    /// Returns the HTTP status code of the response. A status that promises that the request has not
    /// run is replaced by 502 if it may have run.
    pub fn http_status(self) -> u16 {
        match (self.verdict, self.reason.http_status()) {
            (Verdict::MayHaveRun, status) if promises_not_run(status) => 502,
            (_, status) => status,
        }
    }
}

/// Reports whether the HTTP status code `status` promises to callers that the request has not run,
/// and will not run.
pub fn promises_not_run(status: u16) -> bool {
    [429, 503].contains(&status)
}
