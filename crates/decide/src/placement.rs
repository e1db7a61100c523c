//! The asker's side of endpoint permits: which owner to ask for room, and whom next.
//!
//! Within the zone, the owners' heartbeats tell how much room each has; this VM takes off what it
//! asked for since. Where the zone has none, one VM of each other zone is asked, which knows the
//! owners there. Where there is none anywhere, the request waits in an owner's queue, a slice of
//! time at a time.

use crate::context::Context;
use crate::event::RequestKey;
use crate::limits::{
    PERMIT_ANSWER_WAIT_MS, PERMIT_DONE_RESEND_MS, PERMIT_RESEND_MS, PERMIT_SLICE_MS, PERMIT_USE_MS,
    RETRY_AFTER_MIN_MS, SHARE_LEASE_MS, SILENT_PAUSE_MS, held_ms,
};
use crate::permits::route_hash;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{PermitAnswer, PermitAsk, PermitDone, PermitEnd};
use gypsumchute_units::rendezvous;
use gypsumchute_units::{
    BootMs, CustomerId, EndpointId, Refusal, RefusalReason, RouteId, VmId, ZoneId,
};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Other zones that are looked at for one request before it waits.
const ZONES_TRIED: usize = 4;
/// How often an ended permit's notice is sent before it is given up.
const DONE_SENDS: u32 = 25;

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    pub(crate) key: RequestKey,
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteId,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) prefix_hash: u64,
    pub(crate) exclude: BTreeSet<EndpointId>,
    pub(crate) suspect: bool,
    pub(crate) deadline_ms: BootMs,
}

/// A permit that this VM holds for one of its requests.
#[derive(Debug, Clone)]
pub(crate) struct HeldPermit {
    pub(crate) permit_id: u64,
    pub(crate) owner: VmId,
    pub(crate) endpoint: EndpointId,
    pub(crate) use_until_ms: BootMs,
}

/// What became of a wish.
#[derive(Debug, Clone)]
pub(crate) enum PlaceOutcome {
    /// A permit came.
    Permitted(RequestKey, HeldPermit),
    /// There is no room in time.
    Refused(RequestKey, Refusal),
}

/// Where a search looks.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Look {
    /// At the owners of the own zone, for room now.
    Here,
    /// At another zone, for room now.
    There(ZoneId),
    /// Anywhere, waiting in the owner's queue.
    Wait,
}

#[derive(Debug)]
struct Search {
    wish: Wish,
    began_ms: BootMs,
    ask_id: u64,
    target: VmId,
    look: Look,
    redirected: bool,
    sent_ms: BootMs,
    resend_ms: BootMs,
    until_ms: BootMs,
    zones_left: VecDeque<ZoneId>,
    retry_after_ms: u64,
    last_reason: RefusalReason,
}

#[derive(Debug)]
struct DoneNotice {
    owner: VmId,
    done: PermitDone,
    resend_ms: BootMs,
    sends_left: u32,
}

/// This VM's searches for room, and the notices of ended permits not yet acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    searches: BTreeMap<RequestKey, Search>,
    by_ask: BTreeMap<u64, RequestKey>,
    recent: BTreeMap<(VmId, u32), VecDeque<BootMs>>,
    /// Permits in use, by owner and number: a late copy of their answer must not end them.
    live: BTreeSet<(VmId, u64)>,
    notices: BTreeMap<(VmId, u64), DoneNotice>,
    silent_until_ms: BTreeMap<VmId, BootMs>,
    next_id: u64,
    outcomes: Vec<PlaceOutcome>,
}

impl Placement {
    pub(crate) fn new(incarnation: u64) -> Self {
        Placement { next_id: incarnation, ..Placement::default() }
    }

    /// What was decided since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<PlaceOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Searches room for a request.
    pub(crate) fn search(&mut self, ctx: &mut Context<'_>, wish: Wish) {
        let (here, zones_left) = zones_to_try(ctx, &wish.route);
        let key = wish.key;
        let search = Search {
            began_ms: ctx.now,
            ask_id: 0,
            target: ctx.me.vm.clone(),
            look: Look::Here,
            redirected: false,
            sent_ms: ctx.now,
            resend_ms: ctx.now,
            until_ms: ctx.now,
            zones_left,
            retry_after_ms: RETRY_AFTER_MIN_MS,
            last_reason: RefusalReason::NoEndpoint,
            wish,
        };
        self.searches.insert(key, search);
        match here {
            true => self.look_here(ctx, key),
            false => self.next_zone(ctx, key),
        }
    }

    /// Forgets a request that waits for room.
    pub(crate) fn cancel(&mut self, key: RequestKey) {
        if let Some(search) = self.searches.remove(&key) {
            self.by_ask.remove(&search.ask_id);
        }
    }

    fn look_here(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        match self.best_owner(ctx, &search.wish) {
            Some((owner, room)) if room > 0 => self.ask(ctx, key, owner, Look::Here, true),
            _ if !search.zones_left.is_empty() => self.next_zone(ctx, key),
            _ => self.wait(ctx, key),
        }
    }

    fn next_zone(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get_mut(&key) else { return };
        let Some(zone) = search.zones_left.pop_front() else { return self.wait(ctx, key) };
        match self.some_vm(ctx, &zone, key) {
            Some(vm) => self.ask(ctx, key, vm, Look::There(zone), false),
            None => self.next_zone(ctx, key),
        }
    }

    /// Waits in a queue: of the own zone if it serves the route, else of any that does.
    fn wait(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        if ctx.now >= search.wish.deadline_ms {
            return self.refuse(key);
        }
        let zones = zones_serving(ctx, &search.wish.route);
        if zones.is_empty() {
            return self.refuse(key);
        }
        let here = match zones.contains(&ctx.me.zone) {
            true => self.best_owner(ctx, &search.wish).map(|(owner, _)| owner),
            false => None,
        };
        let pick = ctx.rng.random_range(0..zones.len());
        let target = here.or_else(|| {
            let ordered = zones.iter().cycle().skip(pick).take(zones.len());
            ordered.filter(|zone| **zone != ctx.me.zone).find_map(|z| self.some_vm(ctx, z, key))
        });
        match target {
            Some(vm) => self.ask(ctx, key, vm, Look::Wait, false),
            None => self.pause(ctx, key),
        }
    }

    /// Nobody can be asked at the moment: looks again a little later.
    fn pause(&mut self, ctx: &Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get_mut(&key) else { return };
        search.ask_id = 0;
        search.look = Look::Wait;
        search.until_ms = (ctx.now + PERMIT_RESEND_MS).min(search.wish.deadline_ms);
        search.resend_ms = BootMs(u64::MAX);
    }

    fn refuse(&mut self, key: RequestKey) {
        let Some(search) = self.searches.remove(&key) else { return };
        self.by_ask.remove(&search.ask_id);
        let refusal = Refusal::not_run_until(search.last_reason, search.retry_after_ms);
        self.outcomes.push(PlaceOutcome::Refused(key, refusal));
    }

    /// The owner in this zone with the most room for the route, this VM's own recent asks taken
    /// off; one that is likely to hold the prompt's prefix comes first while it has room.
    fn best_owner(&self, ctx: &Context<'_>, wish: &Wish) -> Option<(VmId, u32)> {
        let hash = route_hash(wish.route.as_str());
        let asked =
            |vm: &VmId| self.recent.get(&(vm.clone(), hash)).map_or(0, |times| times.len() as u32);
        let mut rooms: Vec<(VmId, u32)> = ctx
            .members
            .rooms(hash)
            .into_iter()
            .filter(|(vm, _)| !self.silent_until_ms.contains_key(vm))
            .map(|(vm, free)| (vm.clone(), free.saturating_sub(asked(&vm))))
            .collect();
        rooms.sort_by_key(|(_, free)| std::cmp::Reverse(*free));
        let most = rooms.first()?.1;
        if wish.prefix_hash != 0 {
            let prefix = wish.prefix_hash.to_string();
            let roomy = rooms.iter().filter(|(_, free)| *free > 0 && free * 4 >= most);
            let cached = rendezvous::owner(&prefix, roomy.map(|(vm, _)| vm)).cloned();
            if let Some(found) = rooms.iter().find(|(vm, _)| Some(vm) == cached.as_ref()) {
                return Some(found.clone());
            }
        }
        rooms.first().cloned()
    }

    fn some_vm(&self, ctx: &Context<'_>, zone: &ZoneId, key: RequestKey) -> Option<VmId> {
        let vms = ctx
            .list
            .of_zone(zone)
            .filter(|(vm, record)| !record.leaving && !self.silent_until_ms.contains_key(*vm));
        let salt = format!("{}/{}", key.entry, key.request);
        rendezvous::owner(&salt, vms.map(|(vm, _)| vm)).cloned()
    }

    fn ask(
        &mut self,
        ctx: &mut Context<'_>,
        key: RequestKey,
        target: VmId,
        look: Look,
        redirected: bool,
    ) {
        let ask_id = self.next_id;
        self.next_id += 1;
        let Some(search) = self.searches.get_mut(&key) else { return };
        self.by_ask.remove(&search.ask_id);
        self.by_ask.insert(ask_id, key);
        let wait_ms = match look {
            Look::Wait => ctx.now.until(search.wish.deadline_ms).min(PERMIT_SLICE_MS),
            Look::Here | Look::There(_) => 0,
        };
        let mine = target == ctx.me.vm || ctx.members.other_members().contains(&target);
        search.ask_id = ask_id;
        search.redirected = redirected || mine;
        search.target = target.clone();
        search.look = look;
        search.sent_ms = ctx.now;
        search.resend_ms = ctx.now + PERMIT_RESEND_MS;
        search.until_ms = ctx.now + wait_ms + PERMIT_ANSWER_WAIT_MS;
        let hash = route_hash(search.wish.route.as_str());
        self.recent.entry((target, hash)).or_default().push_back(ctx.now);
        self.send_ask(ctx, key);
    }

    fn send_ask(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        let wish = &search.wish;
        let wait_ms = match search.look {
            Look::Wait => search.sent_ms.until(wish.deadline_ms).min(PERMIT_SLICE_MS),
            Look::Here | Look::There(_) => 0,
        };
        let ask = PermitAsk {
            ask_id: search.ask_id,
            route: wish.route.to_string(),
            customer: wish.customer.to_string(),
            prompt_tokens: wish.prompt_tokens,
            max_tokens: wish.max_tokens,
            prefix_hash: wish.prefix_hash,
            exclude: wish.exclude.iter().map(EndpointId::to_string).collect(),
            wait_ms,
            suspect: wish.suspect,
            redirected: search.redirected,
            waited_ms: ctx.now.since(search.began_ms),
        };
        let target = search.target.clone();
        ctx.send(&target, Body::PermitAsk(ask));
    }

    /// An owner answers.
    pub(crate) fn on_answer(&mut self, ctx: &mut Context<'_>, from: &VmId, answer: &PermitAnswer) {
        let waiting = self.by_ask.get(&answer.ask_id).copied();
        let Some(key) = waiting else {
            let in_use = self.live.contains(&(from.clone(), answer.permit_id));
            if answer.permit_id != 0 && !in_use {
                self.give_back(ctx, from, answer);
            }
            return;
        };
        let Some(search) = self.searches.get_mut(&key) else { return };
        if let Ok(owner) = answer.owner_vm.parse::<VmId>() {
            if search.redirected {
                return self.look_on(ctx, key);
            }
            let look = search.look.clone();
            return self.ask(ctx, key, owner, look, true);
        }
        match answer.endpoint.parse::<EndpointId>() {
            Ok(endpoint) if answer.permit_id != 0 => {
                let use_until_ms = search.sent_ms + held_ms(answer.use_ms);
                let held = HeldPermit {
                    permit_id: answer.permit_id,
                    owner: from.clone(),
                    endpoint,
                    use_until_ms,
                };
                self.searches.remove(&key);
                self.by_ask.remove(&answer.ask_id);
                self.live.insert((from.clone(), answer.permit_id));
                self.outcomes.push(PlaceOutcome::Permitted(key, held));
            }
            _ => {
                search.retry_after_ms = answer.retry_after_ms.max(RETRY_AFTER_MIN_MS);
                search.last_reason = answer.refusal.parse().unwrap_or(RefusalReason::NoRoom);
                let full = search.last_reason == RefusalReason::NoRoom;
                if full && answer.retry_after_ms >= crate::limits::RETRY_AFTER_MAX_MS {
                    return self.refuse(key);
                }
                self.look_on(ctx, key);
            }
        }
    }

    fn look_on(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        match (&search.look, search.zones_left.is_empty()) {
            (Look::Here | Look::There(_), false) => self.next_zone(ctx, key),
            (Look::Here | Look::There(_), true) => self.wait(ctx, key),
            (Look::Wait, _) if search.last_reason == RefusalReason::NoEndpoint => {
                self.pause(ctx, key);
            }
            (Look::Wait, _) => self.look_around(ctx, key),
        }
    }

    /// Looks everywhere again after a slice of waiting in one queue.
    fn look_around(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get_mut(&key) else { return };
        if ctx.now >= search.wish.deadline_ms {
            return self.refuse(key);
        }
        let (here, zones_left) = zones_to_try(ctx, &search.wish.route);
        search.zones_left = zones_left;
        match here {
            true => self.look_here(ctx, key),
            false => self.next_zone(ctx, key),
        }
    }

    fn give_back(&mut self, ctx: &mut Context<'_>, owner: &VmId, answer: &PermitAnswer) {
        let done = PermitDone {
            permit_id: answer.permit_id,
            endpoint: answer.endpoint.clone(),
            tokens: 0,
            end: PermitEnd::Stopped as i32,
        };
        self.notify(ctx, owner, done);
    }

    /// A request with a permit has ended.
    pub(crate) fn end(
        &mut self,
        ctx: &mut Context<'_>,
        held: &HeldPermit,
        tokens: u32,
        stopped: bool,
    ) {
        self.live.remove(&(held.owner.clone(), held.permit_id));
        let end = if stopped { PermitEnd::Stopped } else { PermitEnd::Unknown };
        let done = PermitDone {
            permit_id: held.permit_id,
            endpoint: held.endpoint.to_string(),
            tokens,
            end: end as i32,
        };
        self.notify(ctx, &held.owner, done);
    }

    fn notify(&mut self, ctx: &mut Context<'_>, owner: &VmId, done: PermitDone) {
        ctx.send(owner, Body::PermitDone(done.clone()));
        let notice = DoneNotice {
            owner: owner.clone(),
            resend_ms: ctx.now + PERMIT_DONE_RESEND_MS,
            sends_left: DONE_SENDS,
            done,
        };
        self.notices.insert((owner.clone(), notice.done.permit_id), notice);
    }

    /// The owner heard that a permit ended.
    pub(crate) fn on_done_ack(&mut self, from: &VmId, permit_id: u64) {
        self.notices.remove(&(from.clone(), permit_id));
    }

    /// Notices that nobody has acknowledged yet.
    pub(crate) fn unsettled(&self) -> usize {
        self.notices.len()
    }

    /// A heartbeat brought new figures: what was asked before is contained in them.
    pub(crate) fn on_rooms(&mut self, vm: &VmId) {
        self.recent.retain(|(asked, _), _| asked != vm);
    }

    /// Time has passed.
    pub(crate) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        self.silent_until_ms.retain(|_, until_ms| *until_ms > now);
        self.recent.retain(|_, times| {
            times.retain(|at| now.since(*at) < PERMIT_USE_MS);
            !times.is_empty()
        });
        let due: Vec<RequestKey> = self
            .searches
            .iter()
            .filter(|(_, search)| now >= search.until_ms || now >= search.resend_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(search) = self.searches.get_mut(&key) else { continue };
            match now >= search.until_ms {
                false => {
                    search.resend_ms = now + PERMIT_RESEND_MS;
                    self.send_ask(ctx, key);
                }
                true if search.ask_id == 0 => self.wait(ctx, key),
                true => {
                    let until_ms = now + SILENT_PAUSE_MS;
                    self.silent_until_ms.insert(search.target.clone(), until_ms);
                    self.by_ask.remove(&search.ask_id);
                    self.look_on(ctx, key);
                }
            }
        }
        self.resend_notices(ctx);
    }

    fn resend_notices(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        for notice in self.notices.values_mut().filter(|notice| now >= notice.resend_ms) {
            notice.resend_ms = now + PERMIT_DONE_RESEND_MS.max(SHARE_LEASE_MS / 8);
            notice.sends_left = notice.sends_left.saturating_sub(1);
            ctx.send(&notice.owner, Body::PermitDone(notice.done.clone()));
        }
        self.notices.retain(|_, notice| notice.sends_left > 0);
    }
}

/// Whether this zone serves `route`, and some other zones that do, in random order.
fn zones_to_try(ctx: &mut Context<'_>, route: &RouteId) -> (bool, VecDeque<ZoneId>) {
    let zones = zones_serving(ctx, route);
    let here = zones.contains(&ctx.me.zone);
    let mut others: Vec<ZoneId> = zones.into_iter().filter(|z| *z != ctx.me.zone).collect();
    for index in (1..others.len()).rev() {
        others.swap(index, ctx.rng.random_range(0..=index));
    }
    (here, others.into_iter().take(ZONES_TRIED).collect())
}

/// The zones with an endpoint in service for `route`.
fn zones_serving(ctx: &Context<'_>, route: &RouteId) -> Vec<ZoneId> {
    let serving = ctx.config.endpoints.values().filter(|spec| spec.routes.contains(route));
    let zones: BTreeSet<&ZoneId> =
        serving.filter(|spec| ctx.config.in_service(spec)).map(|spec| &spec.zone).collect();
    zones.into_iter().cloned().collect()
}
