//! Limits on the memory and descriptors that clients can make the process hold.
//!
//! The limits are derived from the memory of the VM and its number of descriptors. Each share is a
//! guard that returns it on drop. A limit on connections closes the connection that has been without a
//! request for the longest; a limit on requests refuses new ones, which have not been sent yet.

use gypsumchute_config::DaemonSettings;
use gypsumchute_exchange::{BufferBudget, BytesLeft};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use log::warn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::sync::{Notify, Semaphore};

/// Size that the shares of the memory below refer to, in megabytes: that of the smallest VM. Those of
/// connections, heads and streams are set apart; requests in progress and bodies draw on one pool, the
/// rest of the memory, besides their own limits.
const REFERENCE_MB: usize = 88;
/// Memory of the process itself, in megabytes: an idle one takes 8 MB, and the allocator keeps some of
/// what was freed.
const PROCESS_MB: usize = 12;
/// Lower bound of the pool, in megabytes: a body of the largest usual size and a few requests.
const MIN_POOL_MB: usize = 2;
/// Share of the memory for large request bodies that are buffered at once, of [`REFERENCE_MB`].
const LARGE_REQUESTS_MB: usize = 24;
/// Share of the memory for small request bodies, which a VM of the planned size needs for 160
/// concurrent requests with bodies of 50 KB, of [`REFERENCE_MB`].
const SMALL_REQUESTS_MB: usize = 8;
/// Share of the memory for large responses that are buffered at once, of [`REFERENCE_MB`].
const LARGE_RESPONSES_MB: usize = 16;
/// Share of the memory for small responses that are buffered at once, of [`REFERENCE_MB`].
const SMALL_RESPONSES_MB: usize = 4;
/// Share of the memory for events that callers have not read, of [`REFERENCE_MB`].
const STREAMS_MB: usize = 8;
/// Share of the memory for heads that are not complete, of [`REFERENCE_MB`]: 250 of the largest ones.
const HEADS_MB: usize = 4;
/// Share of the memory for connections of callers, of [`REFERENCE_MB`]. The smallest VM has 1,500 in
/// ordinary use, and 1,600 fit.
const CONNECTIONS_MB: usize = 32;
/// Memory of a connection without a request, in kilobytes: 900 took 17 MB, with 21 KB of each for the
/// future of a request, which are allocated with the request since.
const CONNECTION_KB: usize = 20;
/// Share of the memory for requests in progress without their bodies, of [`REFERENCE_MB`].
const REQUESTS_MB: usize = 33;
/// Memory of a request in progress without its bodies, in kilobytes: the buffers of the connection to
/// the endpoint, an incomplete event and the task. The smallest VM bears 512 requests by it, three
/// times the planned number.
const REQUEST_KB: usize = 64;
/// Lower bound of the memory in the settings, in megabytes. An idle process takes 8 MB.
const MIN_MEMORY_MB: usize = 16;

/// One in this many descriptors is for a connection of a caller.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// One in this many descriptors is for a request in progress, which uses up to two others for
/// endpoints or peers.
const DESCRIPTORS_PER_REQUEST: usize = 5;
/// One in this many descriptors is for a connection on the port for peers. A VM can be asked by each of
/// 195 others at once.
const DESCRIPTORS_PER_PEER_CONNECTION: usize = 16;
/// One in this many descriptors is for a connection on one of the status ports.
const DESCRIPTORS_PER_STATUS_CONNECTION: usize = 64;
/// Lower bound of the number of connections on the port for peers and on a status port.
const MIN_CONNECTIONS: usize = 8;
/// Maximum part of the connections on one of these ports that one address may use, in percent. The rest
/// is left to others.
const MAX_ADDRESS_PERCENT: usize = 75;

/// Minimum time between two log lines on connections that were closed, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Why a connection was closed, or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClosedFor {
    /// Too many connections of callers are open.
    CallerConnections,
    /// Too many bytes of incomplete heads are buffered.
    IncompleteHeads,
    /// The client has not read the response.
    Stalled,
    /// Too many connections on the port for peers are open.
    PeerConnections,
    /// Too many connections on a status port are open.
    StatusConnections,
}

/// A connection of a caller that is open.
#[derive(Debug)]
struct Connection {
    /// Order in which connections became idle. `None` while a request is in progress.
    idle_since: Option<u64>,
    /// Bytes that were received since.
    head_bytes: usize,
    /// Signals that the connection is to be closed.
    close: Rc<Notify>,
}

/// Connections of callers that are open.
#[derive(Debug, Default)]
struct Registry {
    connections: BTreeMap<u64, Connection>,
    next_id: u64,
    next_idle: u64,
    head_bytes: usize,
}

impl Registry {
    /// Removes the connection that has been without a request for the longest, of those that `filter`
    /// accepts, and tells it to close. Reports whether there was one.
    fn close_idle(&mut self, filter: impl Fn(&Connection) -> bool) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| filter(connection));
        let idle = idle.filter_map(|(id, connection)| Some((connection.idle_since?, *id)));
        let Some((_, id)) = idle.min() else { return false };
        self.remove(id);
        true
    }

    /// Removes a connection, if it was not removed yet, and tells it to close.
    fn remove(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id) {
            self.head_bytes -= connection.head_bytes;
            connection.close.notify_one();
        }
    }

    fn next_idle(&mut self) -> u64 {
        self.next_idle += 1;
        self.next_idle
    }
}

/// Limits and what is in use of them. See the module documentation.
#[derive(Debug)]
pub struct CallerLimits {
    /// Memory for request bodies, which are buffered as a whole.
    pub request_buffers: BufferBudget,
    /// Memory for responses that are buffered as a whole.
    pub response_buffers: BufferBudget,
    /// Memory for events that callers have not read, in bytes.
    pub stream_buffers: Arc<Semaphore>,
    /// Time without any progress after which a response is aborted.
    pub stall_limit: Duration,
    /// Connections on the port for peers.
    pub peer_slots: ConnectionSlots,
    /// Connections on the port for readiness checks.
    pub readiness_slots: ConnectionSlots,
    /// Connections on the port for metrics.
    pub metrics_slots: ConnectionSlots,
    budget_bytes: BudgetBytes,
    /// Memory for requests in progress and for the bodies of requests and responses, in bytes.
    pool: BytesLeft,
    pool_bytes: usize,
    max_connections: usize,
    max_requests: usize,
    max_head_bytes: usize,
    requests: Cell<usize>,
    registry: RefCell<Registry>,
    metrics: Metrics,
    last_log: Cell<Option<BootMs>>,
    unlogged: Cell<u64>,
}

/// Sizes of the budgets for buffers, in bytes.
#[derive(Debug, Clone, Copy)]
struct BudgetBytes {
    large_requests: usize,
    small_requests: usize,
    large_responses: usize,
    small_responses: usize,
    streams: usize,
}

impl CallerLimits {
    /// Derives the limits from `settings`. What is closed is counted in `metrics`.
    pub fn new(settings: &DaemonSettings, metrics: &Metrics) -> Rc<Self> {
        let memory_mb = usize::try_from(settings.memory_mb).unwrap_or(usize::MAX >> 20);
        let memory_bytes = memory_mb.clamp(MIN_MEMORY_MB, usize::MAX >> 20) << 20;
        let share = |reference_mb: usize| memory_bytes / REFERENCE_MB * reference_mb;
        let budget_bytes = BudgetBytes {
            large_requests: share(LARGE_REQUESTS_MB),
            small_requests: share(SMALL_REQUESTS_MB),
            large_responses: share(LARGE_RESPONSES_MB),
            small_responses: share(SMALL_RESPONSES_MB),
            streams: share(STREAMS_MB).min(Semaphore::MAX_PERMITS),
        };
        let set_apart = share(CONNECTIONS_MB + HEADS_MB + STREAMS_MB) + (PROCESS_MB << 20);
        let pool_bytes = memory_bytes.saturating_sub(set_apart).max(MIN_POOL_MB << 20);
        let pool = BytesLeft::new(pool_bytes);
        let descriptors = settings.max_descriptors;
        let status_slots = || {
            let slots = descriptors / DESCRIPTORS_PER_STATUS_CONNECTION;
            ConnectionSlots::new(slots.max(MIN_CONNECTIONS))
        };
        let peer_slots = descriptors / DESCRIPTORS_PER_PEER_CONNECTION;
        Rc::new(CallerLimits {
            request_buffers: BufferBudget::with_small_bodies(
                budget_bytes.large_requests,
                budget_bytes.small_requests,
            )
            .within(&pool),
            response_buffers: BufferBudget::with_small_bodies(
                budget_bytes.large_responses,
                budget_bytes.small_responses,
            )
            .within(&pool),
            stream_buffers: Arc::new(Semaphore::new(budget_bytes.streams)),
            stall_limit: Duration::from_millis(settings.caller_stall_ms()),
            peer_slots: ConnectionSlots::new(peer_slots.max(MIN_CONNECTIONS)),
            readiness_slots: status_slots(),
            metrics_slots: status_slots(),
            budget_bytes,
            pool,
            pool_bytes,
            max_connections: (descriptors / DESCRIPTORS_PER_CONNECTION)
                .min(share(CONNECTIONS_MB) / (CONNECTION_KB << 10))
                .max(MIN_CONNECTIONS),
            max_requests: (descriptors / DESCRIPTORS_PER_REQUEST)
                .min(share(REQUESTS_MB) / (REQUEST_KB << 10))
                .max(MIN_CONNECTIONS),
            max_head_bytes: share(HEADS_MB),
            requests: Cell::new(0),
            registry: RefCell::default(),
            metrics: metrics.clone(),
            last_log: Cell::new(None),
            unlogged: Cell::new(0),
        })
    }

    /// Counts a caller's connection as open. If there are too many, closes the one that has been
    /// without a request for the longest; returns `None` if there is none.
    pub fn open_connection(self: &Rc<Self>) -> Option<OpenConnection> {
        let mut registry = self.registry.borrow_mut();
        if registry.connections.len() >= self.max_connections {
            self.log_closed(ClosedFor::CallerConnections);
            if !registry.close_idle(|_| true) {
                return None;
            }
        }
        let (id, close) = (registry.next_id, Rc::new(Notify::new()));
        registry.next_id += 1;
        let idle_since = Some(registry.next_idle());
        let connection = Connection { idle_since, head_bytes: 0, close: close.clone() };
        registry.connections.insert(id, connection);
        drop(registry);
        Some(OpenConnection { limits: self.clone(), id, close })
    }

    /// Counts a request as in progress until the guard is dropped. Returns `None` if too many are.
    pub fn begin_request(self: &Rc<Self>) -> Option<RequestGuard> {
        self.begin_request_of(None)
    }

    /// Counts a request like [`Self::begin_request`]; `connection` is the caller's connection.
    fn begin_request_of(self: &Rc<Self>, connection: Option<u64>) -> Option<RequestGuard> {
        if self.requests.get() >= self.max_requests || !self.pool.try_take(REQUEST_KB << 10) {
            return None;
        }
        self.requests.set(self.requests.get() + 1);
        Some(RequestGuard { limits: self.clone(), connection })
    }

    /// Reports whether another request may begin.
    pub fn has_request_room(&self) -> bool {
        self.requests.get() < self.max_requests && self.pool.get() >= REQUEST_KB << 10
    }

    /// Counts a connection that was closed, or not accepted, and logs it unless another one was logged
    /// just before.
    pub fn log_closed(&self, reason: ClosedFor) {
        let reason: &'static str = reason.into();
        self.metrics.count_closed_connection(reason);
        let now = boot_now();
        let is_due = self.last_log.get().is_none_or(|last| now.since(last) >= LOG_INTERVAL_MS);
        if !is_due {
            self.unlogged.set(self.unlogged.get() + 1);
            return;
        }
        self.last_log.set(Some(now));
        warn!(reason, others = self.unlogged.take(), requests = self.requests.get();
            "connection closed for a limit");
    }

    /// Records in the metrics what is in use.
    pub fn record_usage(&self) {
        let budget = &self.budget_bytes;
        let small = |buffers: &BufferBudget| buffers.available_small_bytes().unwrap_or_default();
        let (requests, responses) = (&self.request_buffers, &self.response_buffers);
        let (connections, head_bytes) = {
            let registry = self.registry.borrow();
            (registry.connections.len(), registry.head_bytes)
        };
        let in_use = [
            ("connections", connections),
            ("requests", self.requests.get()),
            ("pool_bytes", self.pool_bytes - self.pool.get()),
            ("head_bytes", head_bytes),
            ("large_request_bytes", budget.large_requests - requests.available_bytes()),
            ("small_request_bytes", budget.small_requests - small(requests)),
            ("large_response_bytes", budget.large_responses - responses.available_bytes()),
            ("small_response_bytes", budget.small_responses - small(responses)),
            ("stream_bytes", budget.streams - self.stream_buffers.available_permits()),
            ("peer_connections", self.peer_slots.in_use()),
            ("readiness_connections", self.readiness_slots.in_use()),
            ("metrics_connections", self.metrics_slots.in_use()),
        ];
        for (resource, amount) in in_use {
            self.metrics.record_in_use(resource, amount as u64);
        }
    }
}

/// A caller's connection that counts as open until this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    limits: Rc<CallerLimits>,
    id: u64,
    close: Rc<Notify>,
}

impl OpenConnection {
    /// Counts bytes that were received while no request is in progress: they belong to a head. If there
    /// are too many, the connection is closed that has been reading a head for the longest.
    pub fn on_received(&self, bytes: usize) {
        let mut registry = self.limits.registry.borrow_mut();
        let connection = registry.connections.get_mut(&self.id);
        let Some(connection) = connection.filter(|connection| connection.idle_since.is_some())
        else {
            return;
        };
        connection.head_bytes += bytes;
        registry.head_bytes += bytes;
        let is_reading = |connection: &Connection| connection.head_bytes > 0;
        while registry.head_bytes > self.limits.max_head_bytes && registry.close_idle(is_reading) {
            self.limits.log_closed(ClosedFor::IncompleteHeads);
        }
    }

    /// Counts a request of this connection as in progress until the guard is dropped. Returns `None` if
    /// too many requests are, or if the connection is about to be closed.
    pub fn begin_request(&self) -> Option<RequestGuard> {
        {
            let mut registry = self.limits.registry.borrow_mut();
            let connection = registry.connections.get_mut(&self.id)?;
            connection.idle_since = None;
            let head_bytes = std::mem::take(&mut connection.head_bytes);
            registry.head_bytes -= head_bytes;
        }
        let request = self.limits.begin_request_of(Some(self.id));
        if request.is_none() {
            self.limits.on_idle(self.id);
        }
        request
    }

    /// Completes once the connection is to be closed because of a limit.
    pub async fn close_due(&self) {
        while self.limits.registry.borrow().connections.contains_key(&self.id) {
            self.close.notified().await;
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.limits.registry.borrow_mut().remove(self.id);
    }
}

impl CallerLimits {
    /// Records that a connection has no request in progress.
    fn on_idle(&self, id: u64) {
        let mut registry = self.registry.borrow_mut();
        let idle_since = registry.next_idle();
        if let Some(connection) = registry.connections.get_mut(&id) {
            connection.idle_since = Some(idle_since);
        }
    }
}

/// A request that counts as in progress until this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    limits: Rc<CallerLimits>,
    /// The caller's connection; `None` for a request that another VM forwards.
    connection: Option<u64>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.limits.requests.set(self.limits.requests.get() - 1);
        self.limits.pool.give_back(REQUEST_KB << 10);
        if let Some(id) = self.connection {
            self.limits.on_idle(id);
        }
    }
}

/// Places for connections on one port.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_connections: usize,
    by_address: Rc<RefCell<BTreeMap<IpAddr, usize>>>,
}

impl ConnectionSlots {
    /// Creates `max_connections` places.
    pub fn new(max_connections: usize) -> Self {
        ConnectionSlots { max_connections, by_address: Rc::default() }
    }

    /// Returns the number of places that are in use.
    pub fn in_use(&self) -> usize {
        self.by_address.borrow().values().sum()
    }

    /// Takes a place for a connection from `address`. Returns `None` if none is left, or if that
    /// address uses its part of them.
    pub fn take(&self, address: IpAddr) -> Option<SlotGuard> {
        if self.in_use() >= self.max_connections {
            return None;
        }
        let mut by_address = self.by_address.borrow_mut();
        let count = by_address.entry(address).or_default();
        if *count * 100 >= self.max_connections * MAX_ADDRESS_PERCENT {
            return None;
        }
        *count += 1;
        Some(SlotGuard { by_address: self.by_address.clone(), address })
    }
}

/// A place that is in use until this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    by_address: Rc<RefCell<BTreeMap<IpAddr, usize>>>,
    address: IpAddr,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut by_address = self.by_address.borrow_mut();
        if let Some(count) = by_address.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                by_address.remove(&self.address);
            }
        }
    }
}
