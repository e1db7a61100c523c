//! The state machine of one VM: dispatches each event to the components that handle it, forwards
//! their results to each other and returns the actions to carry out.

use crate::Identity;
use crate::admission::{Requests, Stage};
use crate::adoption::Adoption;
use crate::context::{Context, OutgoingMessage};
use crate::event::{Action, Event};
use crate::idempotency::Idempotency;
use crate::limits::{
    CRASH_NOTICE_INTERVAL_MS, HELLO_INTERVAL_MS, JOIN_TIMEOUT_MS, SHARE_LEASE_MS,
    STARTUP_HELLO_INTERVAL_MS,
};
use crate::membership::{Activity, Membership};
use crate::permits::Permits;
use crate::placement::Placement;
use crate::shares::RateShares;
use crate::status::{CustomerStatus, EndpointStatus, NodeStatus};
use crate::vm_list::VmList;
use gypsumchute_config::FleetConfig;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{CrashNotice, Hello, PeerFrame};
use gypsumchute_routing::poison::PoisonTracker;
use gypsumchute_units::{BootMs, EndpointId, Fingerprint, VmId, ZoneId};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of rounds of processing after one event. Work that is still pending then waits
/// for the next event.
const MAX_PROCESSING_ROUNDS: usize = 64;
/// Maximum retry budget of a VM, in retries.
pub(crate) const MAX_RETRY_BUDGET: f64 = 50.0;

/// The state machine of one VM.
#[derive(Debug)]
pub struct Node {
    /// Name, zone and incarnation of this VM.
    pub(crate) identity: Identity,
    /// Time of the event that is being handled.
    pub(crate) now: BootMs,
    pub(crate) adoption: Adoption,
    pub(crate) membership: Membership,
    pub(crate) shares: RateShares,
    pub(crate) permits: Permits,
    pub(crate) placement: Placement,
    pub(crate) idempotency: Idempotency,
    pub(crate) poison: PoisonTracker,
    pub(crate) requests: Requests,
    pub(crate) rng: StdRng,
    /// Messages to other VMs and to this VM that are not sent yet.
    pub(crate) outbox: VecDeque<OutgoingMessage>,
    /// Actions to return from the current call of [`Node::handle`].
    pub(crate) actions: Vec<Action>,
    /// Number of retries that may still be started.
    pub(crate) retry_budget: f64,
    /// Highest incarnation received from each VM.
    peer_incarnations: BTreeMap<VmId, u64>,
    /// Time at which the next hello to another zone is due.
    next_hello_ms: BootMs,
    /// Time at which the notices of poison requests are repeated next.
    next_crash_notices_ms: BootMs,
    /// Endpoints in the last [`Action::PollLoad`].
    polled_endpoints: Vec<(EndpointId, SocketAddr)>,
    /// Time from which this VM may use the base shares that it owned when it first became active;
    /// `None` until then.
    shares_usable_from_ms: Option<BootMs>,
}

/// Builds a [`Context`] by borrowing the fields of a node one by one, so that the component that
/// is called can be borrowed mutably at the same time.
macro_rules! context {
    ($node:ident) => {
        Context {
            now: $node.now,
            identity: &$node.identity,
            config: $node.adoption.config(),
            vm_list: $node.adoption.list(),
            membership: &$node.membership,
            rng: &mut $node.rng,
            outbox: &mut $node.outbox,
        }
    };
}
pub(crate) use context;

impl Node {
    /// Returns the state of a VM whose process starts at `now`. With `fresh_fleet`, no process of
    /// an earlier fleet is alive, so the node does not wait for earlier leases to expire.
    pub fn new(identity: Identity, now: BootMs, seed: u64, fresh_fleet: bool) -> Self {
        Node {
            now,
            adoption: Adoption::new(now),
            membership: Membership::new(identity.clone(), now, fresh_fleet),
            shares: RateShares::new(identity.incarnation, fresh_fleet),
            permits: Permits::new(identity.incarnation, fresh_fleet),
            placement: Placement::new(identity.incarnation),
            idempotency: Idempotency::new(identity.incarnation),
            poison: PoisonTracker::default(),
            requests: Requests::default(),
            rng: StdRng::seed_from_u64(seed),
            outbox: VecDeque::new(),
            actions: Vec::new(),
            retry_budget: MAX_RETRY_BUDGET,
            peer_incarnations: BTreeMap::new(),
            next_hello_ms: now,
            next_crash_notices_ms: now,
            polled_endpoints: Vec::new(),
            shares_usable_from_ms: None,
            identity,
        }
    }

    /// Handles an event that happened at `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: BootMs, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.recheck_leases();
        match event {
            Event::Tick => self.on_tick(),
            Event::Peer(frame) => self.on_frame(frame),
            Event::Admit(admit) => self.on_admit(admit),
            Event::Adopt(admit, customer) => self.on_adopt(admit, customer),
            Event::Retry(retry) => self.on_retry(retry),
            Event::Finished(finished) => self.on_finished(finished),
            Event::EntryDisconnected(entry) => self.on_entry_gone(entry),
            Event::Config(config) => self.on_config(config),
            Event::ConfigRefused(version) => self.adoption.on_refused(version),
            Event::ConfigConfirmed(version) => self.adoption.on_confirmed(self.now, version),
            Event::VmList(list) => self.on_list(list),
            Event::LoadReported(endpoint, report) => {
                self.permits.on_report(&mut context!(self), &endpoint, report);
            }
            // Load reports show which model is loaded; see `Permits::due_orders`.
            Event::OrderDone(..) => {}
            Event::Drain => self.on_drain(),
        }
        self.process_pending();
        std::mem::take(&mut self.actions)
    }

    /// Checks whether this VM may still act, before any decision: if the VM was suspended since
    /// the last event, its leases may have expired.
    fn recheck_leases(&mut self) {
        self.membership.on_tick(self.now);
        if let Some(activity) = self.membership.update_activity(self.now) {
            self.on_activity(activity);
        }
    }

    /// Notifies the components that this VM has become active or inactive.
    fn on_activity(&mut self, activity: Activity) {
        self.shares.on_activity(&mut context!(self), activity);
        if self.shares_usable_from_ms.is_none() {
            self.shares_usable_from_ms = Some(self.shares.base_shares_usable_from_ms(self.now));
        }
        self.permits.on_activity(&context!(self), activity);
        self.idempotency.on_activity(activity);
    }

    /// Does the periodic work of all components.
    fn on_tick(&mut self) {
        self.shares.on_tick(&mut context!(self));
        self.idempotency.on_tick(&mut context!(self));
        self.placement.on_tick(&mut context!(self));
        self.permits.process_queue(&mut context!(self));
        self.poison.expire(self.now);
        let live = self.membership.live_vms(self.now);
        if let Some(reads) = self.adoption.on_tick(self.now, &self.identity.vm, &live) {
            self.actions.push(Action::ReadPlatform(reads));
        }
        let orders = self.permits.due_orders(&context!(self));
        self.actions.extend(orders);
        self.update_free_slots();
        self.send_hello();
        self.repeat_crash_notices();
    }

    /// Updates the number of free slots at the endpoints that this VM owns.
    fn update_free_slots(&mut self) {
        let free_slots = self.permits.free_slots_by_route(&context!(self));
        self.membership.set_own_free_slots(&free_slots);
        self.placement.on_free_slots(&self.identity.vm);
    }

    /// Sends a hello to a random VM of another zone when one is due.
    fn send_hello(&mut self) {
        if self.now < self.next_hello_ms {
            return;
        }
        let recently_started = self.now.since(self.membership.started_ms()) < JOIN_TIMEOUT_MS;
        self.next_hello_ms =
            self.now + if recently_started { STARTUP_HELLO_INTERVAL_MS } else { HELLO_INTERVAL_MS };
        let list = self.adoption.list();
        let others: Vec<&VmId> = list
            .vms
            .iter()
            .filter(|(_, record)| record.zone != self.identity.zone)
            .map(|(vm, _)| vm)
            .collect();
        if others.is_empty() {
            return;
        }
        let to = others[self.rng.random_range(0..others.len())].clone();
        let version = self.adoption.config().version;
        let zone_version = self.membership.lowest_config_version(self.now, version);
        let hello = Hello { zone: self.identity.zone.to_string(), zone_version };
        self.outbox.push_back(OutgoingMessage { to, body: Body::Hello(hello) });
    }

    /// Puts a configuration in force if it is newer, and applies it to all components.
    fn on_config(&mut self, config: Arc<FleetConfig>) {
        if !self.adoption.on_config(self.now, config) {
            return;
        }
        self.adoption.on_fetched(self.now);
        self.shares.on_config(&mut context!(self));
        self.permits.refresh_owned_endpoints(&context!(self), true);
        self.recheck_requests();
        self.permits.process_queue(&mut context!(self));
    }

    /// Puts a VM list in force if it is newer. Permits of VMs that are not in it are dropped, and
    /// this VM drains if the list announces its termination.
    fn on_list(&mut self, list: VmList) {
        if !self.adoption.on_list(list) {
            return;
        }
        let list = self.adoption.list();
        self.membership.on_list(self.now, list);
        let removed: Vec<VmId> = self
            .peer_incarnations
            .keys()
            .filter(|vm| !list.vms.contains_key(*vm))
            .cloned()
            .collect();
        let leaving = list.vms.get(&self.identity.vm).is_some_and(|record| record.leaving);
        for vm in removed {
            self.peer_incarnations.remove(&vm);
            self.permits.on_vm_terminated(self.now, &vm, None);
        }
        if leaving && !self.membership.is_draining() {
            self.on_drain();
        }
    }

    /// Starts a graceful shutdown.
    fn on_drain(&mut self) {
        self.membership.start_draining(self.now);
        self.recheck_leases();
        self.shares.return_borrowed_leases(&mut context!(self));
        self.refuse_for_drain();
    }

    /// Handles a datagram from another VM. Datagrams of an earlier incarnation are ignored.
    fn on_frame(&mut self, frame: PeerFrame) {
        let Ok(from) = frame.from_vm.parse::<VmId>() else { return };
        let known = self.peer_incarnations.get(&from).copied().unwrap_or(0);
        match frame.from_incarnation.cmp(&known) {
            std::cmp::Ordering::Less => return,
            std::cmp::Ordering::Equal => {}
            std::cmp::Ordering::Greater => {
                self.peer_incarnations.insert(from.clone(), frame.from_incarnation);
                self.permits.on_vm_terminated(self.now, &from, Some(frame.from_incarnation));
            }
        }
        self.fetch_newer_versions(&from, &frame);
        if let Some(body) = frame.body {
            self.on_body(&from, frame.from_incarnation, body);
        }
    }

    /// Fetches the configuration and the VM list from `from` if its versions are newer.
    fn fetch_newer_versions(&mut self, from: &VmId, frame: &PeerFrame) {
        let (fetch_config, fetch_list) = self.adoption.on_peer_versions(
            self.now,
            frame.config_version,
            frame.config_age_ms,
            frame.list_version,
        );
        let Some(record) = self.adoption.list().vms.get(from) else { return };
        if fetch_config {
            self.actions.push(Action::FetchConfig(record.address));
        }
        if fetch_list {
            self.actions.push(Action::FetchVmList(record.address));
        }
    }

    /// Dispatches a message from another VM, or from this VM to itself.
    fn on_body(&mut self, from: &VmId, incarnation: u64, body: Body) {
        let mut ctx = context!(self);
        match body {
            Body::Heartbeat(heartbeat) => {
                if self.membership.on_heartbeat(self.now, from, incarnation, &heartbeat) {
                    self.placement.on_free_slots(from);
                    self.recheck_leases();
                }
            }
            Body::Hello(hello) => {
                if let Ok(zone) = hello.zone.parse::<ZoneId>() {
                    self.shares.on_zone_version(zone, hello.zone_version);
                }
            }
            Body::ShareAsk(ask) => self.shares.on_ask(&mut ctx, from, &ask),
            Body::ShareAnswer(answer) => self.shares.on_answer(&mut ctx, from, &answer),
            Body::ShareRenew(renew) => self.shares.on_renew(&mut ctx, from, &renew),
            Body::ShareRenewed(renewed) => self.shares.on_renewed(&mut ctx, from, &renewed),
            Body::ShareRecall(recall) => self.shares.on_recall(&mut ctx, from, &recall),
            Body::ShareReturn(back) => self.shares.on_return(&mut ctx, from, &back),
            Body::PermitAsk(ask) => self.permits.on_ask(&mut ctx, from, incarnation, &ask),
            Body::PermitAnswer(answer) => self.placement.on_answer(&mut ctx, from, &answer),
            Body::PermitDone(done) => self.permits.on_done(&mut ctx, from, &done),
            Body::PermitDoneAck(ack) => self.placement.on_done_ack(from, ack.permit_id),
            Body::KeyClaim(claim) => self.idempotency.on_claim(&mut ctx, from, incarnation, &claim),
            Body::KeyClaimAnswer(answer) => self.idempotency.on_answer(&mut ctx, from, &answer),
            Body::KeyOutcome(outcome) => self.idempotency.on_outcome(&mut ctx, from, &outcome),
            Body::KeyOutcomeAck(ack) => self.idempotency.on_outcome_ack(&mut ctx, &ack),
            Body::KeyCopy(copy) => self.idempotency.on_copy(&mut ctx, from, &copy),
            Body::KeyCopyAck(ack) => self.idempotency.on_copy_ack(&mut ctx, &ack),
            Body::CrashNotice(notice) => self.on_crash_notice(&notice),
        }
    }

    /// Records crashes that another VM reports, and refuses the request that caused them if it is
    /// now known as a poison request.
    fn on_crash_notice(&mut self, notice: &CrashNotice) {
        let crashes = notice
            .crashes
            .iter()
            .filter_map(|(id, endpoint)| Some((*id, endpoint.parse::<EndpointId>().ok()?)));
        let fingerprint = Fingerprint(notice.fingerprint);
        self.poison.record_crashes(self.now, fingerprint, crashes, notice.keep_ms);
        self.refuse_poisoned(fingerprint);
    }

    /// Returns the notice of the known crashes of a request.
    fn crash_notice(&self, fingerprint: Fingerprint) -> CrashNotice {
        let (crashes, keep_ms) = self.poison.crashes(self.now, fingerprint);
        let crashes =
            crashes.into_iter().map(|(id, endpoint)| (id, endpoint.to_string())).collect();
        CrashNotice { fingerprint: fingerprint.0, crashes, keep_ms }
    }

    /// Repeats the notices of poison requests to a random VM when that is due. A VM that was down
    /// or cut off when the endpoints crashed learns of them in this way.
    fn repeat_crash_notices(&mut self) {
        if self.now < self.next_crash_notices_ms {
            return;
        }
        self.next_crash_notices_ms = self.now + CRASH_NOTICE_INTERVAL_MS;
        let refused = self.poison.refused_requests(self.now);
        let refused: Vec<_> = refused.map(|(poison, _)| poison.fingerprint).collect();
        if refused.is_empty() {
            return;
        }
        let others = self.adoption.list().vms.keys().filter(|vm| **vm != self.identity.vm);
        let Some(to) = others.choose(&mut self.rng).cloned() else { return };
        for fingerprint in refused {
            let body = Body::CrashNotice(self.crash_notice(fingerprint));
            self.outbox.push_back(OutgoingMessage { to: to.clone(), body });
        }
    }

    /// Sends the known crashes of a request to every other VM. Crashes are rare, so one message
    /// per VM is affordable.
    pub(crate) fn broadcast_crash(&mut self, fingerprint: Fingerprint) {
        let notice = self.crash_notice(fingerprint);
        let others = self.adoption.list().vms.keys().filter(|vm| **vm != self.identity.vm);
        for to in others {
            let body = Body::CrashNotice(notice.clone());
            self.outbox.push_back(OutgoingMessage { to: to.clone(), body });
        }
    }

    /// Processes everything that follows from an event: messages of this VM to itself, outcomes of
    /// the components for requests, and heartbeats that are due.
    fn process_pending(&mut self) {
        for _ in 0..MAX_PROCESSING_ROUNDS {
            let was_delivered = self.flush_outbox();
            let has_outcomes = self.apply_outcomes();
            if !was_delivered && !has_outcomes {
                break;
            }
        }
        self.send_due_heartbeats();
        self.flush_outbox();
        let polled = self.permits.endpoints_to_poll(&context!(self));
        if polled != self.polled_endpoints {
            self.polled_endpoints = polled.clone();
            self.actions.push(Action::PollLoad(polled));
        }
    }

    /// Queues a heartbeat to each VM of the zone when heartbeats are due.
    fn send_due_heartbeats(&mut self) {
        if !self.membership.heartbeats_due(self.now) {
            return;
        }
        let free_slots = self.permits.free_slots_by_route(&context!(self));
        let version = self.adoption.config().version;
        for (to, heartbeat) in self.membership.take_heartbeats(self.now, &free_slots, version) {
            self.outbox.push_back(OutgoingMessage { to, body: Body::Heartbeat(heartbeat) });
        }
    }

    /// Sends the queued messages; returns whether any of them was addressed to this VM. Messages to
    /// this VM can queue further ones, so the number of messages per call is bounded.
    fn flush_outbox(&mut self) -> bool {
        let mut handled_locally = false;
        for _ in 0..MAX_PROCESSING_ROUNDS * MAX_PROCESSING_ROUNDS {
            let Some(message) = self.outbox.pop_front() else { break };
            match message.to == self.identity.vm {
                true => {
                    handled_locally = true;
                    let me = self.identity.clone();
                    self.on_body(&me.vm, me.incarnation, message.body);
                }
                false => self.send_to_peer(message),
            }
        }
        handled_locally
    }

    /// Emits a datagram with the message and the versions of this VM. Messages to VMs that are not
    /// in the VM list are dropped.
    fn send_to_peer(&mut self, message: OutgoingMessage) {
        let Some(record) = self.adoption.list().vms.get(&message.to) else { return };
        let frame = PeerFrame {
            from_vm: self.identity.vm.to_string(),
            from_incarnation: self.identity.incarnation,
            config_version: self.adoption.config().version,
            list_version: self.adoption.list().version,
            config_age_ms: self.adoption.age_ms(self.now),
            body: Some(message.body),
        };
        let address = record.address;
        self.actions.push(Action::Send { to: message.to, address, frame });
    }

    /// Reports whether this VM can serve requests now: the configuration in force allows it, the VM
    /// is not draining, and it has joined its zone. A VM has joined once its first base shares are
    /// usable and no increase of the zone's fraction is pending; if it has not joined after
    /// [`JOIN_TIMEOUT_MS`], it serves all the same.
    pub fn is_ready(&self) -> bool {
        let has_joined = self.shares_usable_from_ms.is_some_and(|from_ms| self.now >= from_ms)
            && self.shares.has_settled_fraction();
        let has_joined =
            has_joined || self.now.since(self.membership.started_ms()) > JOIN_TIMEOUT_MS;
        self.adoption.may_serve(self.now) && !self.membership.is_draining() && has_joined
    }

    /// Returns the members of the active view at `now`, including this VM; empty while no view is
    /// active.
    pub fn active_members(&self, now: BootMs) -> Vec<VmId> {
        let view = self.membership.active_view(now);
        view.into_iter().flat_map(|view| view.members().cloned()).collect()
    }

    /// Reports whether this VM is shutting down gracefully.
    pub fn is_draining(&self) -> bool {
        self.membership.is_draining()
    }

    /// Reports whether graceful shutdown has completed all requests and delivered all permit ends
    /// and idempotency outcomes. Leases on lent rate shares are not waited for here: they expire
    /// within [`DRAIN_LINGER_MS`]. The heartbeats of a draining VM support no view.
    pub fn is_drained(&self) -> bool {
        self.membership.is_draining()
            && self.requests.by_key.is_empty()
            && self.placement.unacked_done_count() == 0
            && self.idempotency.pending_outcome_count() == 0
    }

    /// Returns the largest request body that any route accepts, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        let routes = self.adoption.config().routes.values();
        routes.map(|route| route.max_body_bytes).max().unwrap_or(0)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.adoption.config().version
    }

    /// Returns the VM list in force.
    pub fn vm_list(&self) -> &VmList {
        self.adoption.list()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        self.adoption.config()
    }

    /// Returns a snapshot of the state of this VM for operators.
    pub fn status(&mut self) -> NodeStatus {
        let context = context!(self);
        let view = self.membership.active_view(self.now);
        let members = view.into_iter().flat_map(|view| view.members().cloned()).collect();
        let endpoints = self
            .permits
            .endpoint_usage(&context)
            .into_iter()
            .map(|(id, (in_flight, limit))| (id, EndpointStatus { in_flight, limit }))
            .collect();
        let customers = self.adoption.config().customers.keys();
        let customers = customers
            .map(|customer| {
                let (level, capacity, rate) = self.shares.bucket_status(customer);
                let status = CustomerStatus {
                    level_tokens: level.as_tokens(),
                    capacity_tokens: capacity.as_tokens(),
                    rate_per_s: rate.into(),
                };
                (customer.clone(), status)
            })
            .collect();
        let running = |stage: &Stage| matches!(stage, Stage::Running(_));
        let requests = self.requests.by_key.values();
        NodeStatus {
            vm: self.identity.vm.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.identity.incarnation,
            ready: self.is_ready(),
            draining: self.membership.is_draining(),
            config_version: self.config_version(),
            config_age_ms: self.adoption.age_ms(self.now),
            list_version: self.adoption.list().version,
            acting_members: members,
            requests_waiting: requests.clone().filter(|r| !running(&r.stage)).count(),
            requests_running: requests.filter(|r| running(&r.stage)).count(),
            endpoints,
            customers,
        }
    }
}

/// Time for which a VM keeps running after it has drained, so that the rate-share leases that it
/// lent or borrowed expire, in milliseconds.
pub const DRAIN_LINGER_MS: u64 = SHARE_LEASE_MS;
