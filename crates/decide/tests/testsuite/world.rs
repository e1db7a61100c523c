//! Simulation of a fleet in virtual time. Messages are delayed, lost, duplicated and partitioned,
//! processes freeze, crash and restart, and clocks run at different rates. The seed determines the
//! run.

use gypsumchute_config::{FleetConfig, KeyHash};
use gypsumchute_decide::{
    Action, AdmitRequest, ApiKey, Counter, Event, FinishedRequest, Grant, Identity, LoadReport,
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

/// Interval between ticks of a node, in milliseconds.
pub const TICK_MS: u64 = 20;
/// Prefix of the API keys of the customers.
pub const API_KEY_PREFIX: &str = "key";
/// Interval between load reports of an endpoint, in milliseconds.
const LOAD_REPORT_INTERVAL_MS: u64 = 200;
/// Maximum number of messages per VM within one millisecond. A larger number means that messages
/// trigger each other without end.
const MAX_MESSAGES_PER_VM_AND_MS: u64 = 3_000;

/// Returns the seeds to run: `count` of them, or the number in `GYPSUMCHUTE_SEEDS` if it is set.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    let from_env = std::env::var("GYPSUMCHUTE_SEEDS").ok().and_then(|text| text.parse().ok());
    0..from_env.unwrap_or(count)
}

/// An input that arrives at a node at a scheduled time.
enum Delivery {
    Frame(Box<PeerFrame>),
    Config(Arc<FleetConfig>),
    List,
    Finished(RequestKey),
}

/// A VM of the simulation.
struct SimulatedVm {
    /// State of the process; `None` after a crash.
    node: Option<Node>,
    identity: Identity,
    /// Start value of the clock in milliseconds, and its rate in thousandths of the virtual time.
    clock: (u64, u64),
    /// Time until which the process is frozen.
    frozen_until_ms: u64,
    next_tick_ms: u64,
    /// Endpoints whose load the node polls.
    polled_endpoints: Vec<EndpointId>,
    /// Inputs that arrived while the process was frozen.
    backlog: Vec<Delivery>,
}

/// Outcome of the admission of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    Granted { at_ms: u64, vm: usize, grant: Grant },
    Refused { at_ms: u64, vm: usize, refusal: Refusal },
}

/// A charge to the rate of a customer, or a refund of one.
#[derive(Debug, Clone, PartialEq)]
pub struct Charge {
    pub at_ms: u64,
    pub customer: CustomerId,
    pub is_refund: bool,
}

/// A simulated fleet of VMs with its endpoints, and the outcomes of its requests.
pub struct Simulation {
    /// Current virtual time, in milliseconds.
    pub now_ms: u64,
    pub rng: StdRng,
    vms: Vec<SimulatedVm>,
    /// Scheduled deliveries: time, number of the delivery, receiving VM.
    queue: BinaryHeap<(Reverse<u64>, Reverse<u64>, usize)>,
    deliveries: BTreeMap<u64, Delivery>,
    next_delivery: u64,
    next_request: u64,
    config: Arc<FleetConfig>,
    list: VmList,
    /// Pairs of VMs (sender, receiver) between which messages are dropped.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// VMs that cannot reach the platform.
    pub without_platform: BTreeSet<usize>,
    /// Probability of the loss of a message, in percent.
    pub loss_percent: u32,
    /// Maximum delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Run time of a granted request, in milliseconds.
    pub request_duration_ms: u64,
    /// Outcome of each request, by the number of the request.
    pub outcomes: BTreeMap<u64, Outcome>,
    pub charges: Vec<Charge>,
    /// Requests at each endpoint: start time and number of the request.
    in_flight: BTreeMap<EndpointId, Vec<(u64, u64)>>,
    /// Highest number of concurrent requests at each endpoint.
    pub peak_in_flight: BTreeMap<EndpointId, usize>,
    /// Endpoints in cold start.
    pub cold: BTreeSet<EndpointId>,
    /// Number of messages sent.
    pub messages: u64,
    /// Total size of the messages sent, in bytes.
    pub bytes: u64,
    /// Processor time spent in [`Node::handle`].
    pub decision_time: Duration,
}

/// Parses an identifier.
pub fn parse_id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Returns a configuration with one application route, `endpoints` endpoints in each zone and
/// these customers, each with a name, a rate per second and a burst.
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
            let hash = KeyHash::of("", &format!("{API_KEY_PREFIX}-{name}"));
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

impl Simulation {
    /// Starts one VM per element of `zones`, which names the zone of the VM. The VMs serve after a
    /// few seconds of virtual time.
    pub fn new(seed: u64, zones: &[&str], config: Arc<FleetConfig>) -> Self {
        let mut list = VmList { version: 1, vms: BTreeMap::new() };
        let mut vms = Vec::new();
        let mut rng = StdRng::seed_from_u64(seed);
        for (number, zone) in zones.iter().enumerate() {
            let vm: VmId = parse_id(&format!("vm-{number:03}"));
            let zone: ZoneId = parse_id(zone);
            let octet = |n: usize| (n % 250) as u8;
            let ip = Ipv4Addr::new(10, 0, octet(number / 250), octet(number) + 1);
            let record = VmRecord {
                zone: zone.clone(),
                address: SocketAddr::new(IpAddr::V4(ip), 1),
                leaving: false,
            };
            list.vms.insert(vm.clone(), record);
            vms.push(SimulatedVm {
                node: None,
                identity: Identity { vm, zone, incarnation: 0 },
                clock: (rng.random_range(0..1_000_000), rng.random_range(995..=1_005)),
                frozen_until_ms: 0,
                next_tick_ms: 0,
                polled_endpoints: Vec::new(),
                backlog: Vec::new(),
            });
        }
        let mut sim = Simulation {
            now_ms: 0,
            rng,
            vms,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_request: 0,
            config,
            list,
            partitioned: BTreeSet::new(),
            without_platform: BTreeSet::new(),
            loss_percent: 0,
            delay_ms: 2,
            request_duration_ms: 5,
            outcomes: BTreeMap::new(),
            charges: Vec::new(),
            in_flight: BTreeMap::new(),
            peak_in_flight: BTreeMap::new(),
            cold: BTreeSet::new(),
            messages: 0,
            bytes: 0,
            decision_time: Duration::ZERO,
        };
        for vm in 0..zones.len() {
            sim.start(vm, false);
        }
        sim
    }

    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    pub fn zone_of(&self, vm: usize) -> ZoneId {
        self.vms[vm].identity.zone.clone()
    }

    /// Reports whether the process of a VM exists and is not frozen.
    pub fn is_alive(&self, vm: usize) -> bool {
        self.vms[vm].node.is_some() && self.vms[vm].frozen_until_ms <= self.now_ms
    }

    pub fn node(&mut self, vm: usize) -> &mut Node {
        self.vms[vm].node.as_mut().unwrap()
    }

    fn local_time(&self, vm: usize) -> BootMs {
        let (offset, rate) = self.vms[vm].clock;
        BootMs(offset + self.now_ms * rate / 1_000)
    }

    /// Starts or restarts the process of a VM. The process receives the VM list and the
    /// configuration if the VM can reach the platform.
    pub fn start(&mut self, vm: usize, fresh_fleet: bool) {
        let seed = self.rng.random();
        let now = self.local_time(vm);
        let vm_state = &mut self.vms[vm];
        // Message ids start at the incarnation, so incarnations must be far apart.
        vm_state.identity.incarnation += 1_000_000;
        vm_state.node = Some(Node::new(vm_state.identity.clone(), now, seed, fresh_fleet));
        vm_state.backlog.clear();
        vm_state.polled_endpoints.clear();
        vm_state.frozen_until_ms = 0;
        vm_state.next_tick_ms = self.now_ms;
        if !self.without_platform.contains(&vm) {
            self.deliver(vm, 3, Delivery::List);
            self.deliver(vm, 5, Delivery::Config(self.config.clone()));
        }
    }

    /// Crashes the process of a VM.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].node = None;
        self.vms[vm].backlog.clear();
    }

    /// Freezes the process of a VM. Inputs are handled when the process continues.
    pub fn freeze(&mut self, vm: usize, for_ms: u64) {
        self.vms[vm].frozen_until_ms = self.now_ms + for_ms;
    }

    /// Starts the graceful shutdown of a VM.
    pub fn drain(&mut self, vm: usize) {
        if self.is_alive(vm) {
            self.handle(vm, Event::Drain);
        }
    }

    /// Returns the distinct views that are active now on VMs of a zone.
    pub fn active_views(&self, zone: &ZoneId) -> BTreeSet<Vec<VmId>> {
        let running_vms = self.vms.iter().enumerate().filter(|(_, vm_state)| {
            vm_state.identity.zone == *zone && vm_state.frozen_until_ms <= self.now_ms
        });
        let views = running_vms.filter_map(|(vm, vm_state)| {
            let members = vm_state.node.as_ref()?.active_members(self.local_time(vm));
            (!members.is_empty()).then_some(members)
        });
        views.collect()
    }

    /// Publishes a configuration at the platform. VMs that can reach the platform read it within
    /// 300 ms.
    pub fn publish(&mut self, config: Arc<FleetConfig>) {
        self.config = config;
        for vm in 0..self.vms.len() {
            if !self.without_platform.contains(&vm) {
                let after_ms = self.rng.random_range(10..300);
                self.deliver(vm, after_ms, Delivery::Config(self.config.clone()));
            }
        }
    }

    /// Partitions the network between `group` and the other VMs, and removes any earlier partition.
    /// An empty group removes all partitions.
    pub fn partition(&mut self, group: &BTreeSet<usize>) {
        self.partitioned.clear();
        for a in 0..self.vms.len() {
            for b in 0..self.vms.len() {
                if group.contains(&a) != group.contains(&b) {
                    self.partitioned.insert((a, b));
                }
            }
        }
    }

    /// Schedules a delivery to a VM.
    fn deliver(&mut self, vm: usize, after_ms: u64, delivery: Delivery) {
        let number = self.next_delivery;
        self.next_delivery += 1;
        self.deliveries.insert(number, delivery);
        self.queue.push((Reverse(self.now_ms + after_ms), Reverse(number), vm));
    }

    /// Sends a GET request of a customer to a VM; returns the number of the request.
    pub fn request(&mut self, vm: usize, customer: &str) -> u64 {
        self.request_with(vm, customer, "GET", "")
    }

    /// Sends a request with a method and an idempotency key (empty for none) to a VM; returns the
    /// number of the request.
    pub fn request_with(&mut self, vm: usize, customer: &str, method: &str, key: &str) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        let admit = AdmitRequest {
            key: RequestKey { entry: 1, request },
            api_key: ApiKey(format!("{API_KEY_PREFIX}-{customer}")),
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

    /// Passes an event to a node and carries out the actions that it returns.
    fn handle(&mut self, vm: usize, event: Event) {
        let now = self.local_time(vm);
        let Some(node) = self.vms[vm].node.as_mut() else { return };
        let started = Instant::now();
        let actions = node.handle(now, event);
        self.decision_time += started.elapsed();
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, vm: usize, action: Action) {
        match action {
            Action::Send { to, frame, .. } => self.send(vm, &to, frame),
            Action::Granted(grant) => self.grant(vm, grant),
            Action::Refused(key, refusal) => {
                let at_ms = self.now_ms;
                self.outcomes.insert(key.request, Outcome::Refused { at_ms, vm, refusal });
            }
            Action::PollLoad(endpoints) => {
                self.vms[vm].polled_endpoints = endpoints.into_iter().map(|(id, _)| id).collect();
            }
            Action::Count(Counter::Charged(customer)) => {
                let at_ms = self.now_ms;
                self.charges.push(Charge { at_ms, customer, is_refund: false });
            }
            Action::Count(Counter::Refunded(customer)) => {
                let at_ms = self.now_ms;
                self.charges.push(Charge { at_ms, customer, is_refund: true });
            }
            Action::FetchConfig(from) => {
                let source = self.list.vms.values().position(|record| record.address == from);
                let reachable = source.filter(|source| !self.partitioned.contains(&(vm, *source)));
                let source_node = reachable.and_then(|source| self.vms[source].node.as_ref());
                if let Some(config) = source_node.map(|node| node.config().clone()) {
                    self.deliver(vm, 20, Delivery::Config(config));
                }
            }
            _ => {}
        }
    }

    /// Sends a message between VMs; it may be lost, delayed or duplicated.
    fn send(&mut self, from: usize, to: &VmId, frame: PeerFrame) {
        use gypsumchute_proto::Message;
        self.messages += 1;
        self.bytes += frame.encoded_len() as u64;
        let Some(target) = self.vms.iter().position(|vm_state| vm_state.identity.vm == *to) else {
            return;
        };
        let is_lost = self.rng.random_range(0..100) < self.loss_percent;
        if is_lost || self.partitioned.contains(&(from, target)) {
            return;
        }
        let delay_ms = self.rng.random_range(0..=self.delay_ms);
        self.deliver(target, delay_ms, Delivery::Frame(Box::new(frame.clone())));
        if self.loss_percent > 0 && self.rng.random_range(0..100) < self.loss_percent / 2 {
            let late_ms = self.rng.random_range(0..1_500);
            self.deliver(target, late_ms, Delivery::Frame(Box::new(frame)));
        }
    }

    /// Runs a granted request at its endpoint.
    fn grant(&mut self, vm: usize, grant: Grant) {
        let key = grant.key;
        let in_flight = self.in_flight.entry(grant.endpoint.clone()).or_default();
        in_flight.push((self.now_ms, key.request));
        let peak = self.peak_in_flight.entry(grant.endpoint.clone()).or_default();
        *peak = (*peak).max(in_flight.len());
        let at_ms = self.now_ms;
        self.outcomes.insert(key.request, Outcome::Granted { at_ms, vm, grant });
        self.deliver(vm, self.request_duration_ms, Delivery::Finished(key));
    }

    /// Passes a delivery that is due to the node.
    fn handle_delivery(&mut self, vm: usize, delivery: Delivery) {
        match delivery {
            Delivery::Frame(frame) => self.handle(vm, Event::Peer(*frame)),
            Delivery::Config(config) => self.handle(vm, Event::Config(config)),
            Delivery::List => self.handle(vm, Event::VmList(self.list.clone())),
            Delivery::Finished(key) => self.handle(
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
        for in_flight in self.in_flight.values_mut() {
            in_flight.retain(|(_, other)| *other != request);
        }
    }

    /// Sends a tick to a node, and load reports of the endpoints that it polls when they are due.
    fn tick(&mut self, vm: usize) {
        self.handle(vm, Event::Tick);
        if self.now_ms % LOAD_REPORT_INTERVAL_MS < TICK_MS {
            let taken_ms = BootMs(self.local_time(vm).0.saturating_sub(50));
            for endpoint in self.vms[vm].polled_endpoints.clone() {
                let report = LoadReport {
                    taken_ms,
                    in_flight: self.in_flight.get(&endpoint).map_or(0, Vec::len) as u32,
                    used_tokens: 0,
                    cold: self.cold.contains(&endpoint),
                    cold_limit: None,
                    loaded_hash: 0,
                };
                self.handle(vm, Event::LoadReported(endpoint, Some(report)));
            }
        }
    }

    /// Advances the virtual time by `for_ms` milliseconds.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            let messages_before = self.messages;
            while let Some((Reverse(at_ms), Reverse(number), vm)) = self.queue.peek().copied() {
                if at_ms > self.now_ms {
                    break;
                }
                assert!(
                    self.messages - messages_before
                        < MAX_MESSAGES_PER_VM_AND_MS * self.vms.len() as u64,
                    "message storm at {} ms",
                    self.now_ms
                );
                self.queue.pop();
                let delivery = self.deliveries.remove(&number).unwrap();
                if let Delivery::Finished(key) = &delivery {
                    self.end_at_endpoint(key.request);
                }
                match self.vms[vm].frozen_until_ms > self.now_ms {
                    true => self.vms[vm].backlog.push(delivery),
                    false => self.handle_delivery(vm, delivery),
                }
            }
            for vm in 0..self.vms.len() {
                if self.vms[vm].frozen_until_ms > self.now_ms {
                    continue;
                }
                for delivery in std::mem::take(&mut self.vms[vm].backlog) {
                    self.handle_delivery(vm, delivery);
                }
                if self.now_ms >= self.vms[vm].next_tick_ms {
                    self.vms[vm].next_tick_ms = self.now_ms + TICK_MS;
                    self.tick(vm);
                }
            }
            self.now_ms += 1;
        }
    }
}
