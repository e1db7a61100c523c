//! The thread that decides: events in, actions out, one at a time.

use crate::config_store::ConfigStore;
use crate::endpoints::{HttpEndpoints, LoadPollers};
use crate::entries;
use crate::ops;
use crate::peers::{self, SharedList};
use crate::platform::{HttpPlatform, Readers};
use flume::{Receiver, RecvTimeoutError, Sender};
use gypsumchute_config::ControlSettings;
use gypsumchute_decide::node::DRAIN_LINGER_MS;
use gypsumchute_decide::{Action, Counter, Event, Identity, Node, NodeStatus, VmList, VmRecord};
use gypsumchute_proto::local::{Readiness, ToEntry, to_entry};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::BootMs;
use gypsumchute_units::time::{boot_now, wall_micros};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::{TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time between two ticks.
const TICK_MS: u64 = 20;
/// Longest graceful shutdown: streams have unknown length, so it is long.
const DRAIN_MAX_MS: u64 = 3_600_000;

/// What reaches the deciding thread.
#[allow(clippy::large_enum_variant, reason = "most inputs are events")]
pub enum Input {
    /// Something for the decisions.
    Event(Event),
    /// An entry process has connected; messages to it go here.
    EntryJoined(u64, Sender<ToEntry>),
    /// An entry process is gone.
    EntryLeft(u64),
    /// Somebody wants the status.
    Status(Sender<NodeStatus>),
    /// Shut down gracefully.
    Drain,
    /// End now.
    Stop,
}

/// A running control process.
pub struct ControlHandle {
    inputs: Sender<Input>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Begins a graceful shutdown.
    pub fn drain(&self) {
        let _ = self.inputs.send(Input::Drain);
    }

    /// A function that begins a graceful shutdown, for signal handlers.
    pub fn drainer(&self) -> impl Fn() + Send + 'static {
        let inputs = self.inputs.clone();
        move || {
            let _ = inputs.send(Input::Drain);
        }
    }

    /// Ends at once, and waits for it.
    pub fn stop(self) {
        let _ = self.inputs.send(Input::Stop);
        let _ = self.thread.join();
    }

    /// Waits until the process has ended.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Starts a control process with these settings.
///
/// # Errors
///
/// One of its addresses can't be bound.
pub fn start(settings: ControlSettings) -> Result<ControlHandle, Box<dyn Error + Send + Sync>> {
    let socket = UdpSocket::bind(settings.peer_listen)?;
    let transfers = TcpListener::bind(settings.peer_listen)?;
    let entry_listener = TcpListener::bind(settings.entry_listen)?;
    let (inputs, queue) = flume::unbounded();
    let stopped = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::new();
    ops::serve(settings.ops_listen, inputs.clone(), metrics.clone(), stopped.clone())?;

    let store = ConfigStore::default();
    let list = SharedList::default();
    let reads = Arc::new(AtomicBool::new(true));
    peers::receive(socket.try_clone()?, inputs.clone());
    peers::serve_transfers(transfers, store.clone(), list.clone());
    entries::accept(entry_listener, inputs.clone());
    let platform = Arc::new(HttpPlatform::new(settings.platform));
    let readers = Readers {
        platform,
        reads: reads.clone(),
        stopped: stopped.clone(),
        store: store.clone(),
        inputs: inputs.clone(),
    };
    readers.spawn();

    let identity = Identity {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        incarnation: wall_micros(),
    };
    let seed = identity.incarnation;
    let node = Node::new(identity, boot_now(), seed, settings.fresh_fleet);
    let pollers = LoadPollers::new(Arc::new(HttpEndpoints), inputs.clone());
    let mut process = Process {
        node,
        socket,
        store,
        list,
        reads,
        stopped,
        inputs: inputs.clone(),
        entries: BTreeMap::new(),
        readiness: Readiness::default(),
        pollers,
        metrics,
        quiet_since: None,
        drain_until: None,
    };
    let seeds = seed_list(&settings);
    let thread = thread::Builder::new().name("decisions".to_owned()).spawn(move || {
        process.seed(seeds);
        process.run(&queue);
    })?;
    Ok(ControlHandle { inputs, thread })
}

/// The VMs that are known before the platform or a peer has told of any.
fn seed_list(settings: &ControlSettings) -> VmList {
    let mut list = VmList::default();
    for seed in &settings.seed_peers {
        let record = VmRecord { zone: seed.zone.clone(), address: seed.address, leaving: false };
        list.vms.insert(seed.vm.clone(), record);
    }
    if !list.vms.is_empty() {
        let address = settings.peer_listen;
        let me = VmRecord { zone: settings.zone.clone(), address, leaving: false };
        list.vms.insert(settings.vm.clone(), me);
    }
    list
}

struct Process {
    node: Node,
    socket: UdpSocket,
    store: ConfigStore,
    list: SharedList,
    reads: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    inputs: Sender<Input>,
    entries: BTreeMap<u64, Sender<ToEntry>>,
    readiness: Readiness,
    pollers: LoadPollers,
    metrics: Metrics,
    quiet_since: Option<BootMs>,
    drain_until: Option<BootMs>,
}

impl Process {
    fn seed(&mut self, seeds: VmList) {
        if !seeds.vms.is_empty() {
            self.decide(Event::List(seeds));
        }
    }

    fn run(&mut self, queue: &Receiver<Input>) {
        let tick = Duration::from_millis(TICK_MS);
        let mut next_tick = Instant::now();
        while !self.is_done() {
            match queue.recv_deadline(next_tick) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + tick;
                    self.decide(Event::Tick);
                    self.tell_readiness();
                }
            }
        }
        self.pollers.stop();
        self.stopped.store(true, Ordering::Relaxed);
        log::info!("control process ends");
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.decide(event),
            Input::EntryJoined(entry, out) => {
                let _ = out.try_send(ready_message(&self.readiness));
                self.entries.insert(entry, out);
            }
            Input::EntryLeft(entry) => {
                self.entries.remove(&entry);
                self.decide(Event::EntryGone(entry));
            }
            Input::Status(reply) => {
                let _ = reply.try_send(self.node.status());
            }
            Input::Drain => {
                log::info!("graceful shutdown begins");
                self.drain_until.get_or_insert(boot_now() + DRAIN_MAX_MS);
                self.decide(Event::Drain);
            }
            Input::Stop => {}
        }
    }

    fn decide(&mut self, event: Event) {
        let newer_list = matches!(event, Event::List(_));
        for action in self.node.handle(boot_now(), event) {
            self.carry_out(action);
        }
        if newer_list {
            let mut shared = self.list.lock().unwrap_or_else(PoisonError::into_inner);
            shared.clone_from(self.node.vm_list());
        }
    }

    fn carry_out(&mut self, action: Action) {
        if let Some((entry, message)) = entries::message_of(&action) {
            let sent = self.entries.get(&entry).is_some_and(|out| out.try_send(message).is_ok());
            if !sent {
                self.entries.remove(&entry);
            }
            return;
        }
        match action {
            Action::Send { address, frame, .. } => {
                let bytes = peers::send(&self.socket, address, &frame);
                self.metrics.count_message(bytes as u64);
            }
            Action::FetchConfig(from) => {
                peers::fetch_config(from, self.store.clone(), self.inputs.clone());
            }
            Action::FetchList(from) => peers::fetch_list(from, self.inputs.clone()),
            Action::ReadPlatform(reads) => self.reads.store(reads, Ordering::Relaxed),
            Action::PollLoad(endpoints) => self.pollers.follow(endpoints),
            Action::Order(order) => self.pollers.order(order),
            Action::Count(counter) => self.count(&counter),
            Action::Granted(_) | Action::Refused(..) | Action::Replay(..) | Action::Stop(..) => {}
        }
    }

    fn count(&self, counter: &Counter) {
        match counter {
            Counter::Admitted(route) => self.metrics.count_admitted(route.as_str()),
            Counter::Charged(customer) => self.metrics.count_charge(customer.as_str(), "charged"),
            Counter::Refunded(customer) => {
                self.metrics.count_charge(customer.as_str(), "refunded");
            }
            Counter::Refused(reason, verdict) => {
                self.metrics.count_refusal(reason.into(), verdict.into());
            }
            Counter::Retried(reason) => self.metrics.count_retry(reason.into()),
        }
    }

    fn tell_readiness(&mut self) {
        let now = Readiness {
            ready: self.node.is_ready(),
            draining: self.drain_until.is_some() || self.node.is_retired(),
            max_body_bytes: self.node.max_body_bytes(),
        };
        if now != self.readiness {
            self.readiness = now;
            let message = ready_message(&self.readiness);
            self.entries.retain(|_, out| out.try_send(message.clone()).is_ok());
        }
    }

    /// Whether a graceful shutdown is over: nothing is under way and all leases have run out.
    fn is_done(&mut self) -> bool {
        let Some(until) = self.drain_until else { return false };
        let now = boot_now();
        if !self.node.is_drained() || !self.entries.is_empty() {
            self.quiet_since = None;
            return now >= until;
        }
        let quiet_since = *self.quiet_since.get_or_insert(now);
        now.since(quiet_since) >= DRAIN_LINGER_MS || now >= until
    }
}

fn ready_message(readiness: &Readiness) -> ToEntry {
    ToEntry { body: Some(to_entry::Body::Readiness(*readiness)) }
}
