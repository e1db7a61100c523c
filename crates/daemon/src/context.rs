//! What all tasks of the daemon share.

use gypsumchute_config::DaemonSettings;
use gypsumchute_fleet::{Members, PeerAddress, StoreCopy};
use gypsumchute_routing::admission::WaitingRoom;
use gypsumchute_routing::budget::{RetryAllowance, RetryBudget};
use gypsumchute_routing::load::{Load, Loads};
use gypsumchute_routing::outcomes::{Outcome, Outcomes};
use gypsumchute_routing::placement::Fleet;
use gypsumchute_routing::poison::Poison;
use gypsumchute_routing::warmup::Warmups;
use gypsumchute_routing::{Endpoints, RoutingTable};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, ServiceId, ZoneId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Endpoints that a request may bring down before it is refused everywhere. Two could be an
/// innocent request beside the guilty one.
const MAX_CRASHES_PER_REQUEST: usize = 3;
/// How long a crash is remembered.
pub const CRASH_RETENTION_MS: u64 = 60_000;
/// For how long a crash, or an endpoint's own notice that it leaves, is told to other VMs: several
/// heartbeats.
const ANNOUNCE_MS: u64 = 2_500;
/// A registry entry that vanishes so long after trouble with the store may have lapsed.
const STORE_FAILURE_WINDOW_MS: u64 = 4_000;
/// Silence of the store and of all VMs that read it, after which endpoints are asked themselves.
/// A watch may take 1 s, a slow answer to it 0.8 s more.
const REGISTRY_STALE_MS: u64 = 2_200;
/// Knowledge of the configuration is fresh while a reader's last answer is younger than this.
const CONFIG_FRESH_MS: u64 = 4_000;

/// What the daemon knows and decides with.
pub struct State {
    /// The configuration in force; none before the first one is known.
    pub table: Option<Rc<RoutingTable>>,
    /// Endpoints in service.
    pub endpoints: Endpoints,
    /// What runs there.
    pub loads: Loads,
    /// How they behaved.
    pub outcomes: Outcomes,
    /// Retries made.
    pub retries: RetryBudget,
    /// What cold endpoints got.
    pub warmups: Warmups,
    /// Requests that brought endpoints down.
    pub poison: Poison,
    /// Who waits for room.
    pub admission_queue: WaitingRoom,
    /// The other VMs.
    pub members: Members,
    /// Zones that this VM seems to be cut off from.
    pub unreachable_zones: BTreeSet<ZoneId>,
    /// Endpoints of the own zone whose load this VM hears of with heartbeats only.
    pub heartbeat_only_endpoints: BTreeSet<EndpointId>,
    /// What the platform published.
    pub store_copy: StoreCopy,
    /// Whether this VM's own reads of the store succeed.
    pub reads_store: bool,
    /// When a read of the store last failed and no other VM's reads succeeded.
    pub store_failure_ms: Option<BootMs>,
    /// When the store, or a VM that reads it, was last heard.
    pub store_confirmed_ms: Option<BootMs>,
    /// Source of randomness.
    pub rng: StdRng,
    recent_crashes: VecDeque<Crash>,
    /// Endpoints that told this VM that they leave, and when.
    termination_notices: BTreeMap<EndpointId, BootMs>,
}

/// A crash that this VM saw.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The request that ran there.
    pub fingerprint: u64,
    /// The endpoint that broke.
    pub endpoint: EndpointId,
    /// Tells crashes apart.
    pub number: u64,
    seen_ms: BootMs,
}

/// Who hears of a change at an endpoint.
pub struct LoadNoteTargets {
    /// Where they are heard.
    pub addresses: Vec<SocketAddrV4>,
    /// Whether they hand it on in their zone.
    pub relay: bool,
}

/// Settings, state and signals, shared by all tasks.
pub struct Context {
    /// What the process was started with.
    pub settings: DaemonSettings,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Fires when a heartbeat should go out before its time.
    pub heartbeat_due: Notify,
    /// Fires when there are endpoints of which other VMs should hear at once.
    pub load_notes_due: Notify,
    pending_load_notes: RefCell<BTreeSet<EndpointId>>,
    state: RefCell<State>,
    changed: watch::Sender<()>,
    registry_changed: watch::Sender<()>,
    shutdown: watch::Sender<bool>,
    /// When the process ends, once it shuts down.
    shutdown_deadline_ms: Cell<Option<BootMs>>,
    connections: Cell<usize>,
}

impl Context {
    /// A context that knows nothing yet.
    pub fn new(settings: DaemonSettings) -> Rc<Self> {
        let me = PeerAddress {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            address: settings.peers_listen,
        };
        let state = State {
            table: None,
            endpoints: Endpoints::default(),
            loads: Loads::default(),
            outcomes: Outcomes::default(),
            retries: RetryBudget::default(),
            warmups: Warmups::default(),
            poison: Poison::new(MAX_CRASHES_PER_REQUEST),
            admission_queue: WaitingRoom::default(),
            members: Members::new(boot_now(), me, settings.peer_seeds()),
            unreachable_zones: BTreeSet::new(),
            heartbeat_only_endpoints: BTreeSet::new(),
            store_copy: StoreCopy::default(),
            reads_store: false,
            store_failure_ms: None,
            store_confirmed_ms: None,
            rng: StdRng::from_rng(&mut rand::rng()),
            recent_crashes: VecDeque::new(),
            termination_notices: BTreeMap::new(),
        };
        Rc::new(Context {
            settings,
            metrics: Metrics::new(),
            heartbeat_due: Notify::new(),
            load_notes_due: Notify::new(),
            pending_load_notes: RefCell::default(),
            state: RefCell::new(state),
            changed: watch::Sender::new(()),
            registry_changed: watch::Sender::new(()),
            shutdown: watch::Sender::new(false),
            shutdown_deadline_ms: Cell::new(None),
            connections: Cell::new(0),
        })
    }

    /// Runs `act` on the state. It must not call back into the context.
    pub fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.borrow_mut())
    }

    /// Tells all who wait that endpoints, loads or the configuration changed.
    pub fn notify_changed(&self) {
        self.changed.send_replace(());
    }

    /// Fires whenever [`Self::notify_changed`] is called.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Tells all who wait that the platform published something new.
    pub fn notify_registry_changed(&self) {
        self.registry_changed.send_replace(());
        self.notify_changed();
    }

    /// Fires whenever [`Self::notify_registry_changed`] is called.
    pub fn registry_changes(&self) -> watch::Receiver<()> {
        self.registry_changed.subscribe()
    }

    /// Begins to shut down; the process ends at `ends_ms`.
    pub fn begin_shutdown(&self, shutdown_deadline_ms: BootMs) {
        self.shutdown_deadline_ms.set(Some(shutdown_deadline_ms));
        self.shutdown.send_replace(true);
    }

    /// When the process ends, once it shuts down.
    pub fn shutdown_deadline_ms(&self) -> Option<BootMs> {
        self.shutdown_deadline_ms.get()
    }

    /// Whether the process shuts down.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow()
    }

    /// Becomes true when the process shuts down.
    pub fn shutdown_signal(&self) -> watch::Receiver<bool> {
        self.shutdown.subscribe()
    }

    /// Callers' connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard { context: self.clone() }
    }

    /// Counts `load` at `endpoint` until the guard is dropped.
    pub fn reserve_load(self: &Rc<Self>, endpoint: &EndpointId, load: Load) -> LoadGuard {
        self.with(|state| state.loads.add(endpoint, load));
        self.queue_load_note(endpoint, load);
        LoadGuard { context: self.clone(), endpoint: endpoint.clone(), load }
    }

    /// Has other VMs hear that the load of `endpoint` changed by `change`. Requests without engine
    /// memory are short: heartbeats tell of them soon enough.
    fn queue_load_note(&self, endpoint: &EndpointId, change: Load) {
        if change.memory_tokens() + change.unread_tokens > 0 {
            self.pending_load_notes.borrow_mut().insert(endpoint.clone());
            self.load_notes_due.notify_one();
        }
    }

    /// Has other zones hear again what this VM has at their endpoints: they hear no heartbeats of
    /// it, and forget what is not said again.
    pub fn queue_remote_zone_notes(&self) {
        let home = &self.settings.zone;
        let remote = self.with(|state| {
            let used = state.loads.own().filter_map(|(id, _)| state.endpoints.get(id));
            let remote = used.filter(|endpoint| endpoint.entry.zone != *home);
            remote.map(|endpoint| endpoint.entry.id.clone()).collect::<Vec<_>>()
        });
        self.pending_load_notes.borrow_mut().extend(remote);
        self.load_notes_due.notify_one();
    }

    /// Takes the endpoints of which other VMs should hear.
    pub fn take_pending_notes(&self) -> BTreeSet<EndpointId> {
        std::mem::take(&mut *self.pending_load_notes.borrow_mut())
    }

    /// Takes in what became of a request at `endpoint`.
    pub fn record_outcome(&self, endpoint: &EndpointId, outcome: Outcome) {
        let now = boot_now();
        if self.with(|state| state.outcomes.observe(now, endpoint, outcome)) {
            self.pending_load_notes.borrow_mut().insert(endpoint.clone());
            self.load_notes_due.notify_one();
        }
    }

    /// Takes one retry for `service`, if this VM's part of the budget has one left.
    pub fn take_retry(&self, service: &ServiceId, reason: &'static str) -> bool {
        let allowance = RetryAllowance {
            ratio: self.settings.retry_ratio,
            fixed: self.settings.retry_fixed,
            window_ms: self.settings.retry_window_ms(),
        };
        let taken = self.with(|state| {
            let vms = state.members.all_vms().len();
            state.retries.take_retry(boot_now(), service, allowance, vms)
        });
        match taken {
            true => self.metrics.count_retry(reason),
            false => self.metrics.count_retry("budget_spent"),
        }
        taken
    }

    /// Notes that `endpoint` itself says that it leaves, and has other VMs hear of it.
    pub fn record_termination_notice(&self, endpoint: &EndpointId) {
        let now = boot_now();
        let is_news = self.with(|state| {
            state.termination_notices.insert(endpoint.clone(), now);
            state.endpoints.note_leaving(endpoint)
        });
        if is_news {
            self.pending_load_notes.borrow_mut().insert(endpoint.clone());
            self.load_notes_due.notify_one();
            self.heartbeat_due.notify_one();
            self.notify_registry_changed();
        }
    }

    /// Notes that `endpoint` broke while it ran the request with `fingerprint`.
    pub fn record_crash(&self, fingerprint: u64, endpoint: &EndpointId) {
        let now = boot_now();
        self.with(|state| {
            let number = state.rng.random();
            let crash = Crash { fingerprint, endpoint: endpoint.clone(), number, seen_ms: now };
            let seen = [(number, endpoint.clone())];
            state.poison.on_crashes(now, fingerprint, seen, CRASH_RETENTION_MS);
            state.recent_crashes.push_back(crash);
        });
        self.heartbeat_due.notify_one();
    }
}

impl State {
    /// What placement looks at.
    pub fn fleet<'a>(&'a self, settings: &'a DaemonSettings) -> Fleet<'a> {
        Fleet {
            endpoints: &self.endpoints,
            loads: &self.loads,
            outcomes: &self.outcomes,
            home: &settings.zone,
            sees_all_zones: self.members.is_full_mesh(),
            silent_zones: &self.unreachable_zones,
            heard_late: &self.heartbeat_only_endpoints,
        }
    }

    /// Whether an entry that vanishes now may only have lapsed.
    pub fn registry_is_unreliable(&self, now: BootMs) -> bool {
        self.store_failure_ms.is_some_and(|failed| now.since(failed) < STORE_FAILURE_WINDOW_MS)
    }

    /// Whether this VM would know by now of a configuration that was changed.
    pub fn config_is_fresh(&self, now: BootMs) -> bool {
        self.store_confirmed_ms.is_some_and(|confirmed| now.since(confirmed) < CONFIG_FRESH_MS)
    }

    /// Whether endpoints may leave unseen: no VM that is heard reads the store, or nothing has come
    /// of it for long.
    pub fn registry_is_stale(&self, now: BootMs) -> bool {
        let no_readers = !self.reads_store && !self.members.has_reader(now);
        let confirmed_ms = self.store_confirmed_ms;
        no_readers || confirmed_ms.is_none_or(|confirmed| now.since(confirmed) > REGISTRY_STALE_MS)
    }

    /// Who hears at once of changes at `endpoint`.
    pub fn load_note_targets(&self, now: BootMs, endpoint: &EndpointId) -> LoadNoteTargets {
        let zone = self.endpoints.get(endpoint).map(|endpoint| &endpoint.entry.zone);
        match zone {
            Some(zone) if !self.members.is_full_mesh() && *zone != self.members.me().zone => {
                LoadNoteTargets { addresses: self.members.relays(now, zone), relay: true }
            }
            _ => LoadNoteTargets {
                addresses: self.members.sharers(now, endpoint).others,
                relay: false,
            },
        }
    }

    /// Whether other VMs should hear that `endpoint` itself says that it leaves.
    pub fn announces_termination(&self, now: BootMs, endpoint: &EndpointId) -> bool {
        self.termination_notices
            .get(endpoint)
            .is_some_and(|noticed_ms| now.since(*noticed_ms) <= ANNOUNCE_MS)
    }

    /// The endpoints of which other VMs should hear: those in use, suspect ones, and those that
    /// say that they leave.
    pub fn endpoints_to_announce(&mut self, now: BootMs) -> BTreeSet<EndpointId> {
        self.termination_notices.retain(|_, noticed_ms| now.since(*noticed_ms) <= ANNOUNCE_MS);
        let used = self.loads.own().map(|(endpoint, _)| endpoint);
        used.chain(self.outcomes.told(now))
            .chain(self.termination_notices.keys())
            .cloned()
            .collect()
    }

    /// The crashes that other VMs should hear of.
    pub fn crashes_to_announce(&mut self, now: BootMs) -> impl Iterator<Item = &Crash> {
        while self.recent_crashes.front().is_some_and(|c| now.since(c.seen_ms) > ANNOUNCE_MS) {
            self.recent_crashes.pop_front();
        }
        self.recent_crashes.iter()
    }
}

/// A caller's connection that is open.
pub struct ConnectionGuard {
    context: Rc<Context>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.context.connections.set(self.context.connections.get() - 1);
    }
}

/// Load that counts at an endpoint while this lives.
pub struct LoadGuard {
    context: Rc<Context>,
    endpoint: EndpointId,
    load: Load,
}

impl LoadGuard {
    /// Takes in that the engine has read the prompt.
    pub fn on_prompt_read(&mut self) {
        let read = Load { unread_tokens: self.load.unread_tokens, ..Load::default() };
        if read.is_none() {
            return;
        }
        self.context.with(|state| state.loads.remove(&self.endpoint, read));
        self.load = self.load - read;
        self.context.queue_load_note(&self.endpoint, read);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.context.with(|state| state.loads.remove(&self.endpoint, self.load));
        self.context.notify_changed();
        self.context.queue_load_note(&self.endpoint, self.load);
    }
}
