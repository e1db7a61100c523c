//! One VM's decisions: takes events, keeps all parts in step and returns what is to be done.

use crate::Identity;
use crate::admission::{Requests, Stage};
use crate::adoption::Adoption;
use crate::context::{Context, Outgoing};
use crate::event::{Action, Event};
use crate::idempotency::Idempotency;
use crate::limits::{HELLO_MS, HELLO_YOUNG_MS, JOIN_WAIT_MS, SHARE_LEASE_MS};
use crate::membership::{Activity, Membership};
use crate::permits::Permits;
use crate::placement::Placement;
use crate::shares::Shares;
use crate::status::{CustomerStatus, EndpointStatus, NodeStatus};
use crate::vm_list::VmList;
use gypsumchute_config::FleetConfig;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_proto::peer::{CrashNotice, Hello, PeerFrame};
use gypsumchute_routing::poison::Poison;
use gypsumchute_units::{BootMs, EndpointId, VmId, ZoneId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Rounds in which consequences of one event are worked off before the rest waits for the next.
const MAX_ROUNDS: usize = 64;
/// Retries that a VM saves up at most.
pub(crate) const RETRY_BUDGET_MAX: f64 = 50.0;

/// What one VM decides.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: Identity,
    pub(crate) now: BootMs,
    pub(crate) adoption: Adoption,
    pub(crate) members: Membership,
    pub(crate) shares: Shares,
    pub(crate) permits: Permits,
    pub(crate) placement: Placement,
    pub(crate) keys: Idempotency,
    pub(crate) poison: Poison,
    pub(crate) requests: Requests,
    pub(crate) rng: StdRng,
    pub(crate) outbox: VecDeque<Outgoing>,
    pub(crate) actions: Vec<Action>,
    pub(crate) retry_budget: f64,
    incarnations: BTreeMap<VmId, u64>,
    next_hello_ms: BootMs,
    polled: Vec<(EndpointId, SocketAddr)>,
    shares_from_ms: Option<BootMs>,
}

/// The surroundings of a decision, borrowed field by field from a node.
macro_rules! context {
    ($node:ident) => {
        Context {
            now: $node.now,
            me: &$node.me,
            config: $node.adoption.config(),
            list: $node.adoption.list(),
            members: &$node.members,
            rng: &mut $node.rng,
            outbox: &mut $node.outbox,
        }
    };
}
pub(crate) use context;

impl Node {
    /// A VM whose process starts at `now`. `fresh_fleet` says that no process of an earlier fleet
    /// is alive, so that nothing need be waited out.
    pub fn new(me: Identity, now: BootMs, seed: u64, fresh_fleet: bool) -> Self {
        Node {
            now,
            adoption: Adoption::new(now),
            members: Membership::new(me.clone(), now, fresh_fleet),
            shares: Shares::new(me.incarnation, fresh_fleet),
            permits: Permits::new(me.incarnation, fresh_fleet),
            placement: Placement::new(me.incarnation),
            keys: Idempotency::new(me.incarnation),
            poison: Poison::default(),
            requests: Requests::default(),
            rng: StdRng::seed_from_u64(seed),
            outbox: VecDeque::new(),
            actions: Vec::new(),
            retry_budget: RETRY_BUDGET_MAX,
            incarnations: BTreeMap::new(),
            next_hello_ms: now,
            polled: Vec::new(),
            shares_from_ms: None,
            me,
        }
    }

    /// Takes in an event that happened at `now` and returns what is to be done.
    pub fn handle(&mut self, now: BootMs, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.follow_clock();
        match event {
            Event::Tick => self.on_tick(),
            Event::Peer(frame) => self.on_frame(frame),
            Event::Admit(admit) => self.on_admit(admit),
            Event::Adopt(admit, customer) => self.on_adopt(admit, customer),
            Event::Retry(retry) => self.on_retry(retry),
            Event::Finished(finished) => self.on_finished(finished),
            Event::EntryGone(entry) => self.on_entry_gone(entry),
            Event::Config(config) => self.on_config(config),
            Event::ConfigRefused(version) => self.adoption.on_refused(version),
            Event::ConfigConfirmed(version) => self.adoption.on_confirmed(self.now, version),
            Event::List(list) => self.on_list(list),
            Event::Load(endpoint, report) => {
                self.permits.on_report(&mut context!(self), &endpoint, report);
            }
            Event::OrderDone(..) => {}
            Event::Drain => self.on_drain(),
        }
        self.settle();
        std::mem::take(&mut self.actions)
    }

    /// Re-checks whether this VM may act, before anything is decided: it may have slept.
    fn follow_clock(&mut self) {
        self.members.on_tick(self.now);
        if let Some(activity) = self.members.update_activity(self.now) {
            self.on_activity(activity);
        }
    }

    fn on_activity(&mut self, activity: Activity) {
        self.shares.on_activity(&mut context!(self), activity);
        if self.shares_from_ms.is_none() {
            self.shares_from_ms = Some(self.shares.usable_from_ms(self.now));
        }
        self.permits.on_activity(&context!(self), activity);
        self.keys.on_activity(activity);
    }

    fn on_tick(&mut self) {
        self.shares.on_tick(&mut context!(self));
        self.keys.on_tick(&mut context!(self));
        self.placement.on_tick(&mut context!(self));
        self.permits.drain_queue(&mut context!(self));
        self.poison.on_tick(self.now);
        let live = self.members.live(self.now);
        if let Some(reads) = self.adoption.on_tick(self.now, &self.me.vm, &live) {
            self.actions.push(Action::ReadPlatform(reads));
        }
        let orders = self.permits.orders(&context!(self));
        self.actions.extend(orders);
        self.note_rooms();
        self.say_hello();
    }

    fn note_rooms(&mut self) {
        let rooms = self.permits.rooms(&context!(self));
        self.members.set_own_free_slots(&rooms);
        self.placement.on_rooms(&self.me.vm);
    }

    /// Sends a sign of life to one VM of another zone, each time to another one.
    fn say_hello(&mut self) {
        if self.now < self.next_hello_ms {
            return;
        }
        let young = self.now.since(self.members.started_ms()) < JOIN_WAIT_MS;
        self.next_hello_ms = self.now + if young { HELLO_YOUNG_MS } else { HELLO_MS };
        let list = self.adoption.list();
        let others: Vec<&VmId> = list
            .vms
            .iter()
            .filter(|(_, record)| record.zone != self.me.zone)
            .map(|(vm, _)| vm)
            .collect();
        if others.is_empty() {
            return;
        }
        let to = others[self.rng.random_range(0..others.len())].clone();
        let version = self.adoption.config().version;
        let zone_version = self.members.zone_version(self.now, version);
        let hello = Hello { zone: self.me.zone.to_string(), zone_version };
        self.outbox.push_back(Outgoing { to, body: Body::Hello(hello) });
    }

    fn on_config(&mut self, config: Arc<FleetConfig>) {
        if !self.adoption.on_config(self.now, config) {
            return;
        }
        self.adoption.on_fetched(self.now);
        self.shares.on_config(&mut context!(self));
        self.permits.refresh(&context!(self), true);
        self.recheck_requests();
        self.permits.drain_queue(&mut context!(self));
    }

    fn on_list(&mut self, list: VmList) {
        if !self.adoption.on_list(list) {
            return;
        }
        let list = self.adoption.list();
        self.members.on_list(self.now, list);
        let gone: Vec<VmId> =
            self.incarnations.keys().filter(|vm| !list.vms.contains_key(*vm)).cloned().collect();
        let leaving = list.vms.get(&self.me.vm).is_some_and(|record| record.leaving);
        for vm in gone {
            self.incarnations.remove(&vm);
            self.permits.on_vm_gone(self.now, &vm, None);
        }
        if leaving && !self.members.is_draining() {
            self.on_drain();
        }
    }

    fn on_drain(&mut self) {
        self.members.start_draining(self.now);
        self.follow_clock();
        self.shares.return_all(&mut context!(self));
        self.refuse_waiting();
    }

    fn on_frame(&mut self, frame: PeerFrame) {
        let Ok(from) = frame.from_vm.parse::<VmId>() else { return };
        let known = self.incarnations.get(&from).copied().unwrap_or(0);
        match frame.from_incarnation.cmp(&known) {
            std::cmp::Ordering::Less => return,
            std::cmp::Ordering::Equal => {}
            std::cmp::Ordering::Greater => {
                self.incarnations.insert(from.clone(), frame.from_incarnation);
                self.permits.on_vm_gone(self.now, &from, Some(frame.from_incarnation));
            }
        }
        self.follow_versions(&from, &frame);
        if let Some(body) = frame.body {
            self.on_body(&from, frame.from_incarnation, body);
        }
    }

    fn follow_versions(&mut self, from: &VmId, frame: &PeerFrame) {
        let (config, list) = self.adoption.on_peer_versions(
            self.now,
            frame.config_version,
            frame.config_age_ms,
            frame.list_version,
        );
        let Some(record) = self.adoption.list().vms.get(from) else { return };
        if config {
            self.actions.push(Action::FetchConfig(record.address));
        }
        if list {
            self.actions.push(Action::FetchList(record.address));
        }
    }

    fn on_body(&mut self, from: &VmId, incarnation: u64, body: Body) {
        let mut ctx = context!(self);
        match body {
            Body::Heartbeat(beat) => {
                if self.members.on_heartbeat(self.now, from, incarnation, &beat) {
                    self.placement.on_rooms(from);
                    self.follow_clock();
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
            Body::KeyClaim(claim) => self.keys.on_claim(&mut ctx, from, incarnation, &claim),
            Body::KeyClaimAnswer(answer) => self.keys.on_claim_answer(&mut ctx, from, &answer),
            Body::KeyOutcome(outcome) => self.keys.on_outcome(&mut ctx, from, &outcome),
            Body::KeyOutcomeAck(ack) => self.keys.on_outcome_ack(&mut ctx, &ack),
            Body::KeyCopy(copy) => self.keys.on_copy(&mut ctx, from, &copy),
            Body::KeyCopyAck(ack) => self.keys.on_copy_ack(&mut ctx, &ack),
            Body::CrashNotice(notice) => self.on_crash_notice(&notice),
        }
    }

    fn on_crash_notice(&mut self, notice: &CrashNotice) {
        let crashes = notice
            .crashes
            .iter()
            .filter_map(|(id, endpoint)| Some((*id, endpoint.parse::<EndpointId>().ok()?)));
        self.poison.on_crashes(self.now, notice.fingerprint, crashes, notice.keep_ms);
        self.refuse_poisoned(notice.fingerprint);
    }

    /// Tells every VM of a crash. Crashes are rare, so this may cost a message a VM.
    pub(crate) fn tell_crash(&mut self, fingerprint: u64) {
        let (crashes, keep_ms) = self.poison.crashes(self.now, fingerprint);
        let crashes = crashes.into_iter().map(|(id, vm)| (id, vm.to_string())).collect();
        let notice = CrashNotice { fingerprint, crashes, keep_ms };
        let others = self.adoption.list().vms.keys().filter(|vm| **vm != self.me.vm);
        for to in others {
            let body = Body::CrashNotice(notice.clone());
            self.outbox.push_back(Outgoing { to: to.clone(), body });
        }
    }

    /// Works off the consequences of an event: messages to itself, decisions of the parts about
    /// requests, and heartbeats that have become due.
    fn settle(&mut self) {
        for _ in 0..MAX_ROUNDS {
            let sent = self.deliver();
            let decided = self.follow_outcomes();
            if !sent && !decided {
                break;
            }
        }
        self.beat();
        self.deliver();
        let polled = self.permits.polled(&context!(self));
        if polled != self.polled {
            self.polled = polled.clone();
            self.actions.push(Action::PollLoad(polled));
        }
    }

    fn beat(&mut self) {
        if !self.members.heartbeats_due(self.now) {
            return;
        }
        let rooms = self.permits.rooms(&context!(self));
        let version = self.adoption.config().version;
        for (to, beat) in self.members.take_heartbeats(self.now, &rooms, version) {
            self.outbox.push_back(Outgoing { to, body: Body::Heartbeat(beat) });
        }
    }

    /// Sends what is queued; returns whether a message to this VM itself was handled.
    fn deliver(&mut self) -> bool {
        let mut own = false;
        for _ in 0..MAX_ROUNDS * MAX_ROUNDS {
            let Some(message) = self.outbox.pop_front() else { break };
            match message.to == self.me.vm {
                true => {
                    own = true;
                    let me = self.me.clone();
                    self.on_body(&me.vm, me.incarnation, message.body);
                }
                false => self.send(message),
            }
        }
        own
    }

    fn send(&mut self, message: Outgoing) {
        let Some(record) = self.adoption.list().vms.get(&message.to) else { return };
        let frame = PeerFrame {
            from_vm: self.me.vm.to_string(),
            from_incarnation: self.me.incarnation,
            config_version: self.adoption.config().version,
            list_version: self.adoption.list().version,
            config_age_ms: self.adoption.age_ms(self.now),
            body: Some(message.body),
        };
        let address = record.address;
        self.actions.push(Action::Send { to: message.to, address, frame });
    }

    /// Whether requests may be served now.
    pub fn is_ready(&self) -> bool {
        let joined = self.shares_from_ms.is_some_and(|from_ms| self.now >= from_ms)
            && self.shares.is_settled();
        let joined = joined || self.now.since(self.members.started_ms()) > JOIN_WAIT_MS;
        self.adoption.may_serve(self.now) && !self.members.is_draining() && joined
    }

    /// The VMs that this one would act with at `now`, itself included; none where it may not act.
    pub fn acting_members(&self, now: BootMs) -> Vec<VmId> {
        let view = self.members.active_view(now);
        view.into_iter().flat_map(|view| view.members().cloned()).collect()
    }

    /// Whether this VM is shutting down.
    pub fn is_retired(&self) -> bool {
        self.members.is_draining()
    }

    /// Whether a VM that leaves has nothing left that others wait for. Parts that it lent and
    /// views that it supported have ended by the time that their leases run.
    pub fn is_drained(&self) -> bool {
        self.members.is_draining()
            && self.requests.by_key.is_empty()
            && self.placement.unsettled() == 0
            && self.keys.unsettled() == 0
    }

    /// The largest request body that any route allows, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        let routes = self.adoption.config().routes.values();
        routes.map(|route| route.max_body_bytes).max().unwrap_or(0)
    }

    /// The version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.adoption.config().version
    }

    /// The VM list in force.
    pub fn vm_list(&self) -> &VmList {
        self.adoption.list()
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        self.adoption.config()
    }

    /// A picture of this VM's state for operators.
    pub fn status(&mut self) -> NodeStatus {
        let context = context!(self);
        let view = self.members.active_view(self.now);
        let members = view.into_iter().flat_map(|view| view.members().cloned()).collect();
        let endpoints = self
            .permits
            .holdings(&context)
            .into_iter()
            .map(|(id, (in_flight, limit))| (id, EndpointStatus { in_flight, limit }))
            .collect();
        let customers = self.adoption.config().customers.keys();
        let customers = customers
            .map(|customer| {
                let (level, capacity, rate) = self.shares.holding(customer);
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
            vm: self.me.vm.clone(),
            zone: self.me.zone.clone(),
            incarnation: self.me.incarnation,
            ready: self.is_ready(),
            draining: self.members.is_draining(),
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

/// How long a leaving VM waits after the last answer, so that leases it took part in run out.
pub const DRAIN_LINGER_MS: u64 = SHARE_LEASE_MS;
