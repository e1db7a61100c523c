//! State, settings and signals shared by all tasks of the daemon.

use crate::caller_limits::CallerLimits;
use crate::endpoint_access::{EndpointAccess, EndpointUse};
use crate::record_passing::RecordsToPassOn;
use crate::shutdown::ShutdownState;
use crate::stream_gossip::StreamMessage;
use gypsumchute_config::DaemonSettings;
use gypsumchute_exchange::Dial;
use gypsumchute_fleet::{Membership, PeerAddress, StoreReplica};
use gypsumchute_routing::admission::AdmissionQueue;
use gypsumchute_routing::brittle_endpoints::BrittleBackoffs;
use gypsumchute_routing::budget::{KnownFleet, RetryAllowance, RetryBudget};
use gypsumchute_routing::crash_reports::{CrashReports, Suspects};
use gypsumchute_routing::endpoint_limits::EndpointLimits;
use gypsumchute_routing::endpoint_links::EndpointLinks;
use gypsumchute_routing::endpoint_pauses::EndpointPauses;
use gypsumchute_routing::load::{Load, LoadTable};
use gypsumchute_routing::outcomes::{OutlierDetector, RequestOutcome};
use gypsumchute_routing::placement::FleetView;
use gypsumchute_routing::poison::PoisonTracker;
use gypsumchute_routing::silent_runs::SilentRuns;
use gypsumchute_routing::stream_versions::StreamVersions;
use gypsumchute_routing::{EndpointTable, RoutingTable, ServiceFeatures};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, ServiceId, ZoneId};
use log::info;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Number of endpoint crashes after which a request counts as a poison request and is refused on
/// all VMs. After two crashes, the request could still be an innocent one that ran next to the
/// poison request.
const MAX_CRASHES_PER_REQUEST: usize = 3;
/// Time for which a crash counts against a request, in milliseconds: callers may return minutes
/// later. Also the time for which a poison request is refused.
pub const CRASH_RETENTION_MS: u64 = 600_000;
/// Time for which an endpoint's termination notice is repeated in heartbeats, in milliseconds.
const ANNOUNCE_MS: u64 = 2_500;
/// Time after a failed read of the store in which the removal of a registry entry is not trusted,
/// in milliseconds: the lease of the entry may have expired because the store was unavailable.
const STORE_FAILURE_WINDOW_MS: u64 = 4_000;
/// Time without a confirmation from the store, or from a VM that reads it, after which the registry
/// counts as stale and engines are polled directly, in milliseconds. A watch can take 1 s, and a
/// slow response to it 0.8 s more.
const REGISTRY_STALE_MS: u64 = 2_200;
/// Maximum age of a store reader's last confirmation for the configuration to be fresh, in milliseconds.
const CONFIG_FRESH_MS: u64 = 4_000;

/// Routing state of the daemon: configuration, endpoints, loads and peers.
pub struct State {
    /// Routing table in force; `None` until the first configuration has been applied.
    pub table: Option<Rc<RoutingTable>>,
    /// Features that are used for each service of `table`.
    pub features: BTreeMap<ServiceId, ServiceFeatures>,
    /// Endpoints in service.
    pub endpoints: EndpointTable,
    /// In-flight load of each endpoint.
    pub loads: LoadTable,
    /// Whether this VM has lost its links to the endpoints.
    pub links: EndpointLinks,
    /// Recent failures of each endpoint.
    pub outcomes: OutlierDetector,
    /// Requests and retries counted against the retry budget.
    pub retries: RetryBudget,
    /// Request rate limits that endpoints have named.
    pub endpoint_limits: EndpointLimits,
    /// Numbers of rejections that brittle endpoints bear.
    pub rejection_limits: EndpointLimits<u32>,
    /// Backoff of this VM at brittle endpoints.
    pub brittle_backoffs: BrittleBackoffs,
    /// Pauses that endpoints have asked this VM for.
    pub endpoint_pauses: EndpointPauses,
    /// Rates at which endpoints are used that are cold or have named a limit.
    pub endpoint_use: EndpointUse,
    /// Requests and segments of prompts that may have crashed endpoints.
    pub suspects: Suspects,
    /// Runs that ended without a response, whose endpoints may have crashed.
    pub silent_runs: SilentRuns,
    /// Software versions at which streams began.
    pub stream_versions: StreamVersions,
    /// Endpoints that have vanished from the registry without notice since the last call of
    /// [`Context::settle_vanished_endpoints`].
    pub vanished_endpoints: Vec<EndpointId>,
    /// Requests that wait for an endpoint with capacity.
    pub admission_queue: AdmissionQueue,
    /// Peer VMs.
    pub members: Membership,
    /// Zones that are likely cut off from this VM by a network partition.
    pub unreachable_zones: BTreeSet<ZoneId>,
    /// Endpoints in this VM's zone whose load is reported to this VM only by heartbeats, not by
    /// load notes.
    pub heartbeat_only_endpoints: BTreeSet<EndpointId>,
    /// Local copy of the data that the platform published.
    pub store_copy: StoreReplica,
    /// When keys that the store has lost in a restore are dropped, if there are any.
    pub write_again_deadline_ms: Option<BootMs>,
    /// Whether this VM reads the store, or a configuration folder, and the last read succeeded.
    pub reads_store: bool,
    /// When a read of the store last failed while no other VM could read it.
    pub store_failure_ms: Option<BootMs>,
    /// When the store, or a VM that reads it, last confirmed that the local copy is current.
    pub store_confirmed_ms: Option<BootMs>,
    /// Random number generator.
    pub rng: StdRng,
    /// Crashes to report in heartbeats.
    pub crash_reports: CrashReports,
    /// Endpoints that reported a termination notice to this VM, and when they did.
    termination_notices: BTreeMap<EndpointId, BootMs>,
}

/// Peers that receive the load notes of an endpoint.
pub struct LoadNoteTargets {
    /// Addresses of the peers.
    pub addresses: Vec<SocketAddrV4>,
    /// Whether the peers forward the note within their zone.
    pub relay: bool,
}

/// Settings, metrics, state and signals shared by all tasks.
pub struct Context {
    /// Settings that the process was started with.
    pub settings: DaemonSettings,
    /// The way to the endpoints.
    pub access: EndpointAccess,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Limits on what clients can make the process hold.
    pub limits: Rc<CallerLimits>,
    /// Signals that a heartbeat should be sent ahead of schedule.
    pub heartbeat_due: Notify,
    /// Signals that load notes are pending.
    pub load_notes_due: Notify,
    /// Endpoints for which a load note is pending.
    pending_load_notes: RefCell<BTreeSet<EndpointId>>,
    /// Brittle endpoints that have just rejected a request, until the next load note.
    pub recent_rejections: RefCell<BTreeSet<EndpointId>>,
    /// Signals that messages on streams are pending.
    pub stream_messages_due: Notify,
    /// Messages on streams that are still to be sent.
    pending_stream_messages: RefCell<Vec<StreamMessage>>,
    /// Records of streams for VMs that may lack them.
    pub records_to_pass_on: RecordsToPassOn,
    /// Routing state, accessed through [`Self::with`].
    state: RefCell<State>,
    /// Notifies waiters of changes to endpoints, loads or the configuration.
    changed: watch::Sender<()>,
    /// Notifies waiters of changes to the registry or the configuration.
    registry_changed: watch::Sender<()>,
    /// Whether the process shuts down.
    pub shutdown: ShutdownState,
    /// Number of open caller connections.
    connections: Cell<usize>,
}

impl Context {
    /// Creates a context without a configuration, endpoints or known peers. `dialer` opens the
    /// connections to endpoints.
    pub fn new(settings: DaemonSettings, dialer: Rc<dyn Dial>) -> Rc<Self> {
        let me = PeerAddress {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            address: settings.peers_listen,
        };
        let state = State {
            table: None,
            features: BTreeMap::new(),
            endpoints: EndpointTable::default(),
            loads: LoadTable::default(),
            links: EndpointLinks::default(),
            outcomes: OutlierDetector::default(),
            retries: RetryBudget::default(),
            endpoint_limits: EndpointLimits::default(),
            rejection_limits: EndpointLimits::default(),
            brittle_backoffs: BrittleBackoffs::default(),
            endpoint_pauses: EndpointPauses::default(),
            endpoint_use: EndpointUse::default(),
            suspects: Suspects {
                requests: PoisonTracker::new(MAX_CRASHES_PER_REQUEST),
                ..Suspects::default()
            },
            silent_runs: SilentRuns::default(),
            stream_versions: StreamVersions::default(),
            vanished_endpoints: Vec::new(),
            admission_queue: AdmissionQueue::default(),
            members: Membership::new(boot_now(), me, settings.seed_addresses()),
            unreachable_zones: BTreeSet::new(),
            heartbeat_only_endpoints: BTreeSet::new(),
            store_copy: StoreReplica::default(),
            write_again_deadline_ms: None,
            reads_store: false,
            store_failure_ms: None,
            store_confirmed_ms: None,
            rng: StdRng::from_rng(&mut rand::rng()),
            crash_reports: CrashReports::default(),
            termination_notices: BTreeMap::new(),
        };
        let metrics = Metrics::new();
        Rc::new(Context {
            limits: CallerLimits::new(&settings, &metrics),
            settings,
            access: EndpointAccess::new(dialer),
            metrics,
            heartbeat_due: Notify::new(),
            load_notes_due: Notify::new(),
            pending_load_notes: RefCell::default(),
            recent_rejections: RefCell::default(),
            stream_messages_due: Notify::new(),
            pending_stream_messages: RefCell::default(),
            records_to_pass_on: RecordsToPassOn::default(),
            state: RefCell::new(state),
            changed: watch::Sender::new(()),
            registry_changed: watch::Sender::new(()),
            shutdown: ShutdownState::default(),
            connections: Cell::new(0),
        })
    }

    /// Runs `act` on the state. `act` must not call methods of the context that access the state,
    /// since the state is already borrowed.
    pub fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.borrow_mut())
    }

    /// Wakes all tasks that wait for a change to endpoints, loads or the configuration.
    pub fn notify_changed(&self) {
        self.changed.send_replace(());
    }

    /// Returns a receiver that fires on each call of [`Self::notify_changed`].
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Wakes all tasks that wait for a change to the registry or the configuration.
    pub fn notify_registry_changed(&self) {
        self.registry_changed.send_replace(());
        self.notify_changed();
    }

    /// Returns a receiver that fires on each call of [`Self::notify_registry_changed`].
    pub fn registry_changes(&self) -> watch::Receiver<()> {
        self.registry_changed.subscribe()
    }

    /// Returns the features that the configuration in force uses for `service`.
    pub fn service_features(&self, service: &ServiceId) -> ServiceFeatures {
        self.with(|state| state.features.get(service).copied().unwrap_or_default())
    }

    /// Returns the number of open caller connections.
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
        self.with(|state| state.loads.add_local(endpoint, load));
        self.queue_load_note(endpoint, load);
        LoadGuard { context: self.clone(), endpoint: endpoint.clone(), load }
    }

    /// Queues a load note that announces a load change at `endpoint`. No note is sent for requests
    /// that use no engine memory: they are short, and heartbeats announce them soon enough.
    fn queue_load_note(&self, endpoint: &EndpointId, change: Load) {
        if change.memory_tokens() + change.pending_prefill_tokens > 0 {
            self.queue_note(endpoint);
        }
    }

    /// Queues load notes for the endpoints in other zones that this VM uses. In a fleet that is too
    /// large for a full mesh, other zones receive no heartbeats of this VM, and discard load that
    /// is not announced again.
    pub fn queue_remote_zone_notes(&self) {
        let own_zone = &self.settings.zone;
        let remote = self.with(|state| {
            let in_use = state.loads.local_loads().filter_map(|(id, _)| state.endpoints.get(id));
            let remote = in_use.filter(|endpoint| endpoint.entry.zone != *own_zone);
            remote.map(|endpoint| endpoint.entry.id.clone()).collect::<Vec<_>>()
        });
        self.pending_load_notes.borrow_mut().extend(remote);
        self.load_notes_due.notify_one();
    }

    /// Removes and returns the endpoints for which a load note is pending.
    pub fn take_pending_load_notes(&self) -> BTreeSet<EndpointId> {
        std::mem::take(&mut *self.pending_load_notes.borrow_mut())
    }

    /// Queues a message on a stream, which is sent at once.
    pub fn queue_stream_message(&self, message: StreamMessage) {
        self.pending_stream_messages.borrow_mut().push(message);
        self.stream_messages_due.notify_one();
    }

    /// Removes and returns the messages on streams that are still to be sent.
    pub fn take_pending_stream_messages(&self) -> Vec<StreamMessage> {
        std::mem::take(&mut *self.pending_stream_messages.borrow_mut())
    }

    /// Records the outcome of a request at `endpoint`, and announces it to peers if the endpoint
    /// has become suspect.
    pub fn record_outcome(&self, endpoint: &EndpointId, outcome: RequestOutcome) {
        let now = boot_now();
        if self.with(|state| state.outcomes.record_outcome(now, endpoint, outcome)) {
            self.queue_note(endpoint);
        }
    }

    /// Queues a load note with what this VM knows of `endpoint`.
    pub fn queue_note(&self, endpoint: &EndpointId) {
        self.pending_load_notes.borrow_mut().insert(endpoint.clone());
        self.load_notes_due.notify_one();
    }

    /// Consumes one retry of `service` from this VM's share of the retry budget. Returns whether
    /// one was left.
    pub fn take_retry(&self, service: &ServiceId, reason: &'static str) -> bool {
        let allowance = self.retry_allowance();
        let taken = self.with(|state| {
            let fleet = state.known_fleet();
            state.retries.try_take_retry(boot_now(), service, allowance, fleet)
        });
        match taken {
            true => self.metrics.count_retry(reason),
            false => self.metrics.count_retry("budget_spent"),
        }
        taken
    }

    /// Reports whether a retry of `service` is left in this VM's share of the retry budget.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        let allowance = self.retry_allowance();
        self.with(|state| {
            let fleet = state.known_fleet();
            state.retries.has_retry(boot_now(), service, allowance, fleet)
        })
    }

    fn retry_allowance(&self) -> RetryAllowance {
        RetryAllowance {
            retries_per_request: self.settings.retry_ratio,
            fixed_retries: self.settings.retry_fixed,
            window_ms: self.settings.retry_window_ms(),
        }
    }

    /// Records that the endpoint that started at `started_wall_ms` gave a termination notice itself,
    /// and announces the notice to peers.
    pub fn record_termination_notice(&self, endpoint: &EndpointId, started_wall_ms: Option<u64>) {
        let now = boot_now();
        let is_new_notice = self.with(|state| {
            state.termination_notices.insert(endpoint.clone(), now);
            state.endpoints.mark_terminating(now, endpoint, started_wall_ms)
        });
        if is_new_notice {
            info!(endpoint = endpoint.as_str(), started_wall_ms:? = started_wall_ms;
                "endpoint says that it is leaving; it gets no new requests");
            self.announce_soon(endpoint);
            self.notify_registry_changed();
        }
    }

    /// Tells peers at once what this VM has learned of `endpoint`.
    pub fn announce_soon(&self, endpoint: &EndpointId) {
        self.queue_note(endpoint);
        self.heartbeat_due.notify_one();
    }
}

impl State {
    /// Returns the inputs for placement decisions.
    pub fn fleet<'a>(&'a self, settings: &'a DaemonSettings) -> FleetView<'a> {
        FleetView {
            endpoints: &self.endpoints,
            loads: &self.loads,
            outcomes: &self.outcomes,
            local_zone: &settings.zone,
            has_all_zone_loads: self.members.is_full_mesh(),
            unreachable_zones: &self.unreachable_zones,
            delayed_load_endpoints: &self.heartbeat_only_endpoints,
        }
    }

    /// Returns what this VM knows of the fleet that shares the retry budget.
    fn known_fleet(&self) -> KnownFleet {
        KnownFleet { vms: self.members.known_vms().len(), since_ms: self.members.discovered_ms() }
    }

    /// Reports whether a registry entry that is removed now may only have expired, because the
    /// store was unavailable.
    pub fn registry_is_unreliable(&self, now: BootMs) -> bool {
        self.store_failure_ms.is_some_and(|failed| now.since(failed) < STORE_FAILURE_WINDOW_MS)
    }

    /// Reports whether the configuration is up to date: a recent change would have reached this VM.
    pub fn config_is_fresh(&self, now: BootMs) -> bool {
        self.store_confirmed_ms.is_some_and(|confirmed| now.since(confirmed) < CONFIG_FRESH_MS)
    }

    /// Reports whether endpoints may be terminated without this VM noticing: no live VM reads the
    /// store, or the last confirmation is too old.
    pub fn registry_is_stale(&self, now: BootMs) -> bool {
        let has_no_reader = !self.reads_store && !self.members.has_reader(now);
        let confirmed_ms = self.store_confirmed_ms;
        has_no_reader
            || confirmed_ms.is_none_or(|confirmed| now.since(confirmed) > REGISTRY_STALE_MS)
    }

    /// Returns the peers that receive load notes of `endpoint`: the other VMs that prefer the
    /// endpoint. If the fleet is too large for a full mesh, notes of an endpoint in another zone go
    /// to a few VMs of that zone instead, which forward the notes within the zone.
    pub fn load_note_targets(&self, now: BootMs, endpoint: &EndpointId) -> LoadNoteTargets {
        let zone = self.endpoints.get(endpoint).map(|endpoint| &endpoint.entry.zone);
        match zone {
            Some(zone) if !self.members.is_full_mesh() && *zone != self.members.local_vm().zone => {
                LoadNoteTargets { addresses: self.members.relay_addresses(now, zone), relay: true }
            }
            _ => LoadNoteTargets {
                addresses: self.members.preferred_senders(now, endpoint).others,
                relay: false,
            },
        }
    }

    /// Reports whether a termination notice of `endpoint` is still announced to peers.
    pub fn announces_termination(&self, now: BootMs, endpoint: &EndpointId) -> bool {
        self.termination_notices
            .get(endpoint)
            .is_some_and(|reported_ms| now.since(*reported_ms) <= ANNOUNCE_MS)
    }

    /// Returns the endpoints that the next heartbeat reports: endpoints in use, suspect endpoints,
    /// and endpoints that reported their termination.
    pub fn endpoints_to_announce(&mut self, now: BootMs) -> BTreeSet<EndpointId> {
        self.termination_notices.retain(|_, reported_ms| now.since(*reported_ms) <= ANNOUNCE_MS);
        let in_use = self.loads.local_loads().map(|(endpoint, _)| endpoint);
        in_use
            .chain(self.outcomes.endpoints_to_report(now))
            .chain(self.termination_notices.keys())
            .chain(self.endpoint_limits.endpoints())
            .chain(self.rejection_limits.endpoints())
            .cloned()
            .collect()
    }
}

/// Counts a caller's connection as open until the guard is dropped.
pub struct ConnectionGuard {
    context: Rc<Context>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.context.connections.set(self.context.connections.get() - 1);
    }
}

/// Counts a load at an endpoint until the guard is dropped.
pub struct LoadGuard {
    context: Rc<Context>,
    endpoint: EndpointId,
    load: Load,
}

impl LoadGuard {
    /// Releases the prefill part of the load once the engine has processed the prompt.
    pub fn release_prefill_load(&mut self) {
        let prefill_load =
            Load { pending_prefill_tokens: self.load.pending_prefill_tokens, ..Load::default() };
        if prefill_load.is_zero() {
            return;
        }
        self.context.with(|state| state.loads.remove_local(&self.endpoint, prefill_load));
        self.load = self.load - prefill_load;
        // Requests may wait for the engine to have less pending prefill.
        self.context.notify_changed();
        self.context.queue_load_note(&self.endpoint, prefill_load);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.context.with(|state| state.loads.remove_local(&self.endpoint, self.load));
        self.context.notify_changed();
        self.context.queue_load_note(&self.endpoint, self.load);
    }
}
