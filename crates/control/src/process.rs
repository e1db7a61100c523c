//! The decision thread of the control process and the startup of all other threads.
//!
//! The decision thread takes messages from one queue, passes the events among them one at a time
//! to the [`Node`] state machine and executes the actions that the node returns.

use crate::config_store::ConfigStore;
use crate::endpoints::{HttpEndpointClient, LoadPollers};
use crate::entries;
use crate::ops;
use crate::peers::{self, SharedVmList};
use crate::platform::{HttpPlatformClient, PlatformReaders};
use flume::{Receiver, RecvTimeoutError, Sender};
use gypsumchute_config::ControlSettings;
use gypsumchute_decide::node::DRAIN_LINGER_MS;
use gypsumchute_decide::{Action, Counter, Event, Identity, Node, NodeStatus, VmList, VmRecord};
use gypsumchute_proto::local::{Readiness, ToEntry, to_entry};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::BootMs;
use gypsumchute_units::time::{boot_now, unix_time_micros};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval between two [`Event::Tick`] events, in milliseconds.
const TICK_MS: u64 = 20;
/// Maximum duration of a graceful shutdown, in milliseconds. It is one hour because the length of
/// a response stream is not known in advance.
const DRAIN_MAX_MS: u64 = 3_600_000;

/// A message in the queue of the decision thread.
#[allow(clippy::large_enum_variant, reason = "most inputs are events")]
pub enum Input {
    /// An event to pass to the [`Node`] state machine.
    Event(Event),
    /// An entry process connected. Carries the number of the connection and the queue of messages
    /// to that process.
    EntryConnected(u64, Sender<ToEntry>),
    /// The entry process on the connection with this number disconnected.
    EntryDisconnected(u64),
    /// Send the status of the node to this channel.
    GetStatus(Sender<NodeStatus>),
    /// Start a graceful shutdown.
    Drain,
    /// Stop immediately.
    Stop,
}

/// A handle to a running control process.
pub struct ControlHandle {
    inputs: Sender<Input>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Starts a graceful shutdown and returns immediately.
    pub fn drain(&self) {
        let _ = self.inputs.send(Input::Drain);
    }

    /// Returns a function that starts a graceful shutdown, for use in signal handlers.
    pub fn drain_trigger(&self) -> impl Fn() + Send + 'static {
        let inputs = self.inputs.clone();
        move || {
            let _ = inputs.send(Input::Drain);
        }
    }

    /// Stops the decision thread without a graceful shutdown and waits until the thread has ended.
    pub fn stop(self) {
        let _ = self.inputs.send(Input::Stop);
        let _ = self.thread.join();
    }

    /// Waits until the decision thread has ended.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Starts the threads of a control process and returns a handle to it.
///
/// # Errors
///
/// Returns an error if one of the listen addresses in `settings` can't be bound, or if the decision
/// thread can't be started.
pub fn start(settings: ControlSettings) -> Result<ControlHandle, Box<dyn Error + Send + Sync>> {
    let socket = UdpSocket::bind(settings.peer_listen)?;
    let transfer_listener = TcpListener::bind(settings.peer_listen)?;
    let entry_listener = TcpListener::bind(settings.entry_listen)?;
    let (inputs, queue) = flume::unbounded();
    let stopped = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::new();
    ops::serve(settings.ops_listen, inputs.clone(), metrics.clone(), stopped.clone())?;

    let config_store = ConfigStore::default();
    let vm_list = SharedVmList::default();
    let reads_platform = Arc::new(AtomicBool::new(true));
    peers::receive_datagrams(socket.try_clone()?, inputs.clone());
    peers::serve_transfers(transfer_listener, config_store.clone(), vm_list.clone());
    entries::accept_connections(entry_listener, inputs.clone());
    let platform = Arc::new(HttpPlatformClient::new(settings.platform));
    let readers = PlatformReaders {
        platform,
        reads_platform: reads_platform.clone(),
        stopped: stopped.clone(),
        config_store: config_store.clone(),
        inputs: inputs.clone(),
    };
    readers.spawn();

    let identity = Identity {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        incarnation: unix_time_micros(),
    };
    let rng_seed = identity.incarnation;
    let node = Node::new(identity, boot_now(), rng_seed, settings.fresh_fleet);
    let pollers = LoadPollers::new(Arc::new(HttpEndpointClient), inputs.clone());
    let mut decision_loop = DecisionLoop {
        node,
        socket,
        config_store,
        vm_list,
        reads_platform,
        stopped,
        inputs: inputs.clone(),
        entry_senders: BTreeMap::new(),
        readiness: Readiness::default(),
        pollers,
        metrics,
        drained_since: None,
        drain_deadline: None,
    };
    let seed_list = seed_list(&settings);
    let thread = thread::Builder::new().name("decisions".to_owned()).spawn(move || {
        decision_loop.apply_seed_list(seed_list);
        decision_loop.run(&queue);
    })?;
    Ok(ControlHandle { inputs, thread })
}

/// Returns the VM list to use until the platform or a peer provides one: the seed peers of the
/// settings and this VM itself, or an empty list if the settings contain no seed peers.
fn seed_list(settings: &ControlSettings) -> VmList {
    let mut list = VmList::default();
    for seed in &settings.seed_peers {
        let record = VmRecord { zone: seed.zone.clone(), address: seed.address, leaving: false };
        list.vms.insert(seed.vm.clone(), record);
    }
    if !list.vms.is_empty() {
        let address = settings.peer_listen;
        let own_record = VmRecord { zone: settings.zone.clone(), address, leaving: false };
        list.vms.insert(settings.vm.clone(), own_record);
    }
    list
}

/// State owned by the decision thread.
struct DecisionLoop {
    node: Node,
    socket: UdpSocket,
    config_store: ConfigStore,
    /// VM list that is served to other VMs.
    vm_list: SharedVmList,
    /// Whether this VM reads the platform; shared with the reader threads.
    reads_platform: Arc<AtomicBool>,
    /// Whether the decision thread has ended; the reader threads and the operators' server then
    /// stop too.
    stopped: Arc<AtomicBool>,
    /// Sender to the queue of the decision thread, cloned for threads that this thread starts.
    inputs: Sender<Input>,
    /// Queues of messages to the connected entry processes, by connection number.
    entry_senders: BTreeMap<u64, Sender<ToEntry>>,
    /// Readiness that was last sent to the entry processes.
    readiness: Readiness,
    pollers: LoadPollers,
    metrics: Metrics,
    /// Time since which the node is drained and no entry process is connected; see
    /// [`DecisionLoop::is_drain_complete`].
    drained_since: Option<BootMs>,
    /// Time at which a graceful shutdown ends at the latest; `None` before [`Input::Drain`].
    drain_deadline: Option<BootMs>,
}

impl DecisionLoop {
    /// Passes the seed list to the node, unless the list is empty.
    fn apply_seed_list(&mut self, seed_list: VmList) {
        if !seed_list.vms.is_empty() {
            self.handle_event(Event::VmList(seed_list));
        }
    }

    /// Handles inputs and ticks until [`Input::Stop`] or until a graceful shutdown is complete.
    fn run(&mut self, queue: &Receiver<Input>) {
        let tick = Duration::from_millis(TICK_MS);
        let mut next_tick = Instant::now();
        while !self.is_drain_complete() {
            // A queue that is never empty must not delay the ticks, on which leases are renewed.
            let received = match Instant::now() >= next_tick {
                true => Err(RecvTimeoutError::Timeout),
                false => queue.recv_deadline(next_tick),
            };
            match received {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + tick;
                    self.handle_event(Event::Tick);
                    self.publish_readiness();
                }
            }
        }
        self.pollers.stop_all();
        self.stopped.store(true, Ordering::Relaxed);
        log::info!("control process stopped");
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::EntryConnected(entry, sender) => {
                let _ = sender.try_send(readiness_message(&self.readiness));
                self.entry_senders.insert(entry, sender);
            }
            Input::EntryDisconnected(entry) => {
                self.entry_senders.remove(&entry);
                self.handle_event(Event::EntryDisconnected(entry));
            }
            Input::GetStatus(reply) => {
                let _ = reply.try_send(self.node.status());
            }
            Input::Drain => {
                log::info!("graceful shutdown started");
                self.drain_deadline.get_or_insert(boot_now() + DRAIN_MAX_MS);
                self.handle_event(Event::Drain);
            }
            // `run` ends its loop at this message and does not pass it on.
            Input::Stop => {}
        }
    }

    /// Passes an event to the node and executes the resulting actions. After a VM list event, also
    /// updates the list that is served to other VMs.
    fn handle_event(&mut self, event: Event) {
        let is_vm_list = matches!(event, Event::VmList(_));
        for action in self.node.handle(boot_now(), event) {
            self.execute(action);
        }
        if is_vm_list {
            let mut shared = self.vm_list.lock().unwrap_or_else(PoisonError::into_inner);
            shared.clone_from(self.node.vm_list());
        }
    }

    /// Executes an action: sends it as a message to an entry process if it is addressed to one, and
    /// otherwise passes it to the module that is responsible for it.
    fn execute(&mut self, action: Action) {
        if let Some((entry, message)) = entries::action_to_message(&action) {
            let sent = self
                .entry_senders
                .get(&entry)
                .is_some_and(|sender| sender.try_send(message).is_ok());
            // The connection is closed, or its queue is full: give up the connection.
            if !sent {
                self.entry_senders.remove(&entry);
            }
            return;
        }
        match action {
            Action::Send { address, frame, .. } => {
                let bytes = peers::send_datagram(&self.socket, address, &frame);
                self.metrics.count_peer_message(bytes as u64);
            }
            Action::FetchConfig(peer) => {
                peers::fetch_config(peer, self.config_store.clone(), self.inputs.clone());
            }
            Action::FetchVmList(peer) => peers::fetch_vm_list(peer, self.inputs.clone()),
            Action::ReadPlatform(enabled) => self.reads_platform.store(enabled, Ordering::Relaxed),
            Action::PollLoad(endpoints) => self.pollers.set_endpoints(endpoints),
            Action::Order(order) => self.pollers.send_order(order),
            Action::Count(counter) => self.record_counter(&counter),
            // Sent to the entry process above.
            Action::Granted(_) | Action::Refused(..) | Action::Replay(..) | Action::Stop(..) => {}
        }
    }

    /// Increments the metric that belongs to a counter of the node.
    fn record_counter(&self, counter: &Counter) {
        match counter {
            Counter::Admitted(route) => self.metrics.count_admitted_request(route.as_str()),
            Counter::Charged(customer) => {
                self.metrics.count_rate_charge(customer.as_str(), "charged")
            }
            Counter::Refunded(customer) => {
                self.metrics.count_rate_charge(customer.as_str(), "refunded");
            }
            Counter::Refused(reason, verdict) => {
                self.metrics.count_refusal(reason.into(), verdict.into());
            }
            Counter::Retried(reason) => self.metrics.count_retry(reason.into()),
        }
    }

    /// Sends the readiness to all entry processes if it changed.
    fn publish_readiness(&mut self) {
        let current = Readiness {
            ready: self.node.is_ready(),
            draining: self.drain_deadline.is_some() || self.node.is_draining(),
            max_body_bytes: self.node.max_body_bytes(),
        };
        if current != self.readiness {
            self.readiness = current;
            let message = readiness_message(&self.readiness);
            self.entry_senders.retain(|_, sender| sender.try_send(message.clone()).is_ok());
        }
    }

    /// Reports whether a graceful shutdown is complete.
    ///
    /// The shutdown is complete once the node has been drained and all entry processes have been
    /// disconnected for [`DRAIN_LINGER_MS`]. By then, the leases that involve this VM have expired.
    /// At the drain deadline, the shutdown counts as complete in any case.
    fn is_drain_complete(&mut self) -> bool {
        let Some(deadline) = self.drain_deadline else { return false };
        let now = boot_now();
        if !self.node.is_drained() || !self.entry_senders.is_empty() {
            self.drained_since = None;
            return now >= deadline;
        }
        let drained_since = *self.drained_since.get_or_insert(now);
        now.since(drained_since) >= DRAIN_LINGER_MS || now >= deadline
    }
}

fn readiness_message(readiness: &Readiness) -> ToEntry {
    ToEntry { body: Some(to_entry::Body::Readiness(*readiness)) }
}
