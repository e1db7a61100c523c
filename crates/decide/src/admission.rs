//! State and authorization of requests.
//!
//! A request passes the checks of its API key, its route and the poison list, then is charged to
//! the rate of its customer, claims its idempotency key and obtains a permit for an endpoint. It
//! is authorized again whenever the configuration changes: a pending request is refused as soon as
//! its API key, route or customer is withdrawn, and a running one is stopped if the operator chose
//! so.

use crate::event::{AdmitRequest, RequestKey, RequestKind};
use crate::placement::HeldPermit;
use gypsumchute_config::{FleetConfig, KeyRevocationPolicy, Route, RouteKind};
use gypsumchute_units::{BootMs, CustomerId, EndpointId, Refusal, RefusalReason, RouteId};
use std::collections::{BTreeMap, BTreeSet};

/// Customer to which requests without an API key are attributed, on open routes.
pub const ANONYMOUS_CUSTOMER: &str = "anonymous";

/// Stage of processing of a request.
#[derive(Debug, Clone)]
pub(crate) enum Stage {
    /// The request waits for a token of the rate of its customer.
    Charging,
    /// The request waits for the claim of its idempotency key.
    Claiming,
    /// The request waits for a permit for an endpoint.
    Placing,
    /// The request may be running at an endpoint. It has no permit if it resumes a generation or
    /// was taken over from an earlier process.
    Running(Option<HeldPermit>),
}

/// A request that is pending or running.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) admit: AdmitRequest,
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteId,
    pub(crate) stage: Stage,
    /// Whether the request is charged to the rate of its customer.
    pub(crate) is_rate_limited: bool,
    /// Id and scope of the claim of the idempotency key.
    pub(crate) claim: Option<(u64, String)>,
    /// Endpoints that were lost in earlier attempts.
    pub(crate) exclude: BTreeSet<EndpointId>,
    pub(crate) attempts_left: u32,
    /// Whether an earlier attempt may have run the request.
    pub(crate) may_have_run: bool,
    /// Deadline for the answer of the endpoint.
    pub(crate) answer_by_ms: BootMs,
    /// Whether the entry process was told to stop the request.
    pub(crate) is_stopping: bool,
}

impl Request {
    /// Sets the verdict of `refusal` to "may have run" if an earlier attempt may have run the
    /// request.
    pub(crate) fn adjust_verdict(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => Refusal { verdict: gypsumchute_units::Verdict::MayHaveRun, ..refusal },
            false => refusal,
        }
    }

    /// Reports whether the request may be sent to a second endpoint after the first one may have
    /// run it.
    pub(crate) fn is_repeatable(&self, config: &FleetConfig) -> bool {
        match config.routes.get(&self.route).map(|route| &route.kind) {
            Some(RouteKind::App(app)) => app.repeatable_methods.contains(&self.admit.method),
            Some(RouteKind::Model(_)) => true,
            None => false,
        }
    }
}

/// Requests of all entry processes of this VM.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pub(crate) by_key: BTreeMap<RequestKey, Request>,
}

/// Customer and route of an authorized request.
#[derive(Debug, Clone)]
pub(crate) struct Authorized {
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteId,
    /// Whether the request is charged to the rate of the customer.
    pub(crate) is_rate_limited: bool,
}

/// Authorizes a request: checks the API key and the route against the configuration. Requests
/// without an API key on open routes are attributed to [`ANONYMOUS_CUSTOMER`] and not rate limited.
pub(crate) fn authorize(
    config: &FleetConfig,
    admit: &AdmitRequest,
) -> Result<Authorized, RefusalReason> {
    let holder = config.key_owner(&admit.api_key.0).map(|holder| &holder.customer);
    let anonymous =
        || ANONYMOUS_CUSTOMER.parse::<CustomerId>().map_err(|_| RefusalReason::Malformed);
    let found = find_route(config, admit);
    match (found, holder) {
        (Some((id, route)), Some(customer)) if route.open || route.allows(customer) => {
            Ok(Authorized { customer: customer.clone(), route: id.clone(), is_rate_limited: true })
        }
        (Some((id, route)), None) if route.open && admit.api_key.is_empty() => {
            Ok(Authorized { customer: anonymous()?, route: id.clone(), is_rate_limited: false })
        }
        (_, None) => Err(RefusalReason::UnknownKey),
        (Some(_), Some(_)) => Err(RefusalReason::KeyNotForRoute),
        (None, Some(_)) if admit.kind == RequestKind::Resume => {
            Err(RefusalReason::NoSuchGeneration)
        }
        (None, Some(_)) => Err(RefusalReason::NoSuchRoute),
    }
}

/// Returns the route of a request, if it exists and serves this kind of request.
fn find_route<'a>(
    config: &'a FleetConfig,
    admit: &AdmitRequest,
) -> Option<(&'a RouteId, &'a Route)> {
    let id = match admit.kind {
        RequestKind::Resume => resumed_route(config, admit)?,
        _ => admit.route.parse::<RouteId>().ok()?,
    };
    let (id, route) = config.routes.get_key_value(&id)?;
    let kind_matches = match &route.kind {
        RouteKind::Model(_) => admit.kind != RequestKind::Application,
        RouteKind::App(_) => admit.kind == RequestKind::Application,
    };
    kind_matches.then_some((id, route))
}

/// Returns the route of a generation to resume: the first model route of the endpoint that holds
/// the generation.
fn resumed_route(config: &FleetConfig, admit: &AdmitRequest) -> Option<RouteId> {
    let endpoint = admit.endpoint.parse::<EndpointId>().ok()?;
    let routes = &config.endpoints.get(&endpoint)?.routes;
    let is_model = |id: &&RouteId| {
        config.routes.get(*id).is_some_and(|route| matches!(route.kind, RouteKind::Model(_)))
    };
    routes.iter().find(is_model).cloned()
}

/// Returns the deadline for the answer of the endpoint. Only application routes have one: model
/// engines stream, and the time between their tokens is monitored instead.
pub(crate) fn answer_by_ms(config: &FleetConfig, route: &RouteId, now: BootMs) -> BootMs {
    match config.routes.get(route).map(|route| &route.kind) {
        Some(RouteKind::App(app)) => now + app.answer_ms,
        _ => BootMs(u64::MAX),
    }
}

/// Effect of a new configuration on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recheck {
    /// The request continues.
    Keep,
    /// The request is refused, or stopped if it is running.
    End(RefusalReason),
}

/// Checks a request against a new configuration.
pub(crate) fn recheck(config: &FleetConfig, request: &Request) -> Recheck {
    let running = matches!(request.stage, Stage::Running(_));
    match authorize(config, &request.admit) {
        Ok(authorized) if authorized.customer == request.customer => Recheck::Keep,
        _ if running && config.fleet.key_withdrawal == KeyRevocationPolicy::Finish => Recheck::Keep,
        Ok(_) | Err(RefusalReason::UnknownKey) => Recheck::End(RefusalReason::KeyWithdrawn),
        Err(reason) => Recheck::End(reason),
    }
}

/// Reports whether the endpoint is in service under the configuration in force.
pub(crate) fn is_in_service(config: &FleetConfig, endpoint: &EndpointId) -> bool {
    config.endpoints.get(endpoint).is_some_and(|spec| config.in_service(spec))
}
