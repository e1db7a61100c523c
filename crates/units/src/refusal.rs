//! Refusals: why a request got no answer, whether it may have run, and when to come back.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a refused or failed request may have run at an endpoint.
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
    /// No byte of the request reached an endpoint: sending it again can't run it twice.
    NotRun,
    /// Some of the request left for an endpoint: it may have run there, wholly or in part.
    MayHaveRun,
}

/// Every reason for which a request is refused or ends in an error.
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
    /// The request can't be parsed or lacks a field.
    Malformed,
    /// No key, or one that no customer holds (any more).
    UnknownKey,
    /// The key's customer may not use this route.
    KeyNotForRoute,
    /// No route of that name.
    NoSuchRoute,
    /// No generation of that id, or not this customer's.
    NoSuchGeneration,
    /// The body is larger than the route allows.
    BodyTooLarge,
    /// The customer's rate and burst are spent.
    OverRate,
    /// No VM that can be reached holds a part of the customer's rate, so nothing may be admitted.
    ShareUnavailable,
    /// Every endpoint of the route is full and the wait is over.
    NoRoom,
    /// No endpoint of the route can be reached or is in service.
    NoEndpoint,
    /// This VM has no configuration yet, or may not use it any longer.
    NoConfiguration,
    /// This VM is shutting down.
    Draining,
    /// This VM has as many requests as it bears.
    Overloaded,
    /// The control process of this VM does not answer.
    ControlUnavailable,
    /// A request with the same idempotency key is running.
    KeyInUse,
    /// A request with the same idempotency key ran, and its answer is not held.
    AlreadyRan,
    /// The idempotency key was used with another request body.
    KeyReused,
    /// The VM that keeps this idempotency key can't be reached.
    KeyOwnerUnavailable,
    /// This request brought endpoints down each time it ran.
    PoisonRequest,
    /// The endpoint was lost while it ran the request.
    EndpointLost,
    /// The endpoint did not answer in time.
    EndpointTimeout,
    /// The engine gave an answer that breaks its protocol.
    EndpointProtocol,
    /// The customer's key was withdrawn while the request was under way.
    KeyWithdrawn,
}

impl RefusalReason {
    /// The HTTP status that carries this reason.
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
            | RefusalReason::NoConfiguration
            | RefusalReason::Draining
            | RefusalReason::Overloaded
            | RefusalReason::ControlUnavailable
            | RefusalReason::KeyOwnerUnavailable
            | RefusalReason::PoisonRequest => 503,
        }
    }

    /// What happened, for the caller.
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

/// The final answer to a request that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Milliseconds after which coming back helps; `None` where it never does.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal before anything left for an endpoint, for good.
    pub fn not_run(reason: RefusalReason) -> Self {
        Refusal { reason, verdict: Verdict::NotRun, retry_after_ms: None }
    }

    /// A refusal before anything left for an endpoint, with a time to come back.
    pub fn not_run_until(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Refusal { reason, verdict: Verdict::NotRun, retry_after_ms: Some(retry_after_ms) }
    }

    /// An error after bytes have left for an endpoint.
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Refusal { reason, verdict: Verdict::MayHaveRun, retry_after_ms: None }
    }
}
