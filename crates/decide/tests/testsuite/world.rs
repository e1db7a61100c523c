//! A few nodes in virtual time: messages are delayed, lost and cut, processes freeze, die and
//! start again, clocks differ. A run is a seed; the same seed gives the same run.

use gypsumchute_config::{FleetConfig, KeyHash};
use gypsumchute_decide::{
    Action, AdmitRequest, CallerKey, Counter, Event, FinishedRequest, Grant, Identity, LoadReport,
    Node, RequestKey, RequestKind, VmList, VmRecord,
};
use gypsumchute_proto::peer::PeerFrame;
use gypsumchute_units::{BootMs, CustomerId, EndpointId, Refusal, VmId, ZoneId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const TICK_MS: u64 = 20;
pub const KEY: &str = "key";
const LOAD_EVERY_MS: u64 = 200;
/// More messages than this a VM within a millisecond are a storm that feeds itself.
const STORM_PER_VM: u64 = 3_000;

/// The seeds to run: `count` of them, or as many as GYPSUMCHUTE_SEEDS says.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    let wanted = std::env::var("GYPSUMCHUTE_SEEDS").ok().and_then(|text| text.parse().ok());
    0..wanted.unwrap_or(count)
}

/// Something that reaches a node at a time.
enum Delivery {
    Frame(Box<PeerFrame>),
    Config(Arc<FleetConfig>),
    List,
    Done(RequestKey),
}

struct Slot {
    node: Option<Node>,
    identity: Identity,
    /// The node's clock runs at this many thousandths of real time, from this start.
    clock: (u64, u64),
    frozen_until_ms: u64,
    next_tick_ms: u64,
    polled: Vec<EndpointId>,
    backlog: Vec<Delivery>,
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Fate {
    Granted { at_ms: u64, vm: usize, grant: Grant },
    Refused { at_ms: u64, vm: usize, refusal: Refusal },
}

/// A charge or refund of a customer's rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Charge {
    pub at_ms: u64,
    pub customer: CustomerId,
    pub refund: bool,
}

pub struct World {
    pub now_ms: u64,
    pub rng: StdRng,
    slots: Vec<Slot>,
    queue: BinaryHeap<(Reverse<u64>, Reverse<u64>, usize)>,
    deliveries: BTreeMap<u64, Delivery>,
    next_delivery: u64,
    next_request: u64,
    config: Arc<FleetConfig>,
    list: VmList,
    /// Directed pairs that can't reach each other.
    pub cut: BTreeSet<(usize, usize)>,
    /// VMs that can't reach the platform.
    pub off_platform: BTreeSet<usize>,
    pub loss_percent: u32,
    pub delay_ms: u64,
    /// How long a granted request runs.
    pub run_ms: u64,
    pub fates: BTreeMap<u64, Fate>,
    pub charges: Vec<Charge>,
    running: BTreeMap<EndpointId, Vec<(u64, u64)>>,
    /// Most requests seen at once at each endpoint.
    pub peaks: BTreeMap<EndpointId, usize>,
    pub cold: BTreeSet<EndpointId>,
    pub messages: u64,
    pub bytes: u64,
    /// Time spent in decisions.
    pub busy: Duration,
}

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// A configuration with these customers, one application route and `endpoints` in each zone.
pub fn config(
    version: u64,
    zones: &[&str],
    customers: &[(&str, f64, u64)],
    endpoints: usize,
    cold_limit: u32,
) -> Arc<FleetConfig> {
    let mut unique = zones.to_vec();
    unique.sort_unstable();
    unique.dedup();
    let zone_items: Vec<_> = unique.iter().map(|zone| json!({ "id": zone })).collect();
    let customer_items: Vec<_> = customers
        .iter()
        .map(|(name, rate, burst)| {
            let hash = KeyHash::of("", &format!("{KEY}-{name}"));
            json!({ "id": name, "rate_per_s": rate, "burst": burst,
                    "keys": [{ "id": "k", "sha256": hash }] })
        })
        .collect();
    let mut endpoint_items = Vec::new();
    for (z, zone) in unique.iter().enumerate() {
        for e in 0..endpoints {
            endpoint_items.push(json!({
                "id": format!("{zone}-{e}"), "zone": zone, "routes": ["app"],
                "address": format!("10.{}.{}.{}:80", z + 1, e / 250, e % 250 + 1),
                "cold_limit": cold_limit, "warm_limit": 1_000,
            }));
        }
    }
    let files = BTreeMap::from([(
        "all.json".to_owned(),
        json!({ "zones": zone_items, "customers": customer_items, "endpoints": endpoint_items,
                "app_routes": [{ "id": "app" }] })
        .to_string(),
    )]);
    Arc::new(FleetConfig::from_files(version, &files).unwrap())
}

impl World {
    /// One VM for each zone named; all start at 0 and serve after some seconds.
    pub fn new(seed: u64, zones: &[&str], config: Arc<FleetConfig>) -> Self {
        let mut list = VmList { version: 1, vms: BTreeMap::new() };
        let mut slots = Vec::new();
        let mut rng = StdRng::seed_from_u64(seed);
        for (number, zone) in zones.iter().enumerate() {
            let vm: VmId = id(&format!("vm-{number:03}"));
            let zone: ZoneId = id(zone);
            let octet = |n: usize| (n % 250) as u8;
            let ip = Ipv4Addr::new(10, 0, octet(number / 250), octet(number) + 1);
            let record = VmRecord {
                zone: zone.clone(),
                address: SocketAddr::new(IpAddr::V4(ip), 1),
                leaving: false,
            };
            list.vms.insert(vm.clone(), record);
            slots.push(Slot {
                node: None,
                identity: Identity { vm, zone, incarnation: 0 },
                clock: (rng.random_range(0..1_000_000), rng.random_range(995..=1_005)),
                frozen_until_ms: 0,
                next_tick_ms: 0,
                polled: Vec::new(),
                backlog: Vec::new(),
            });
        }
        let mut world = World {
            now_ms: 0,
            rng,
            slots,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_request: 0,
            config,
            list,
            cut: BTreeSet::new(),
            off_platform: BTreeSet::new(),
            loss_percent: 0,
            delay_ms: 2,
            run_ms: 5,
            fates: BTreeMap::new(),
            charges: Vec::new(),
            running: BTreeMap::new(),
            peaks: BTreeMap::new(),
            cold: BTreeSet::new(),
            messages: 0,
            bytes: 0,
            busy: Duration::ZERO,
        };
        for vm in 0..zones.len() {
            world.start(vm, false);
        }
        world
    }

    pub fn vms(&self) -> usize {
        self.slots.len()
    }

    pub fn zone_of(&self, vm: usize) -> ZoneId {
        self.slots[vm].identity.zone.clone()
    }

    pub fn is_alive(&self, vm: usize) -> bool {
        self.slots[vm].node.is_some() && self.slots[vm].frozen_until_ms <= self.now_ms
    }

    pub fn node(&mut self, vm: usize) -> &mut Node {
        self.slots[vm].node.as_mut().unwrap()
    }

    fn local(&self, vm: usize) -> BootMs {
        let (offset, rate) = self.slots[vm].clock;
        BootMs(offset + self.now_ms * rate / 1_000)
    }

    /// Starts a VM's process anew; it reads the platform if it can.
    pub fn start(&mut self, vm: usize, fresh_fleet: bool) {
        let seed = self.rng.random();
        let now = self.local(vm);
        let slot = &mut self.slots[vm];
        slot.identity.incarnation += 1_000_000;
        slot.node = Some(Node::new(slot.identity.clone(), now, seed, fresh_fleet));
        slot.backlog.clear();
        slot.polled.clear();
        slot.frozen_until_ms = 0;
        slot.next_tick_ms = self.now_ms;
        if !self.off_platform.contains(&vm) {
            self.deliver(vm, 3, Delivery::List);
            self.deliver(vm, 5, Delivery::Config(self.config.clone()));
        }
    }

    pub fn kill(&mut self, vm: usize) {
        self.slots[vm].node = None;
        self.slots[vm].backlog.clear();
    }

    pub fn freeze(&mut self, vm: usize, for_ms: u64) {
        self.slots[vm].frozen_until_ms = self.now_ms + for_ms;
    }

    /// Begins a VM's graceful shutdown.
    pub fn drain(&mut self, vm: usize) {
        if self.is_alive(vm) {
            self.handle(vm, Event::Drain);
        }
    }

    /// The different views under which VMs of a zone act at this moment.
    pub fn acting_views(&self, zone: &ZoneId) -> BTreeSet<Vec<VmId>> {
        let awake =
            self.slots.iter().enumerate().filter(|(_, slot)| {
                slot.identity.zone == *zone && slot.frozen_until_ms <= self.now_ms
            });
        let views = awake.filter_map(|(vm, slot)| {
            let members = slot.node.as_ref()?.acting_members(self.local(vm));
            (!members.is_empty()).then_some(members)
        });
        views.collect()
    }

    /// Puts a configuration in force at the platform; VMs that reach it read it soon.
    pub fn publish(&mut self, config: Arc<FleetConfig>) {
        self.config = config;
        for vm in 0..self.slots.len() {
            if !self.off_platform.contains(&vm) {
                let after_ms = self.rng.random_range(10..300);
                self.deliver(vm, after_ms, Delivery::Config(self.config.clone()));
            }
        }
    }

    /// Cuts two groups of VMs off from each other, or heals all cuts with an empty group.
    pub fn split(&mut self, group: &BTreeSet<usize>) {
        self.cut.clear();
        for a in 0..self.slots.len() {
            for b in 0..self.slots.len() {
                if group.contains(&a) != group.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    fn deliver(&mut self, vm: usize, after_ms: u64, delivery: Delivery) {
        let number = self.next_delivery;
        self.next_delivery += 1;
        self.deliveries.insert(number, delivery);
        self.queue.push((Reverse(self.now_ms + after_ms), Reverse(number), vm));
    }

    /// A request of a customer at a VM; returns its number.
    pub fn request(&mut self, vm: usize, customer: &str) -> u64 {
        self.request_with(vm, customer, "GET", "")
    }

    pub fn request_with(&mut self, vm: usize, customer: &str, method: &str, key: &str) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        let admit = AdmitRequest {
            key: RequestKey { entry: 1, request },
            caller_key: CallerKey(format!("{KEY}-{customer}")),
            route: "app".to_owned(),
            kind: RequestKind::Application,
            method: method.to_owned(),
            prompt_tokens: 1,
            max_tokens: 1,
            fingerprint: 7,
            prefix_hash: 0,
            idempotency_key: key.to_owned(),
            body_bytes: 0,
            endpoint: String::new(),
        };
        if self.is_alive(vm) {
            self.handle(vm, Event::Admit(admit));
        }
        request
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let now = self.local(vm);
        let Some(node) = self.slots[vm].node.as_mut() else { return };
        let began = Instant::now();
        let actions = node.handle(now, event);
        self.busy += began.elapsed();
        for action in actions {
            self.carry_out(vm, action);
        }
    }

    fn carry_out(&mut self, vm: usize, action: Action) {
        match action {
            Action::Send { to, frame, .. } => self.send(vm, &to, frame),
            Action::Granted(grant) => self.grant(vm, grant),
            Action::Refused(key, refusal) => {
                let at_ms = self.now_ms;
                self.fates.insert(key.request, Fate::Refused { at_ms, vm, refusal });
            }
            Action::PollLoad(wanted) => {
                self.slots[vm].polled = wanted.into_iter().map(|(id, _)| id).collect();
            }
            Action::Count(Counter::Charged(customer)) => {
                let at_ms = self.now_ms;
                self.charges.push(Charge { at_ms, customer, refund: false });
            }
            Action::Count(Counter::Refunded(customer)) => {
                let at_ms = self.now_ms;
                self.charges.push(Charge { at_ms, customer, refund: true });
            }
            Action::FetchConfig(from) => {
                let source = self.list.vms.values().position(|record| record.address == from);
                let reachable = source.filter(|source| !self.cut.contains(&(vm, *source)));
                let held = reachable.and_then(|source| self.slots[source].node.as_ref());
                if let Some(config) = held.map(|node| node.config().clone()) {
                    self.deliver(vm, 20, Delivery::Config(config));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &VmId, frame: PeerFrame) {
        use gypsumchute_proto::Message;
        self.messages += 1;
        self.bytes += frame.encoded_len() as u64;
        let Some(target) = self.slots.iter().position(|slot| slot.identity.vm == *to) else {
            return;
        };
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost || self.cut.contains(&(from, target)) {
            return;
        }
        let delay_ms = self.rng.random_range(0..=self.delay_ms);
        self.deliver(target, delay_ms, Delivery::Frame(Box::new(frame.clone())));
        if self.loss_percent > 0 && self.rng.random_range(0..100) < self.loss_percent / 2 {
            let late_ms = self.rng.random_range(0..1_500);
            self.deliver(target, late_ms, Delivery::Frame(Box::new(frame)));
        }
    }

    fn grant(&mut self, vm: usize, grant: Grant) {
        let key = grant.key;
        let running = self.running.entry(grant.endpoint.clone()).or_default();
        running.push((self.now_ms, key.request));
        let peak = self.peaks.entry(grant.endpoint.clone()).or_default();
        *peak = (*peak).max(running.len());
        let at_ms = self.now_ms;
        self.fates.insert(key.request, Fate::Granted { at_ms, vm, grant });
        self.deliver(vm, self.run_ms, Delivery::Done(key));
    }

    fn take(&mut self, vm: usize, delivery: Delivery) {
        match delivery {
            Delivery::Frame(frame) => self.handle(vm, Event::Peer(*frame)),
            Delivery::Config(config) => self.handle(vm, Event::Config(config)),
            Delivery::List => self.handle(vm, Event::List(self.list.clone())),
            Delivery::Done(key) => self.handle(
                vm,
                Event::Finished(FinishedRequest {
                    key,
                    tokens: 0,
                    stopped: true,
                    not_run: false,
                    crashed: false,
                    answer: None,
                }),
            ),
        }
    }

    fn end_at_endpoint(&mut self, request: u64) {
        for running in self.running.values_mut() {
            running.retain(|(_, other)| *other != request);
        }
    }

    fn tick(&mut self, vm: usize) {
        self.handle(vm, Event::Tick);
        if self.now_ms % LOAD_EVERY_MS < TICK_MS {
            let taken_ms = BootMs(self.local(vm).0.saturating_sub(50));
            for endpoint in self.slots[vm].polled.clone() {
                let report = LoadReport {
                    taken_ms,
                    running: self.running.get(&endpoint).map_or(0, Vec::len) as u32,
                    used_tokens: 0,
                    cold: self.cold.contains(&endpoint),
                    cold_limit: None,
                    loaded_hash: 0,
                };
                self.handle(vm, Event::Load(endpoint, Some(report)));
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            let sent = self.messages;
            while let Some((Reverse(at_ms), Reverse(number), vm)) = self.queue.peek().copied() {
                if at_ms > self.now_ms {
                    break;
                }
                assert!(
                    self.messages - sent < STORM_PER_VM * self.slots.len() as u64,
                    "messages storm at {} ms",
                    self.now_ms
                );
                self.queue.pop();
                let delivery = self.deliveries.remove(&number).unwrap();
                if let Delivery::Done(key) = &delivery {
                    self.end_at_endpoint(key.request);
                }
                match self.slots[vm].frozen_until_ms > self.now_ms {
                    true => self.slots[vm].backlog.push(delivery),
                    false => self.take(vm, delivery),
                }
            }
            for vm in 0..self.slots.len() {
                if self.slots[vm].frozen_until_ms > self.now_ms {
                    continue;
                }
                for delivery in std::mem::take(&mut self.slots[vm].backlog) {
                    self.take(vm, delivery);
                }
                if self.now_ms >= self.slots[vm].next_tick_ms {
                    self.slots[vm].next_tick_ms = self.now_ms + TICK_MS;
                    self.tick(vm);
                }
            }
            self.now_ms += 1;
        }
    }
}
