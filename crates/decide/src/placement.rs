//! Requesting side of endpoint permits: searches for an owner with free capacity.
//!
//! Within the zone, the owners' heartbeats report the free capacity of each owner; this VM
//! subtracts the permits that it requested since. If the zone has no free capacity, this VM asks
//! one VM in each of several other zones, which redirects it to an owner there. If no zone has free
//! capacity, the request waits in one owner's queue for a limited time, and then the search starts
//! again.

use crate::context::Context;
use crate::event::RequestKey;
use crate::limits::{
    MIN_RETRY_AFTER_MS, PERMIT_ANSWER_TIMEOUT_MS, PERMIT_DONE_RESEND_MS, PERMIT_RESEND_MS,
    PERMIT_VALIDITY_MS, QUEUE_SLICE_MS, SHARE_LEASE_MS, UNRESPONSIVE_BACKOFF_MS, holder_lease_ms,
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

/// Maximum number of other zones to ask for one request before it waits in a queue.
const MAX_ZONES_PER_SEARCH: usize = 4;
/// Maximum number of times that an unacknowledged `PermitDone` is sent again.
const MAX_DONE_RESENDS: u32 = 25;

/// A request that needs a permit for an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    pub(crate) key: RequestKey,
    pub(crate) customer: CustomerId,
    pub(crate) route: RouteId,
    pub(crate) prompt_tokens: u32,
    /// Output limit that the caller asked for; 0 for the route's own limit.
    pub(crate) max_tokens: u32,
    /// Hash of the start of the prompt; 0 for none.
    pub(crate) prefix_hash: u64,
    /// Endpoints that must not be chosen.
    pub(crate) excluded_endpoints: BTreeSet<EndpointId>,
    /// Whether the request is suspected of having crashed an endpoint.
    pub(crate) is_crash_suspect: bool,
    /// Time after which the request no longer waits for a permit.
    pub(crate) deadline_ms: BootMs,
}

/// A permit that this VM holds for one of its requests.
#[derive(Debug, Clone)]
pub(crate) struct HeldPermit {
    pub(crate) permit_id: u64,
    pub(crate) owner: VmId,
    pub(crate) endpoint: EndpointId,
    /// Time until which the request may be sent.
    pub(crate) use_until_ms: BootMs,
}

/// Result of a search for a permit.
#[derive(Debug, Clone)]
pub(crate) enum PlacementOutcome {
    /// A permit was granted.
    Granted(RequestKey, HeldPermit),
    /// No endpoint had capacity before the deadline, or an owner refused the request for good.
    Refused(RequestKey, Refusal),
}

/// Where a search currently asks for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Scope {
    /// At an owner in this VM's zone, without waiting in a queue.
    OwnZone,
    /// At a VM in another zone, without waiting in a queue.
    OtherZone(ZoneId),
    /// At any owner, waiting in the owner's queue.
    Queue,
}

/// A search for a permit for one request.
#[derive(Debug)]
struct Search {
    request: PlacementRequest,
    started_ms: BootMs,
    /// Id of the outstanding `PermitAsk`; 0 for none.
    ask_id: u64,
    /// VM that was asked last.
    target: VmId,
    scope: Scope,
    /// Whether `target` is a member of this zone or was named by a redirect; a further redirect is
    /// not followed.
    redirected: bool,
    /// Time at which the outstanding ask was first sent.
    sent_ms: BootMs,
    resend_ms: BootMs,
    /// Time at which the outstanding ask times out, or a delayed search continues.
    expires_ms: BootMs,
    zones_left: VecDeque<ZoneId>,
    /// Retry delay of the last refusal, for the caller.
    retry_after_ms: u64,
    last_reason: RefusalReason,
}

/// A `PermitDone` that the owner has not acknowledged yet.
#[derive(Debug)]
struct UnackedDone {
    owner: VmId,
    done: PermitDone,
    resend_ms: BootMs,
    sends_left: u32,
}

/// This VM's searches for permits, and the ended permits that owners have not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    searches: BTreeMap<RequestKey, Search>,
    /// Requests by the id of their outstanding ask.
    key_by_ask: BTreeMap<u64, RequestKey>,
    /// Times of the asks sent to each owner, by route hash, since the owner's last heartbeat.
    recent_asks: BTreeMap<(VmId, u32), VecDeque<BootMs>>,
    /// Permits in use, by owner and permit id: a late duplicate of the answer that granted one must
    /// not return the permit.
    permits_in_use: BTreeSet<(VmId, u64)>,
    unacked_done: BTreeMap<(VmId, u64), UnackedDone>,
    /// VMs that did not answer in time, which are not asked until this time.
    backoff_until_ms: BTreeMap<VmId, BootMs>,
    /// Next ask id. Starts at the incarnation, so that ids of earlier processes are not reused.
    next_id: u64,
    outcomes: Vec<PlacementOutcome>,
}

impl Placement {
    pub(crate) fn new(incarnation: u64) -> Self {
        Placement { next_id: incarnation, ..Placement::default() }
    }

    /// Returns the outcomes decided since the last call.
    pub(crate) fn take_outcomes(&mut self) -> Vec<PlacementOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Starts a search for a permit; the result arrives through [`Placement::take_outcomes`].
    pub(crate) fn start_search(&mut self, ctx: &mut Context<'_>, request: PlacementRequest) {
        let (own_zone, zones_left) = zones_to_try(ctx, &request.route);
        let key = request.key;
        let search = Search {
            started_ms: ctx.now,
            ask_id: 0,
            target: ctx.identity.vm.clone(),
            scope: Scope::OwnZone,
            redirected: false,
            sent_ms: ctx.now,
            resend_ms: ctx.now,
            expires_ms: ctx.now,
            zones_left,
            retry_after_ms: MIN_RETRY_AFTER_MS,
            last_reason: RefusalReason::NoEndpoint,
            request,
        };
        self.searches.insert(key, search);
        match own_zone {
            true => self.search_own_zone(ctx, key),
            false => self.search_next_zone(ctx, key),
        }
    }

    /// Cancels the search for a request.
    pub(crate) fn cancel_search(&mut self, key: RequestKey) {
        if let Some(search) = self.searches.remove(&key) {
            self.key_by_ask.remove(&search.ask_id);
        }
    }

    /// Asks the owner in this zone with the most free capacity; continues with the other zones if
    /// none has any.
    fn search_own_zone(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        match self.best_owner(ctx, &search.request) {
            Some((owner, free)) if free > 0 => self.ask(ctx, key, owner, Scope::OwnZone, true),
            _ if !search.zones_left.is_empty() => self.search_next_zone(ctx, key),
            _ => self.wait_in_queue(ctx, key),
        }
    }

    /// Asks a VM in the next zone to try; waits in a queue if no zone is left.
    fn search_next_zone(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get_mut(&key) else { return };
        let Some(zone) = search.zones_left.pop_front() else { return self.wait_in_queue(ctx, key) };
        match self.pick_vm(ctx, &zone, key) {
            Some(vm) => self.ask(ctx, key, vm, Scope::OtherZone(zone), false),
            None => self.search_next_zone(ctx, key),
        }
    }

    /// Waits in the queue of an owner in this zone if the zone serves the route, otherwise in the
    /// queue of an owner in another zone that does.
    fn wait_in_queue(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        if ctx.now >= search.request.deadline_ms {
            return self.refuse(key);
        }
        let zones = zones_serving(ctx, &search.request.route);
        if zones.is_empty() {
            return self.refuse(key);
        }
        let own_zone_owner = match zones.contains(&ctx.identity.zone) {
            true => self.best_owner(ctx, &search.request).map(|(owner, _)| owner),
            false => None,
        };
        let first = ctx.rng.random_range(0..zones.len());
        let target = own_zone_owner.or_else(|| {
            let rotated = zones.iter().cycle().skip(first).take(zones.len());
            rotated
                .filter(|zone| **zone != ctx.identity.zone)
                .find_map(|z| self.pick_vm(ctx, z, key))
        });
        match target {
            Some(vm) => self.ask(ctx, key, vm, Scope::Queue, false),
            None => self.retry_later(ctx, key),
        }
    }

    /// Delays the search because no VM can be asked at the moment, or because the VM that was asked
    /// last offered no endpoint.
    fn retry_later(&mut self, ctx: &Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get_mut(&key) else { return };
        search.ask_id = 0;
        search.scope = Scope::Queue;
        search.expires_ms = (ctx.now + PERMIT_RESEND_MS).min(search.request.deadline_ms);
        search.resend_ms = BootMs(u64::MAX);
    }

    /// Ends a search with a refusal.
    fn refuse(&mut self, key: RequestKey) {
        let Some(search) = self.searches.remove(&key) else { return };
        self.key_by_ask.remove(&search.ask_id);
        let refusal = Refusal::not_run_retry_after(search.last_reason, search.retry_after_ms);
        self.outcomes.push(PlacementOutcome::Refused(key, refusal));
    }

    /// Returns the owner in this zone with the most free capacity for the route, after subtracting
    /// this VM's recent asks. An owner that is likely to have the prompt's prefix cached comes
    /// first while it has at least a quarter of the highest free capacity.
    fn best_owner(&self, ctx: &Context<'_>, request: &PlacementRequest) -> Option<(VmId, u32)> {
        let hash = route_hash(request.route.as_str());
        let recently_asked =
            |vm: &VmId| self.recent_asks.get(&(vm.clone(), hash)).map_or(0, |t| t.len() as u32);
        let mut owners: Vec<(VmId, u32)> = ctx
            .membership
            .free_slots(hash)
            .into_iter()
            .filter(|(vm, _)| !self.backoff_until_ms.contains_key(vm))
            .map(|(vm, free)| (vm.clone(), free.saturating_sub(recently_asked(&vm))))
            .collect();
        owners.sort_by_key(|(_, free)| std::cmp::Reverse(*free));
        let most_free = owners.first()?.1;
        if request.prefix_hash != 0 {
            let prefix = request.prefix_hash.to_string();
            let with_capacity =
                owners.iter().filter(|(_, free)| *free > 0 && free * 4 >= most_free);
            let cached = rendezvous::owner(&prefix, with_capacity.map(|(vm, _)| vm)).cloned();
            if let Some(found) = owners.iter().find(|(vm, _)| Some(vm) == cached.as_ref()) {
                return Some(found.clone());
            }
        }
        owners.first().cloned()
    }

    /// Returns a VM of `zone` that can be asked, chosen by a hash of the request key, so that
    /// requests are spread over the VMs.
    fn pick_vm(&self, ctx: &Context<'_>, zone: &ZoneId, key: RequestKey) -> Option<VmId> {
        let vms = ctx
            .vm_list
            .in_zone(zone)
            .filter(|(vm, record)| !record.leaving && !self.backoff_until_ms.contains_key(*vm));
        let hash_key = format!("{}/{}", key.entry, key.request);
        rendezvous::owner(&hash_key, vms.map(|(vm, _)| vm)).cloned()
    }

    /// Sends a new `PermitAsk` for the request to `target`.
    fn ask(
        &mut self,
        ctx: &mut Context<'_>,
        key: RequestKey,
        target: VmId,
        scope: Scope,
        redirected: bool,
    ) {
        let ask_id = self.next_id;
        self.next_id += 1;
        let Some(search) = self.searches.get_mut(&key) else { return };
        self.key_by_ask.remove(&search.ask_id);
        self.key_by_ask.insert(ask_id, key);
        let wait_ms = match scope {
            Scope::Queue => ctx.now.until(search.request.deadline_ms).min(QUEUE_SLICE_MS),
            Scope::OwnZone | Scope::OtherZone(_) => 0,
        };
        let is_zone_member =
            target == ctx.identity.vm || ctx.membership.other_members().contains(&target);
        search.ask_id = ask_id;
        search.redirected = redirected || is_zone_member;
        search.target = target.clone();
        search.scope = scope;
        search.sent_ms = ctx.now;
        search.resend_ms = ctx.now + PERMIT_RESEND_MS;
        search.expires_ms = ctx.now + wait_ms + PERMIT_ANSWER_TIMEOUT_MS;
        let hash = route_hash(search.request.route.as_str());
        self.recent_asks.entry((target, hash)).or_default().push_back(ctx.now);
        self.send_ask(ctx, key);
    }

    /// Sends the outstanding `PermitAsk`, for the first time or again.
    fn send_ask(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        let request = &search.request;
        let wait_ms = match search.scope {
            Scope::Queue => search.sent_ms.until(request.deadline_ms).min(QUEUE_SLICE_MS),
            Scope::OwnZone | Scope::OtherZone(_) => 0,
        };
        let ask = PermitAsk {
            ask_id: search.ask_id,
            route: request.route.to_string(),
            customer: request.customer.to_string(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix_hash: request.prefix_hash,
            exclude: request.excluded_endpoints.iter().map(EndpointId::to_string).collect(),
            wait_ms,
            suspect: request.is_crash_suspect,
            redirected: search.redirected,
            waited_ms: ctx.now.since(search.started_ms),
        };
        let target = search.target.clone();
        ctx.send(&target, Body::PermitAsk(ask));
    }

    /// Handles the answer to a permit request: a grant, a redirect to another VM or a refusal.
    pub(crate) fn on_answer(&mut self, ctx: &mut Context<'_>, from: &VmId, answer: &PermitAnswer) {
        let pending_key = self.key_by_ask.get(&answer.ask_id).copied();
        let Some(key) = pending_key else {
            let in_use = self.permits_in_use.contains(&(from.clone(), answer.permit_id));
            if answer.permit_id != 0 && !in_use {
                self.return_permit(ctx, from, answer);
            }
            return;
        };
        let Some(search) = self.searches.get_mut(&key) else { return };
        if let Ok(owner) = answer.owner_vm.parse::<VmId>() {
            if search.redirected {
                return self.continue_search(ctx, key);
            }
            let scope = search.scope.clone();
            return self.ask(ctx, key, owner, scope, true);
        }
        match answer.endpoint.parse::<EndpointId>() {
            Ok(endpoint) if answer.permit_id != 0 => {
                let use_until_ms = search.sent_ms + holder_lease_ms(answer.use_ms);
                let held = HeldPermit {
                    permit_id: answer.permit_id,
                    owner: from.clone(),
                    endpoint,
                    use_until_ms,
                };
                self.searches.remove(&key);
                self.key_by_ask.remove(&answer.ask_id);
                self.permits_in_use.insert((from.clone(), answer.permit_id));
                self.outcomes.push(PlacementOutcome::Granted(key, held));
            }
            _ => {
                search.retry_after_ms = answer.retry_after_ms.max(MIN_RETRY_AFTER_MS);
                search.last_reason = answer.refusal.parse().unwrap_or(RefusalReason::NoRoom);
                // An owner with a full queue answers with the maximum delay; the search ends then.
                let no_room = search.last_reason == RefusalReason::NoRoom;
                if no_room && answer.retry_after_ms >= crate::limits::MAX_RETRY_AFTER_MS {
                    return self.refuse(key);
                }
                self.continue_search(ctx, key);
            }
        }
    }

    /// Continues a search after a refusal or timeout.
    fn continue_search(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get(&key) else { return };
        match (&search.scope, search.zones_left.is_empty()) {
            (Scope::OwnZone | Scope::OtherZone(_), false) => self.search_next_zone(ctx, key),
            (Scope::OwnZone | Scope::OtherZone(_), true) => self.wait_in_queue(ctx, key),
            (Scope::Queue, _) if search.last_reason == RefusalReason::NoEndpoint => {
                self.retry_later(ctx, key);
            }
            (Scope::Queue, _) => self.restart_search(ctx, key),
        }
    }

    /// Searches all zones again after a limited wait in one queue.
    fn restart_search(&mut self, ctx: &mut Context<'_>, key: RequestKey) {
        let Some(search) = self.searches.get_mut(&key) else { return };
        if ctx.now >= search.request.deadline_ms {
            return self.refuse(key);
        }
        let (own_zone, zones_left) = zones_to_try(ctx, &search.request.route);
        search.zones_left = zones_left;
        match own_zone {
            true => self.search_own_zone(ctx, key),
            false => self.search_next_zone(ctx, key),
        }
    }

    /// Returns a permit that no request needs any more.
    fn return_permit(&mut self, ctx: &mut Context<'_>, owner: &VmId, answer: &PermitAnswer) {
        let done = PermitDone {
            permit_id: answer.permit_id,
            endpoint: answer.endpoint.clone(),
            tokens: 0,
            end: PermitEnd::Stopped as i32,
        };
        self.send_done(ctx, owner, done);
    }

    /// Reports the end of a request with `tokens` output tokens to the owner that granted the
    /// permit. `stopped` tells whether the endpoint has certainly stopped running the request.
    pub(crate) fn end_permit(
        &mut self,
        ctx: &mut Context<'_>,
        held: &HeldPermit,
        tokens: u32,
        stopped: bool,
    ) {
        self.permits_in_use.remove(&(held.owner.clone(), held.permit_id));
        let end = if stopped { PermitEnd::Stopped } else { PermitEnd::Unknown };
        let done = PermitDone {
            permit_id: held.permit_id,
            endpoint: held.endpoint.to_string(),
            tokens,
            end: end as i32,
        };
        self.send_done(ctx, &held.owner, done);
    }

    /// Sends a `PermitDone`, which is sent again until the owner acknowledges it.
    fn send_done(&mut self, ctx: &mut Context<'_>, owner: &VmId, done: PermitDone) {
        ctx.send(owner, Body::PermitDone(done.clone()));
        let unacked = UnackedDone {
            owner: owner.clone(),
            resend_ms: ctx.now + PERMIT_DONE_RESEND_MS,
            sends_left: MAX_DONE_RESENDS,
            done,
        };
        self.unacked_done.insert((owner.clone(), unacked.done.permit_id), unacked);
    }

    /// Handles an owner's acknowledgement of an ended permit.
    pub(crate) fn on_done_ack(&mut self, from: &VmId, permit_id: u64) {
        self.unacked_done.remove(&(from.clone(), permit_id));
    }

    /// Returns the number of ended permits that owners have not acknowledged yet.
    pub(crate) fn unacked_done_count(&self) -> usize {
        self.unacked_done.len()
    }

    /// Handles new free capacity of `vm`, another VM or this one. It accounts for the earlier asks
    /// already, so they are no longer subtracted.
    pub(crate) fn on_free_slots(&mut self, vm: &VmId) {
        self.recent_asks.retain(|(owner, _), _| owner != vm);
    }

    /// Handles timeouts and resends.
    pub(crate) fn on_tick(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        self.backoff_until_ms.retain(|_, until_ms| *until_ms > now);
        self.recent_asks.retain(|_, times| {
            times.retain(|at| now.since(*at) < PERMIT_VALIDITY_MS);
            !times.is_empty()
        });
        let due: Vec<RequestKey> = self
            .searches
            .iter()
            .filter(|(_, search)| now >= search.expires_ms || now >= search.resend_ms)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(search) = self.searches.get_mut(&key) else { continue };
            match now >= search.expires_ms {
                false => {
                    search.resend_ms = now + PERMIT_RESEND_MS;
                    self.send_ask(ctx, key);
                }
                true if search.ask_id == 0 => self.wait_in_queue(ctx, key),
                true => {
                    let until_ms = now + UNRESPONSIVE_BACKOFF_MS;
                    self.backoff_until_ms.insert(search.target.clone(), until_ms);
                    self.key_by_ask.remove(&search.ask_id);
                    self.continue_search(ctx, key);
                }
            }
        }
        self.resend_done(ctx);
    }

    /// Sends unacknowledged `PermitDone` messages again, up to [`MAX_DONE_RESENDS`] times each.
    fn resend_done(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        for unacked in self.unacked_done.values_mut().filter(|unacked| now >= unacked.resend_ms) {
            unacked.resend_ms = now + PERMIT_DONE_RESEND_MS.max(SHARE_LEASE_MS / 8);
            unacked.sends_left = unacked.sends_left.saturating_sub(1);
            ctx.send(&unacked.owner, Body::PermitDone(unacked.done.clone()));
        }
        self.unacked_done.retain(|_, unacked| unacked.sends_left > 0);
    }
}

/// Returns whether this zone serves `route`, and up to [`MAX_ZONES_PER_SEARCH`] other zones that
/// do, in random order.
fn zones_to_try(ctx: &mut Context<'_>, route: &RouteId) -> (bool, VecDeque<ZoneId>) {
    let zones = zones_serving(ctx, route);
    let own_zone = zones.contains(&ctx.identity.zone);
    let mut others: Vec<ZoneId> = zones.into_iter().filter(|z| *z != ctx.identity.zone).collect();
    for index in (1..others.len()).rev() {
        others.swap(index, ctx.rng.random_range(0..=index));
    }
    (own_zone, others.into_iter().take(MAX_ZONES_PER_SEARCH).collect())
}

/// Returns the zones with an endpoint in service for `route`.
fn zones_serving(ctx: &Context<'_>, route: &RouteId) -> Vec<ZoneId> {
    let serving = ctx.config.endpoints.values().filter(|spec| spec.routes.contains(route));
    let zones: BTreeSet<&ZoneId> =
        serving.filter(|spec| ctx.config.in_service(spec)).map(|spec| &spec.zone).collect();
    zones.into_iter().cloned().collect()
}
