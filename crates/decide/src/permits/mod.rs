//! Owner side of endpoint permits: admission of requests to the endpoints that this VM owns.
//!
//! Each endpoint has one owner among the members of its zone's active view. Only the owner grants
//! permits for the endpoint, so it tracks all requests there except those admitted by a former
//! owner, which it counts from the first load report that must include them. A permit may be used
//! for a bounded time from when it was requested. It ends when its holder reports the end, or when
//! the endpoint's own load reports show that the request is no longer running.

mod endpoint;
mod queue;

use self::endpoint::{OwnedEndpoint, Permit};
use self::queue::{FairQueue, MAX_QUEUE_LENGTH, QueuedAsk};
use crate::context::Context;
use crate::event::{Action, LoadReport, ModelOrder};
use crate::lengths::OutputLengths;
use crate::limits::{MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, PERMIT_VALIDITY_MS};
use crate::membership::{Activity, Succession};
use gypsumchute_config::{Endpoint, FleetConfig, RouteKind};
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{
    PermitAnswer, PermitAsk, PermitDone, PermitDoneAck, PermitEnd, RouteRoom,
};
use gypsumchute_units::rendezvous::{self, hash32};
use gypsumchute_units::{BootMs, CustomerId, EndpointId, RefusalReason, RouteId, VmId};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Cost of a prompt token, as a fraction of the cost of an output token.
const PROMPT_TOKEN_COST: f64 = 0.1;
/// Load, as a fraction of the request limit, below which an endpoint that is likely to have the
/// prompt's prefix cached is preferred.
const MAX_AFFINITY_LOAD: f64 = 0.75;
/// Minimum time between two orders with the same number to an endpoint, in milliseconds.
const ORDER_RESEND_MS: u64 = 2_000;
/// Prompt length assumed when free capacity is advertised in heartbeats.
const TYPICAL_PROMPT_TOKENS: u32 = 128;

/// State of all endpoints that this VM owns, and the queue of permit requests (asks).
#[derive(Debug)]
pub(crate) struct Permits {
    owned: BTreeMap<EndpointId, OwnedEndpoint>,
    queue: FairQueue,
    /// Output-length statistics by route.
    lengths: BTreeMap<RouteId, OutputLengths>,
    /// Next permit id. Starts at the incarnation, so that ids of earlier processes are not reused.
    next_id: u64,
    /// Whether no process of an earlier fleet is alive.
    fresh_fleet: bool,
    /// Number (the configuration version) and time of the last order to each endpoint.
    last_orders: BTreeMap<EndpointId, (u64, BootMs)>,
}

/// Returns the name under which an endpoint's owner is chosen by rendezvous hashing.
fn resource_name(endpoint: &EndpointId) -> String {
    format!("endpoint/{endpoint}")
}

/// Returns the hash under which an endpoint reports the model, adapter and version that it has
/// loaded.
pub fn model_hash(model_version: &str) -> u64 {
    rendezvous::hash64(&["model", model_version])
}

/// Returns the hash that stands for a route in heartbeats.
pub(crate) fn route_hash(route: &str) -> u32 {
    hash32(&["route", route])
}

/// Returns the output limit of a request in tokens, bounded by the route; 1 for requests that are
/// not generations.
fn output_limit(config: &FleetConfig, route: &RouteId, asked: u32) -> u32 {
    match config.routes.get(route).map(|route| &route.kind) {
        Some(RouteKind::Model(model)) if asked == 0 => model.max_tokens,
        Some(RouteKind::Model(model)) => asked.min(model.max_tokens),
        _ => 1,
    }
}

impl Permits {
    pub(crate) fn new(incarnation: u64, fresh_fleet: bool) -> Self {
        Permits {
            owned: BTreeMap::new(),
            queue: FairQueue::default(),
            lengths: BTreeMap::new(),
            next_id: incarnation,
            fresh_fleet,
            last_orders: BTreeMap::new(),
        }
    }

    /// Updates the owned endpoints after this VM's view became active or inactive. Their state is
    /// dropped if other VMs may have owned them in between.
    pub(crate) fn on_activity(&mut self, ctx: &Context<'_>, activity: Activity) {
        match activity {
            Activity::Ended | Activity::Began(Succession::Direct) => {}
            Activity::Began(_) => {
                self.owned.clear();
                self.last_orders.clear();
            }
        }
        let had_owner = !(self.fresh_fleet && activity == Activity::Began(Succession::First));
        self.refresh_owned_endpoints(ctx, had_owner);
    }

    /// Updates the set of owned endpoints from the active view and the configuration. `had_owner`
    /// tells whether a former owner may have granted permits for the endpoints that are added.
    pub(crate) fn refresh_owned_endpoints(&mut self, ctx: &Context<'_>, had_owner: bool) {
        if !ctx.membership.is_active(ctx.now) {
            return;
        }
        let in_zone = ctx.config.endpoints.iter().filter(|(_, e)| e.zone == ctx.identity.zone);
        let owned: BTreeSet<&EndpointId> = in_zone
            .map(|(id, _)| id)
            .filter(|id| ctx.membership.owns(ctx.now, &resource_name(id)))
            .collect();
        self.owned.retain(|id, _| owned.contains(id));
        for id in owned {
            if !self.owned.contains_key(id) {
                self.owned.insert(id.clone(), OwnedEndpoint::new(ctx.now, had_owner));
            }
        }
    }

    /// Returns the endpoints whose load this VM has to poll.
    pub(crate) fn endpoints_to_poll(&self, ctx: &Context<'_>) -> Vec<(EndpointId, SocketAddr)> {
        let specs = self.owned.keys().filter_map(|id| ctx.config.endpoints.get(id));
        specs.map(|spec| (spec.id.clone(), spec.address)).collect()
    }

    /// Handles an endpoint's load report, or `None` if the endpoint is unreachable.
    pub(crate) fn on_report(
        &mut self,
        ctx: &mut Context<'_>,
        id: &EndpointId,
        report: Option<LoadReport>,
    ) {
        if let Some(endpoint) = self.owned.get_mut(id) {
            endpoint.on_report(ctx.now, report);
            self.process_queue(ctx);
        }
    }

    /// Drops the permits and queued asks of a VM's terminated processes; `incarnation` is the
    /// running one, if any.
    pub(crate) fn on_vm_terminated(&mut self, now: BootMs, vm: &VmId, incarnation: Option<u64>) {
        self.owned
            .values_mut()
            .for_each(|endpoint| endpoint.remove_permits_of(now, vm, incarnation));
        let is_orphaned = |w: &QueuedAsk| w.from == *vm && Some(w.from_incarnation) != incarnation;
        self.queue.asks.retain(|queued| !is_orphaned(queued));
    }

    /// Returns the number of further requests that this VM's endpoints accept on each route, for
    /// heartbeats.
    pub(crate) fn free_slots_by_route(&self, ctx: &Context<'_>) -> Vec<RouteRoom> {
        let mut free_by_route: BTreeMap<&RouteId, u32> = BTreeMap::new();
        for (id, endpoint) in &self.owned {
            let Some(spec) = ctx.config.endpoints.get(id) else { continue };
            if !ctx.config.in_service(spec) {
                continue;
            }
            for route in &spec.routes {
                let max = output_limit(ctx.config, route, 0);
                let typical_request = (route, TYPICAL_PROMPT_TOKENS, max);
                let fits = endpoint.memory_fits(ctx.now, spec, &self.lengths, typical_request);
                let free = if fits { endpoint.free_slots(ctx.now, spec) } else { 0 };
                *free_by_route.entry(route).or_default() += free;
            }
        }
        for queued in &self.queue.asks {
            if let Some(free) = free_by_route.get_mut(&queued.route) {
                *free = free.saturating_sub(1);
            }
        }
        let rooms = free_by_route.into_iter();
        rooms.map(|(id, free)| RouteRoom { route_hash: route_hash(id.as_str()), free }).collect()
    }

    /// Returns the number of further requests accepted on `route`, or `None` if this VM owns no
    /// endpoint for it.
    fn free_slots_for(&self, ctx: &Context<'_>, route: &str) -> Option<u32> {
        let wanted = route_hash(route);
        self.free_slots_by_route(ctx)
            .iter()
            .find(|room| room.route_hash == wanted)
            .map(|room| room.free)
    }

    /// Handles a permit request of another VM or of this one. For a resent one, repeats the grant
    /// or leaves it queued; any other one is redirected, refused or queued.
    pub(crate) fn on_ask(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        from_incarnation: u64,
        ask: &PermitAsk,
    ) {
        if let Some((id, endpoint)) = self.find_permit(from, from_incarnation, ask.ask_id) {
            let answer = grant_answer(ask.ask_id, id, &endpoint, PERMIT_VALIDITY_MS);
            return ctx.send(from, Body::PermitAnswer(answer));
        }
        let is_queued = |w: &QueuedAsk| w.from == *from && w.ask_id == ask.ask_id;
        if self.queue.asks.iter().any(is_queued) {
            return;
        }
        if !ctx.membership.is_active(ctx.now) {
            return self.answer_inactive(ctx, from, ask);
        }
        if let Some(better) = self.better_owner(ctx, ask) {
            let answer = PermitAnswer {
                ask_id: ask.ask_id,
                owner_vm: better.to_string(),
                ..PermitAnswer::default()
            };
            return ctx.send(from, Body::PermitAnswer(answer));
        }
        let (Ok(route), Ok(customer)) = (ask.route.parse(), ask.customer.parse()) else { return };
        if !self.serves(ctx.config, &route) {
            return refuse(ctx, from, ask.ask_id, RefusalReason::NoEndpoint, MIN_RETRY_AFTER_MS);
        }
        let max = output_limit(ctx.config, &route, ask.max_tokens);
        let lengths =
            self.lengths.entry(RouteId::clone(&route)).or_insert_with(|| OutputLengths::new(max));
        let queued = QueuedAsk {
            from: from.clone(),
            from_incarnation,
            ask_id: ask.ask_id,
            expected_tokens: lengths.expected_remaining(0.0, f64::from(max)),
            customer,
            route,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: max,
            prefix_hash: ask.prefix_hash,
            exclude: ask.exclude.clone(),
            suspect: ask.suspect,
            waiting_since_ms: BootMs(ctx.now.0.saturating_sub(ask.waited_ms)),
            received_ms: ctx.now,
            deadline_ms: ctx.now + ask.wait_ms,
        };
        match self.queue.asks.len() >= MAX_QUEUE_LENGTH {
            true => refuse(ctx, from, ask.ask_id, RefusalReason::NoRoom, MAX_RETRY_AFTER_MS),
            false => {
                self.queue.asks.push(queued);
                self.process_queue(ctx);
            }
        }
    }

    /// Answers a permit request while this VM has no active view: redirects the asking VM to
    /// another VM of the zone, or refuses if the request was redirected already.
    fn answer_inactive(&self, ctx: &mut Context<'_>, from: &VmId, ask: &PermitAsk) {
        let live = ctx.membership.live_vms(ctx.now);
        let other = live.into_iter().find(|vm| **vm != ctx.identity.vm && *vm != from).cloned();
        match other.filter(|_| !ask.redirected) {
            None => refuse(ctx, from, ask.ask_id, RefusalReason::NoEndpoint, MIN_RETRY_AFTER_MS),
            Some(other) => {
                let answer = PermitAnswer {
                    ask_id: ask.ask_id,
                    owner_vm: other.to_string(),
                    ..PermitAnswer::default()
                };
                ctx.send(from, Body::PermitAnswer(answer));
            }
        }
    }

    /// Returns the permit granted earlier for the same ask, with its endpoint.
    fn find_permit(&self, from: &VmId, incarnation: u64, ask_id: u64) -> Option<(u64, EndpointId)> {
        self.owned.iter().find_map(|(id, endpoint)| {
            let is_same = |p: &Permit| {
                p.holder == *from && p.holder_incarnation == incarnation && p.ask_id == ask_id
            };
            let found = endpoint.permits.iter().find(|(_, permit)| is_same(permit))?;
            Some((*found.0, id.clone()))
        })
    }

    /// Returns a member of this zone with more free capacity for the route, for a VM of another
    /// zone that does not know the owners here.
    fn better_owner(&self, ctx: &Context<'_>, ask: &PermitAsk) -> Option<VmId> {
        if ask.redirected {
            return None;
        }
        let own_slots = self.free_slots_for(ctx, &ask.route);
        let rooms = ctx.membership.free_slots(route_hash(&ask.route));
        let others = rooms.into_iter().filter(|(vm, _)| *vm != ctx.identity.vm);
        let best = others.max_by_key(|(_, free)| *free)?;
        // Any owner of endpoints for the route is better if this VM owns none.
        own_slots.is_none_or(|own_slots| best.1 > own_slots).then_some(best.0)
    }

    /// Reports whether this VM owns an endpoint in service for `route`.
    fn serves(&self, config: &FleetConfig, route: &RouteId) -> bool {
        let specs = self.owned.keys().filter_map(|id| config.endpoints.get(id));
        specs.filter(|spec| config.in_service(spec)).any(|spec| spec.routes.contains(route))
    }

    /// Grants permits to queued asks in fair order and refuses those that have waited too long.
    pub(crate) fn process_queue(&mut self, ctx: &mut Context<'_>) {
        if self.queue.asks.is_empty() {
            return;
        }
        let config = ctx.config;
        let weight = |c: &CustomerId| config.customers.get(c).map_or(1.0, |c| f64::from(c.weight));
        self.queue.sort(ctx.now, weight);
        let is_active = ctx.membership.is_active(ctx.now);
        let mut still_queued = Vec::new();
        for queued in std::mem::take(&mut self.queue.asks) {
            let choice = if is_active { self.choose_endpoint(ctx, &queued) } else { None };
            match choice {
                Some(endpoint) => self.grant(ctx, &queued, endpoint),
                None if ctx.now >= queued.deadline_ms => {
                    let retry_after_ms = self.retry_after_ms(ctx, &queued.route);
                    let reason = RefusalReason::NoRoom;
                    refuse(ctx, &queued.from, queued.ask_id, reason, retry_after_ms);
                }
                None => still_queued.push(queued),
            }
        }
        self.queue.asks = still_queued;
    }

    /// Returns the least loaded endpoint with capacity for the request, unless a lightly loaded one
    /// is likely to have the prompt's prefix cached.
    fn choose_endpoint(&self, ctx: &Context<'_>, queued: &QueuedAsk) -> Option<EndpointId> {
        let fits = |endpoint: &OwnedEndpoint, spec: &Endpoint| {
            let candidate = (&queued.route, queued.prompt_tokens, queued.max_tokens);
            endpoint.free_slots(ctx.now, spec) > 0
                && !(queued.suspect && endpoint.has_suspect())
                && endpoint.memory_fits(ctx.now, spec, &self.lengths, candidate)
        };
        let load = |endpoint: &OwnedEndpoint, spec: &Endpoint| {
            f64::from(endpoint.in_flight()) / f64::from(endpoint.limit(ctx.now, spec).max(1))
        };
        let excluded = |id: &EndpointId| queued.exclude.iter().any(|e| e == id.as_str());
        let candidates: Vec<(&EndpointId, f64)> = self
            .owned
            .iter()
            .filter(|(id, _)| !excluded(id))
            .filter_map(|(id, endpoint)| Some((id, endpoint, ctx.config.endpoints.get(id)?)))
            .filter(|(_, _, spec)| ctx.config.in_service(spec))
            .filter(|(_, _, spec)| spec.routes.contains(&queued.route))
            .filter(|(_, endpoint, spec)| fits(endpoint, spec))
            .map(|(id, endpoint, spec)| (id, load(endpoint, spec)))
            .collect();
        if queued.prefix_hash != 0 {
            let lightly_loaded = candidates.iter().filter(|(_, load)| *load < MAX_AFFINITY_LOAD);
            let prefix = queued.prefix_hash.to_string();
            if let Some(cached) = rendezvous::owner(&prefix, lightly_loaded.map(|(id, _)| *id)) {
                return Some(cached.clone());
            }
        }
        let least = candidates.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
        least.map(|(id, _)| id.clone())
    }

    /// Records a permit, charges the customer and sends the grant.
    fn grant(&mut self, ctx: &mut Context<'_>, queued: &QueuedAsk, endpoint: EndpointId) {
        let id = self.next_id;
        self.next_id += 1;
        let charged_tokens =
            queued.expected_tokens + f64::from(queued.prompt_tokens) * PROMPT_TOKEN_COST;
        self.queue.charge(&queued.customer, charged_tokens);
        let permit = Permit {
            holder: queued.from.clone(),
            holder_incarnation: queued.from_incarnation,
            ask_id: queued.ask_id,
            customer: queued.customer.clone(),
            route: queued.route.clone(),
            granted_ms: ctx.now,
            prompt_tokens: queued.prompt_tokens,
            max_tokens: queued.max_tokens,
            suspect: queued.suspect,
            charged_tokens,
        };
        let use_ms = ctx.now.since(queued.received_ms) + PERMIT_VALIDITY_MS;
        let answer = grant_answer(queued.ask_id, id, &endpoint, use_ms);
        if let Some(owned) = self.owned.get_mut(&endpoint) {
            owned.permits.insert(id, permit);
        }
        ctx.send(&queued.from, Body::PermitAnswer(answer));
    }

    /// Returns the delay for a refused caller, in milliseconds: the expected time until a request
    /// on the route ends, plus jitter and a fixed delay per queued ask.
    fn retry_after_ms(&self, ctx: &mut Context<'_>, route: &RouteId) -> u64 {
        let serving = self.owned.iter().filter(|(id, _)| {
            ctx.config.endpoints.get(*id).is_some_and(|spec| spec.routes.contains(route))
        });
        let ends = serving.map(|(_, endpoint)| endpoint.expected_end_ms(ctx.now, &self.lengths));
        let soonest = ends.min().unwrap_or(0).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS / 2);
        let queue_length = self.queue.asks.iter().filter(|w| w.route == *route).count() as u64;
        let jitter = ctx.rng.random_range(0..=soonest / 2 + 1);
        (soonest + jitter + queue_length * MIN_RETRY_AFTER_MS).min(MAX_RETRY_AFTER_MS)
    }

    /// Handles the end of a permit: the request has ended, or the asking VM no longer needs the
    /// permit.
    pub(crate) fn on_done(&mut self, ctx: &mut Context<'_>, from: &VmId, done: &PermitDone) {
        ctx.send(from, Body::PermitDoneAck(PermitDoneAck { permit_id: done.permit_id }));
        let Ok(endpoint) = done.endpoint.parse::<EndpointId>() else { return };
        let Some(owned) = self.owned.get_mut(&endpoint) else { return };
        let stopped = done.end() == PermitEnd::Stopped;
        let Some(permit) = owned.end(ctx.now, done.permit_id, stopped, done.tokens) else { return };
        let prompt_cost = f64::from(permit.prompt_tokens) * PROMPT_TOKEN_COST;
        let used_tokens = if done.tokens > 0 { f64::from(done.tokens) + prompt_cost } else { 0.0 };
        self.queue.charge(&permit.customer, used_tokens - permit.charged_tokens);
        let lengths = self
            .lengths
            .entry(permit.route.clone())
            .or_insert_with(|| OutputLengths::new(permit.max_tokens));
        if done.tokens > 0 {
            lengths.observe(done.tokens, stopped && done.tokens < permit.max_tokens);
        }
        self.process_queue(ctx);
    }

    /// Returns the model-load orders that are due: for each endpoint whose loaded model differs
    /// from the configuration, one order at a time, numbered by the configuration version. This VM
    /// sends none before [`orders_allowed_from_ms`].
    pub(crate) fn due_orders(&mut self, ctx: &Context<'_>) -> Vec<Action> {
        let mut orders = Vec::new();
        for (id, endpoint) in &self.owned {
            let Some(spec) = ctx.config.endpoints.get(id) else { continue };
            let Some(model_version) = configured_model(ctx.config, spec) else { continue };
            let Some(loaded) = endpoint.loaded_hash() else { continue };
            let number = ctx.config.version;
            let recently_sent = self.last_orders.get(id).is_some_and(|(last, at_ms)| {
                *last >= number && ctx.now.since(*at_ms) < ORDER_RESEND_MS
            });
            let is_loaded = loaded == model_hash(&model_version);
            if is_loaded || recently_sent || ctx.now < orders_allowed_from_ms(ctx) {
                continue;
            }
            self.last_orders.insert(id.clone(), (number, ctx.now));
            orders.push(Action::Order(ModelOrder {
                endpoint: id.clone(),
                address: spec.address,
                config_version: number,
                model_version,
                use_until_ms: ctx.now + PERMIT_VALIDITY_MS,
            }));
        }
        orders
    }

    /// Returns the requests in flight and the request limit of each owned endpoint, for status
    /// pages.
    pub(crate) fn endpoint_usage(&self, ctx: &Context<'_>) -> BTreeMap<EndpointId, (u32, u32)> {
        let owned = self.owned.iter().filter_map(|(id, endpoint)| {
            let spec = ctx.config.endpoints.get(id)?;
            Some((id.clone(), (endpoint.in_flight(), endpoint.limit(ctx.now, spec))))
        });
        owned.collect()
    }
}

/// Returns the time after which no order of a former owner can still be sent.
fn orders_allowed_from_ms(ctx: &Context<'_>) -> BootMs {
    ctx.membership.active_since_ms() + PERMIT_VALIDITY_MS
}

/// Returns the first model version that the configuration assigns to a route of the endpoint.
fn configured_model(config: &FleetConfig, spec: &Endpoint) -> Option<String> {
    let routes = spec.routes.iter().filter_map(|route| config.routes.get(route));
    let mut versions = routes.filter_map(|route| match &route.kind {
        RouteKind::Model(model) if !model.model_version.is_empty() => {
            Some(model.model_version.clone())
        }
        _ => None,
    });
    versions.next()
}

/// Builds the answer that grants a permit.
fn grant_answer(ask_id: u64, permit_id: u64, endpoint: &EndpointId, use_ms: u64) -> PermitAnswer {
    PermitAnswer {
        ask_id,
        permit_id,
        endpoint: endpoint.to_string(),
        use_ms,
        ..PermitAnswer::default()
    }
}

/// Sends a refusal to the asking VM.
fn refuse(ctx: &mut Context<'_>, to: &VmId, ask_id: u64, reason: RefusalReason, after_ms: u64) {
    let answer = PermitAnswer {
        ask_id,
        refusal: reason.to_string(),
        retry_after_ms: after_ms,
        ..PermitAnswer::default()
    };
    ctx.send(to, Body::PermitAnswer(answer));
}
