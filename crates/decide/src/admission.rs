//! The way of each request: key, route, poison, rate, idempotency key, permit, and back.
//!
//! This module keeps what is known of each request and checks it anew whenever the configuration
//! changes: a request that waits is refused as soon as its key, route or customer is withdrawn,
//! and one under way is stopped where operators want that.

use crate::event::{AdmitRequest, RequestKey, RequestKind};
use crate::placement::HeldPermit;
use gypsumchute_config::{FleetConfig, KeyWithdrawal, Route, RouteKind};
use gypsumchute_units::{BootMs, CustomerId, EndpointId, Refusal, RefusalReason, RouteId};
use std::collections::{BTreeMap, BTreeSet};

/// The customer that calls of open routes without a key run for.
pub const ANONYMOUS: &str = "anonymous";

/// How far a request has come.
#[derive(Debug, Clone)]
pub(crate) enum Stage {
    /// It waits for its customer's rate.
    Rate,
    /// It waits for its idempotency key.
    Claim,
    /// It waits for room.
    Place,
    /// It may be running at an endpoint.
    Running(Option<HeldPermit>),
}

/// A request on its way.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) admit: AdmitRequest,
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteId,
    pub(crate) stage: Stage,
    pub(crate) limited: bool,
    pub(crate) claim: Option<(u64, String)>,
    pub(crate) exclude: BTreeSet<EndpointId>,
    pub(crate) attempts_left: u32,
    pub(crate) may_have_run: bool,
    pub(crate) answer_by_ms: BootMs,
    pub(crate) stopping: bool,
}

impl Request {
    /// The verdict-carrying form of a refusal of this request.
    pub(crate) fn refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => Refusal { verdict: gypsumchute_units::Verdict::MayHaveRun, ..refusal },
            false => refusal,
        }
    }

    /// Whether the request may be sent to a second endpoint after the first one may have run it.
    pub(crate) fn is_repeatable(&self, config: &FleetConfig) -> bool {
        match config.routes.get(&self.route).map(|route| &route.kind) {
            Some(RouteKind::App(app)) => app.repeatable_methods.contains(&self.admit.method),
            Some(RouteKind::Model(_)) => true,
            None => false,
        }
    }
}

/// All requests of this VM's entry processes.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    pub(crate) by_key: BTreeMap<RequestKey, Request>,
}

/// Who calls and what for, as far as the configuration tells.
#[derive(Debug, Clone)]
pub(crate) struct Entitled {
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteId,
    /// Whether the customer's rate and burst count for the call.
    pub(crate) limited: bool,
}

/// Checks a caller's key and route against the configuration.
pub(crate) fn entitle(
    config: &FleetConfig,
    admit: &AdmitRequest,
) -> Result<Entitled, RefusalReason> {
    let holder = config.holder(&admit.caller_key.0).map(|holder| &holder.customer);
    let anonymous = || ANONYMOUS.parse::<CustomerId>().map_err(|_| RefusalReason::Malformed);
    let found = find_route(config, admit);
    match (found, holder) {
        (Some((id, route)), Some(customer)) if route.open || route.allows(customer) => {
            Ok(Entitled { customer: customer.clone(), route: id.clone(), limited: true })
        }
        (Some((id, route)), None) if route.open && admit.caller_key.is_empty() => {
            Ok(Entitled { customer: anonymous()?, route: id.clone(), limited: false })
        }
        (_, None) => Err(RefusalReason::UnknownKey),
        (Some(_), Some(_)) => Err(RefusalReason::KeyNotForRoute),
        (None, Some(_)) if admit.kind == RequestKind::Resume => {
            Err(RefusalReason::NoSuchGeneration)
        }
        (None, Some(_)) => Err(RefusalReason::NoSuchRoute),
    }
}

fn find_route<'a>(
    config: &'a FleetConfig,
    admit: &AdmitRequest,
) -> Option<(&'a RouteId, &'a Route)> {
    let id = match admit.kind {
        RequestKind::Resume => resumed_route(config, admit)?,
        _ => admit.route.parse::<RouteId>().ok()?,
    };
    let (id, route) = config.routes.get_key_value(&id)?;
    let fits = match &route.kind {
        RouteKind::Model(_) => admit.kind != RequestKind::Application,
        RouteKind::App(_) => admit.kind == RequestKind::Application,
    };
    fits.then_some((id, route))
}

/// The route of a generation to resume: a model route of the endpoint that holds it.
fn resumed_route(config: &FleetConfig, admit: &AdmitRequest) -> Option<RouteId> {
    let endpoint = admit.endpoint.parse::<EndpointId>().ok()?;
    let routes = &config.endpoints.get(&endpoint)?.routes;
    let is_model = |id: &&RouteId| {
        config.routes.get(*id).is_some_and(|route| matches!(route.kind, RouteKind::Model(_)))
    };
    routes.iter().find(is_model).cloned()
}

/// When a request's endpoint must have answered: model engines stream and are watched token by
/// token, services answer at once.
pub(crate) fn answer_by_ms(config: &FleetConfig, route: &RouteId, now: BootMs) -> BootMs {
    match config.routes.get(route).map(|route| &route.kind) {
        Some(RouteKind::App(app)) => now + app.answer_ms,
        _ => BootMs(u64::MAX),
    }
}

/// What a change of the configuration does to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recheck {
    /// It goes on.
    Keep,
    /// It is refused, or stopped if it runs.
    End(RefusalReason),
}

/// Checks a request against a new configuration.
pub(crate) fn recheck(config: &FleetConfig, request: &Request) -> Recheck {
    let running = matches!(request.stage, Stage::Running(_));
    match entitle(config, &request.admit) {
        Ok(entitled) if entitled.customer == request.customer => Recheck::Keep,
        _ if running && config.fleet.key_withdrawal == KeyWithdrawal::Finish => Recheck::Keep,
        Ok(_) | Err(RefusalReason::UnknownKey) => Recheck::End(RefusalReason::KeyWithdrawn),
        Err(reason) => Recheck::End(reason),
    }
}

/// Whether a permit may still be used under the configuration in force.
pub(crate) fn may_use(config: &FleetConfig, endpoint: &EndpointId) -> bool {
    config.endpoints.get(endpoint).is_some_and(|spec| config.in_service(spec))
}
