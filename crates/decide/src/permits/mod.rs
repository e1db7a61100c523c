//! The owner's side of endpoint permits.
//!
//! Each endpoint has one owner among the acting VMs of its zone. Only the owner gives permits for
//! it, so it knows all requests there but those that a former owner let in; these it counts from
//! the first load report that must show them. A permit may be used for a bounded time from when
//! it was asked for, and ends when its holder says so or the endpoint's own reports show it gone.

mod endpoint;
mod queue;

use self::endpoint::{OwnedEndpoint, Permit};
use self::queue::{FairQueue, MAX_QUEUE, Waiting};
use crate::context::Context;
use crate::event::{Action, LoadReport, Order};
use crate::lengths::Lengths;
use crate::limits::{PERMIT_USE_MS, RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS};
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

/// What a prompt token costs against an output token.
const PROMPT_COST: f64 = 0.1;
/// Load up to which a prompt goes where its prefix is likely to be cached.
const AFFINITY_LOAD: f64 = 0.75;
/// Wait between two orders of the same number to an endpoint.
const ORDER_AGAIN_MS: u64 = 2_000;
/// Prompt that free places are counted for.
const TYPICAL_PROMPT_TOKENS: u32 = 128;

/// Everything that this VM owns and gives permits for.
#[derive(Debug)]
pub(crate) struct Permits {
    owned: BTreeMap<EndpointId, OwnedEndpoint>,
    queue: FairQueue,
    lengths: BTreeMap<RouteId, Lengths>,
    next_id: u64,
    fresh_fleet: bool,
    ordered: BTreeMap<EndpointId, (u64, BootMs)>,
}

fn resource(endpoint: &EndpointId) -> String {
    format!("endpoint/{endpoint}")
}

/// The hash under which an endpoint reports the model, adapter and version that it has loaded.
pub fn model_hash(model_version: &str) -> u64 {
    rendezvous::hash64(&["model", model_version])
}

/// The name of a route in heartbeats.
pub(crate) fn route_hash(route: &str) -> u32 {
    hash32(&["route", route])
}

fn max_tokens(config: &FleetConfig, route: &RouteId, asked: u32) -> u32 {
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
            ordered: BTreeMap::new(),
        }
    }

    /// This VM began to act, or may not act any more.
    pub(crate) fn on_activity(&mut self, ctx: &Context<'_>, activity: Activity) {
        match activity {
            Activity::Ended | Activity::Began(Succession::Direct) => {}
            Activity::Began(_) => {
                self.owned.clear();
                self.ordered.clear();
            }
        }
        let had_owner = !(self.fresh_fleet && activity == Activity::Began(Succession::First));
        self.refresh(ctx, had_owner);
    }

    /// Brings the set of owned endpoints in line with view and configuration.
    pub(crate) fn refresh(&mut self, ctx: &Context<'_>, had_owner: bool) {
        if !ctx.members.is_active(ctx.now) {
            return;
        }
        let in_zone = ctx.config.endpoints.iter().filter(|(_, e)| e.zone == ctx.me.zone);
        let owned: BTreeSet<&EndpointId> = in_zone
            .map(|(id, _)| id)
            .filter(|id| ctx.members.owns(ctx.now, &resource(id)))
            .collect();
        self.owned.retain(|id, _| owned.contains(id));
        for id in owned {
            if !self.owned.contains_key(id) {
                self.owned.insert(id.clone(), OwnedEndpoint::new(ctx.now, had_owner));
            }
        }
    }

    /// The endpoints whose load this VM has to read.
    pub(crate) fn polled(&self, ctx: &Context<'_>) -> Vec<(EndpointId, SocketAddr)> {
        let specs = self.owned.keys().filter_map(|id| ctx.config.endpoints.get(id));
        specs.map(|spec| (spec.id.clone(), spec.address)).collect()
    }

    /// An endpoint reported its load, or can't be reached.
    pub(crate) fn on_report(
        &mut self,
        ctx: &mut Context<'_>,
        id: &EndpointId,
        report: Option<LoadReport>,
    ) {
        if let Some(endpoint) = self.owned.get_mut(id) {
            endpoint.on_report(ctx.now, report);
            self.drain_queue(ctx);
        }
    }

    /// A VM's process is gone or was replaced; `incarnation` is the one that lives.
    pub(crate) fn on_vm_gone(&mut self, now: BootMs, vm: &VmId, incarnation: Option<u64>) {
        self.owned.values_mut().for_each(|endpoint| endpoint.orphan(now, vm, incarnation));
        let gone = |w: &Waiting| w.from == *vm && Some(w.from_incarnation) != incarnation;
        self.queue.waiting.retain(|waiting| !gone(waiting));
    }

    /// Free places for each route, for heartbeats.
    pub(crate) fn rooms(&self, ctx: &Context<'_>) -> Vec<RouteRoom> {
        let mut free_by_route: BTreeMap<&RouteId, u32> = BTreeMap::new();
        for (id, endpoint) in &self.owned {
            let Some(spec) = ctx.config.endpoints.get(id) else { continue };
            if !ctx.config.in_service(spec) {
                continue;
            }
            for route in &spec.routes {
                let max = max_tokens(ctx.config, route, 0);
                let typical = (route, TYPICAL_PROMPT_TOKENS, max);
                let fits = endpoint.memory_fits(ctx.now, spec, &self.lengths, typical);
                let free = if fits { endpoint.free(ctx.now, spec) } else { 0 };
                *free_by_route.entry(route).or_default() += free;
            }
        }
        for waiting in &self.queue.waiting {
            if let Some(free) = free_by_route.get_mut(&waiting.route) {
                *free = free.saturating_sub(1);
            }
        }
        let rooms = free_by_route.into_iter();
        rooms.map(|(id, free)| RouteRoom { route_hash: route_hash(id.as_str()), free }).collect()
    }

    fn room_for(&self, ctx: &Context<'_>, route: &str) -> Option<u32> {
        let wanted = route_hash(route);
        self.rooms(ctx).iter().find(|room| room.route_hash == wanted).map(|room| room.free)
    }

    /// Another VM, or this one, asks for a permit.
    pub(crate) fn on_ask(
        &mut self,
        ctx: &mut Context<'_>,
        from: &VmId,
        from_incarnation: u64,
        ask: &PermitAsk,
    ) {
        if let Some((id, endpoint)) = self.given(from, from_incarnation, ask.ask_id) {
            let answer = granted(ask.ask_id, id, &endpoint, PERMIT_USE_MS);
            return ctx.send(from, Body::PermitAnswer(answer));
        }
        let queued = |w: &Waiting| w.from == *from && w.ask_id == ask.ask_id;
        if self.queue.waiting.iter().any(queued) {
            return;
        }
        if !ctx.members.is_active(ctx.now) {
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
            return refuse(ctx, from, ask.ask_id, RefusalReason::NoEndpoint, RETRY_AFTER_MIN_MS);
        }
        let max = max_tokens(ctx.config, &route, ask.max_tokens);
        let lengths =
            self.lengths.entry(RouteId::clone(&route)).or_insert_with(|| Lengths::new(max));
        let waiting = Waiting {
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
            since_ms: BootMs(ctx.now.0.saturating_sub(ask.waited_ms)),
            came_ms: ctx.now,
            until_ms: ctx.now + ask.wait_ms,
        };
        match self.queue.waiting.len() >= MAX_QUEUE {
            true => refuse(ctx, from, ask.ask_id, RefusalReason::NoRoom, RETRY_AFTER_MAX_MS),
            false => {
                self.queue.waiting.push(waiting);
                self.drain_queue(ctx);
            }
        }
    }

    /// A VM that may not act names another one of its zone, once, or says that it has nothing.
    fn answer_inactive(&self, ctx: &mut Context<'_>, from: &VmId, ask: &PermitAsk) {
        let live = ctx.members.live(ctx.now);
        let other = live.into_iter().find(|vm| **vm != ctx.me.vm && *vm != from).cloned();
        match other.filter(|_| !ask.redirected) {
            None => refuse(ctx, from, ask.ask_id, RefusalReason::NoEndpoint, RETRY_AFTER_MIN_MS),
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

    fn given(&self, from: &VmId, incarnation: u64, ask_id: u64) -> Option<(u64, EndpointId)> {
        self.owned.iter().find_map(|(id, endpoint)| {
            let same = |p: &Permit| {
                p.holder == *from && p.holder_incarnation == incarnation && p.ask_id == ask_id
            };
            let found = endpoint.permits.iter().find(|(_, permit)| same(permit))?;
            Some((*found.0, id.clone()))
        })
    }

    /// The member of this zone to ask instead, for a VM of another zone that guessed.
    fn better_owner(&self, ctx: &Context<'_>, ask: &PermitAsk) -> Option<VmId> {
        if ask.redirected {
            return None;
        }
        let own = self.room_for(ctx, &ask.route);
        let rooms = ctx.members.rooms(route_hash(&ask.route));
        let others = rooms.into_iter().filter(|(vm, _)| *vm != ctx.me.vm);
        let best = others.max_by_key(|(_, free)| *free)?;
        // One that owns endpoints of the route comes before this VM if this one owns none.
        own.is_none_or(|own| best.1 > own).then_some(best.0)
    }

    fn serves(&self, config: &FleetConfig, route: &RouteId) -> bool {
        let specs = self.owned.keys().filter_map(|id| config.endpoints.get(id));
        specs.filter(|spec| config.in_service(spec)).any(|spec| spec.routes.contains(route))
    }

    /// Gives room to whoever is first in line and refuses those whose wait is over.
    pub(crate) fn drain_queue(&mut self, ctx: &mut Context<'_>) {
        if self.queue.waiting.is_empty() {
            return;
        }
        let config = ctx.config;
        let weight = |c: &CustomerId| config.customers.get(c).map_or(1.0, |c| f64::from(c.weight));
        self.queue.sort(ctx.now, weight);
        let may_act = ctx.members.is_active(ctx.now);
        let mut kept = Vec::new();
        for waiting in std::mem::take(&mut self.queue.waiting) {
            let place = if may_act { self.place(ctx, &waiting) } else { None };
            match place {
                Some(endpoint) => self.grant(ctx, &waiting, endpoint),
                None if ctx.now >= waiting.until_ms => {
                    let retry_after_ms = self.retry_after_ms(ctx, &waiting.route);
                    let reason = RefusalReason::NoRoom;
                    refuse(ctx, &waiting.from, waiting.ask_id, reason, retry_after_ms);
                }
                None => kept.push(waiting),
            }
        }
        self.queue.waiting = kept;
    }

    /// The endpoint for a request: the least loaded that has room, unless one that is likely to
    /// hold the prompt's prefix has room too.
    fn place(&self, ctx: &Context<'_>, waiting: &Waiting) -> Option<EndpointId> {
        let fits = |endpoint: &OwnedEndpoint, spec: &Endpoint| {
            let candidate = (&waiting.route, waiting.prompt_tokens, waiting.max_tokens);
            endpoint.free(ctx.now, spec) > 0
                && !(waiting.suspect && endpoint.has_suspect())
                && endpoint.memory_fits(ctx.now, spec, &self.lengths, candidate)
        };
        let load = |endpoint: &OwnedEndpoint, spec: &Endpoint| {
            f64::from(endpoint.in_flight()) / f64::from(endpoint.limit(ctx.now, spec).max(1))
        };
        let excluded = |id: &EndpointId| waiting.exclude.iter().any(|e| e == id.as_str());
        let candidates: Vec<(&EndpointId, f64)> = self
            .owned
            .iter()
            .filter(|(id, _)| !excluded(id))
            .filter_map(|(id, endpoint)| Some((id, endpoint, ctx.config.endpoints.get(id)?)))
            .filter(|(_, _, spec)| ctx.config.in_service(spec))
            .filter(|(_, _, spec)| spec.routes.contains(&waiting.route))
            .filter(|(_, endpoint, spec)| fits(endpoint, spec))
            .map(|(id, endpoint, spec)| (id, load(endpoint, spec)))
            .collect();
        if waiting.prefix_hash != 0 {
            let light = candidates.iter().filter(|(_, load)| *load < AFFINITY_LOAD);
            let prefix = waiting.prefix_hash.to_string();
            if let Some(cached) = rendezvous::owner(&prefix, light.map(|(id, _)| *id)) {
                return Some(cached.clone());
            }
        }
        let least = candidates.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
        least.map(|(id, _)| id.clone())
    }

    fn grant(&mut self, ctx: &mut Context<'_>, waiting: &Waiting, endpoint: EndpointId) {
        let id = self.next_id;
        self.next_id += 1;
        let charged = waiting.expected_tokens + f64::from(waiting.prompt_tokens) * PROMPT_COST;
        self.queue.charge(&waiting.customer, charged);
        let permit = Permit {
            holder: waiting.from.clone(),
            holder_incarnation: waiting.from_incarnation,
            ask_id: waiting.ask_id,
            customer: waiting.customer.clone(),
            route: waiting.route.clone(),
            granted_ms: ctx.now,
            prompt_tokens: waiting.prompt_tokens,
            max_tokens: waiting.max_tokens,
            suspect: waiting.suspect,
            charged,
        };
        let use_ms = ctx.now.since(waiting.came_ms) + PERMIT_USE_MS;
        let answer = granted(waiting.ask_id, id, &endpoint, use_ms);
        if let Some(owned) = self.owned.get_mut(&endpoint) {
            owned.permits.insert(id, permit);
        }
        ctx.send(&waiting.from, Body::PermitAnswer(answer));
    }

    fn retry_after_ms(&self, ctx: &mut Context<'_>, route: &RouteId) -> u64 {
        let serving = self.owned.iter().filter(|(id, _)| {
            ctx.config.endpoints.get(*id).is_some_and(|spec| spec.routes.contains(route))
        });
        let ends = serving.map(|(_, endpoint)| endpoint.next_end_ms(ctx.now, &self.lengths));
        let soonest = ends.min().unwrap_or(0).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS / 2);
        let behind = self.queue.waiting.iter().filter(|w| w.route == *route).count() as u64;
        let spread = ctx.rng.random_range(0..=soonest / 2 + 1);
        (soonest + spread + behind * RETRY_AFTER_MIN_MS).min(RETRY_AFTER_MAX_MS)
    }

    /// A holder says that its request has ended, or an asker that it does not wait any more.
    pub(crate) fn on_done(&mut self, ctx: &mut Context<'_>, from: &VmId, done: &PermitDone) {
        ctx.send(from, Body::PermitDoneAck(PermitDoneAck { permit_id: done.permit_id }));
        let Ok(endpoint) = done.endpoint.parse::<EndpointId>() else { return };
        let Some(owned) = self.owned.get_mut(&endpoint) else { return };
        let stopped = done.end() == PermitEnd::Stopped;
        let Some(permit) = owned.end(ctx.now, done.permit_id, stopped, done.tokens) else { return };
        let prompt = f64::from(permit.prompt_tokens) * PROMPT_COST;
        let worked = if done.tokens > 0 { f64::from(done.tokens) + prompt } else { 0.0 };
        self.queue.charge(&permit.customer, worked - permit.charged);
        let lengths = self
            .lengths
            .entry(permit.route.clone())
            .or_insert_with(|| Lengths::new(permit.max_tokens));
        if done.tokens > 0 {
            lengths.observe(done.tokens, stopped && done.tokens < permit.max_tokens);
        }
        self.drain_queue(ctx);
    }

    /// Orders that are due: an endpoint that does not have what the configuration asks for gets
    /// one order at a time, numbered by the configuration's version, while this VM surely acts.
    pub(crate) fn orders(&mut self, ctx: &Context<'_>) -> Vec<Action> {
        let mut orders = Vec::new();
        for (id, endpoint) in &self.owned {
            let Some(spec) = ctx.config.endpoints.get(id) else { continue };
            let Some(model_version) = wanted_model(ctx.config, spec) else { continue };
            let Some(loaded) = endpoint.loaded_hash() else { continue };
            let number = ctx.config.version;
            let waits = self.ordered.get(id).is_some_and(|(last, at_ms)| {
                *last >= number && ctx.now.since(*at_ms) < ORDER_AGAIN_MS
            });
            let has_it = loaded == model_hash(&model_version);
            if has_it || waits || ctx.now < endpoint_usable(ctx) {
                continue;
            }
            self.ordered.insert(id.clone(), (number, ctx.now));
            orders.push(Action::Order(Order {
                endpoint: id.clone(),
                address: spec.address,
                number,
                model_version,
                use_until_ms: ctx.now + PERMIT_USE_MS,
            }));
        }
        orders
    }

    /// What is in flight and allowed at each owned endpoint, for status pages.
    pub(crate) fn holdings(&self, ctx: &Context<'_>) -> BTreeMap<EndpointId, (u32, u32)> {
        let owned = self.owned.iter().filter_map(|(id, endpoint)| {
            let spec = ctx.config.endpoints.get(id)?;
            Some((id.clone(), (endpoint.in_flight(), endpoint.limit(ctx.now, spec))))
        });
        owned.collect()
    }
}

/// A former owner's orders have surely left, or never will, by this time.
fn endpoint_usable(ctx: &Context<'_>) -> BootMs {
    ctx.members.active_since_ms() + PERMIT_USE_MS
}

fn wanted_model(config: &FleetConfig, spec: &Endpoint) -> Option<String> {
    let routes = spec.routes.iter().filter_map(|route| config.routes.get(route));
    let mut versions = routes.filter_map(|route| match &route.kind {
        RouteKind::Model(model) if !model.model_version.is_empty() => {
            Some(model.model_version.clone())
        }
        _ => None,
    });
    versions.next()
}

fn granted(ask_id: u64, permit_id: u64, endpoint: &EndpointId, use_ms: u64) -> PermitAnswer {
    PermitAnswer {
        ask_id,
        permit_id,
        endpoint: endpoint.to_string(),
        use_ms,
        ..PermitAnswer::default()
    }
}

fn refuse(ctx: &mut Context<'_>, to: &VmId, ask_id: u64, reason: RefusalReason, after_ms: u64) {
    let answer = PermitAnswer {
        ask_id,
        refusal: reason.to_string(),
        retry_after_ms: after_ms,
        ..PermitAnswer::default()
    };
    ctx.send(to, Body::PermitAnswer(answer));
}
