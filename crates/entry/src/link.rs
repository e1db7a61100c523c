//! Connection to the control process of this VM.
//!
//! Each request in flight has a number and a queue of events that the control process sends about
//! the request. When the connection is lost, requests that wait for a decision are refused, and
//! requests at endpoints continue. After reconnecting, requests at endpoints are reported again,
//! because the control process may have been restarted.

use flume::{Receiver, Sender};
use gypsumchute_proto::local::{
    Admit, Adopt, EntryHello, Finished, Granted, Readiness, Refused, Replay, Retry, Stop,
    ToControl, ToEntry, to_control, to_entry,
};
use gypsumchute_proto::{FrameReader, FrameWriter};
use gypsumchute_units::Refusal;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Timeout for connecting to the control process, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Delay between two attempts to connect, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 50;
/// Maximum time that a request waits for a decision of the control process, in milliseconds. This
/// includes the time in the queue, so it must exceed the time that a route lets requests queue.
pub const DECISION_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of messages that wait to be sent to the control process.
const OUTGOING_QUEUE_CAPACITY: usize = 8_192;

/// An event that concerns one request.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The request may be sent to this endpoint.
    Granted(Granted),
    /// The request is refused.
    Refused(Refused),
    /// The request is answered with the stored response of an earlier request.
    Replay(Replay),
    /// The request is cancelled for this reason.
    Stop(Stop),
    /// The connection to the control process was lost, or no decision arrived in time.
    ControlUnavailable,
}

/// A request that the control process has been asked to admit and that has not finished.
#[derive(Debug)]
struct InFlightRequest {
    /// Admission message, with the endpoint that was granted last.
    admit: Admit,
    /// Customer of the request while an endpoint is granted, or `None` while waiting for a
    /// decision.
    customer: Option<String>,
    event_sender: Sender<ControlEvent>,
}

/// Mutable state of the link.
#[derive(Debug, Default)]
struct State {
    /// Requests in flight, by request number.
    requests: BTreeMap<u64, InFlightRequest>,
    /// Queue of the writer thread, or `None` while disconnected.
    outgoing: Option<Sender<ToControl>>,
    /// Latest readiness that the control process reported.
    readiness: Readiness,
}

/// The connection to the control process, shared by all requests.
#[derive(Debug, Clone)]
pub struct ControlLink {
    state: Arc<Mutex<State>>,
    next_request: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl ControlLink {
    /// Starts a thread that connects to the control process at `control`, and reconnects after each
    /// loss of the connection.
    pub fn start(control: SocketAddr) -> Self {
        let link = ControlLink {
            state: Arc::default(),
            next_request: Arc::new(AtomicU64::new(1)),
            stopped: Arc::default(),
        };
        let connector = link.clone();
        thread::spawn(move || {
            while !connector.stopped.load(Ordering::Relaxed) {
                connector.run_connection(control);
                thread::sleep(Duration::from_millis(RECONNECT_DELAY_MS));
            }
        });
        link
    }

    /// Closes the connection and stops reconnecting.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.lock().outgoing = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects and handles incoming messages until the connection is lost. Returns `None` if
    /// connecting failed.
    fn run_connection(&self, control: SocketAddr) -> Option<()> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = TcpStream::connect_timeout(&control, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let write_stream = stream.try_clone().ok()?;
        let (outgoing, queue) = flume::bounded(OUTGOING_QUEUE_CAPACITY);
        let writer = thread::spawn(move || write_messages(&write_stream, &queue));
        self.announce_requests(outgoing);
        let mut reader = FrameReader::new(&stream);
        while let Ok(message) = reader.read_message::<ToEntry>() {
            if let Some(body) = message.body {
                self.handle_message(body);
            }
        }
        self.handle_disconnect();
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = writer.join();
        Some(())
    }

    /// Reports requests at endpoints to the control process, which may have been restarted since
    /// their admission.
    fn announce_requests(&self, outgoing: Sender<ToControl>) {
        let mut state = self.lock();
        let hello = to_control::Body::EntryHello(EntryHello {});
        let _ = outgoing.try_send(ToControl { body: Some(hello) });
        for request in state.requests.values() {
            let Some(customer) = request.customer.clone() else { continue };
            let adopt = Adopt { admit: Some(request.admit.clone()), customer };
            let _ = outgoing.try_send(ToControl { body: Some(to_control::Body::Adopt(adopt)) });
        }
        state.outgoing = Some(outgoing);
    }

    /// Reports the loss of the connection to all requests that wait for a decision.
    fn handle_disconnect(&self) {
        let mut state = self.lock();
        state.outgoing = None;
        state.readiness = Readiness::default();
        for request in state.requests.values().filter(|request| request.customer.is_none()) {
            let _ = request.event_sender.try_send(ControlEvent::ControlUnavailable);
        }
    }

    /// Passes an incoming message to the request that it concerns.
    fn handle_message(&self, body: to_entry::Body) {
        let mut state = self.lock();
        let (request, event) = match body {
            to_entry::Body::Readiness(readiness) => {
                state.readiness = readiness;
                return;
            }
            to_entry::Body::Granted(granted) => (granted.request, ControlEvent::Granted(granted)),
            to_entry::Body::Refused(refused) => (refused.request, ControlEvent::Refused(refused)),
            to_entry::Body::Replay(replay) => (replay.request, ControlEvent::Replay(replay)),
            to_entry::Body::Stop(stop) => (stop.request, ControlEvent::Stop(stop)),
            to_entry::Body::ConfigValues(_) | to_entry::Body::VmRecords(_) => return,
        };
        let Some(in_flight) = state.requests.get_mut(&request) else { return };
        if let ControlEvent::Granted(granted) = &event {
            in_flight.customer = Some(granted.customer.clone());
            in_flight.admit.endpoint = granted.endpoint.clone();
        }
        let _ = in_flight.event_sender.try_send(event);
    }

    /// Returns the latest readiness that the control process reported, or the default while
    /// disconnected.
    pub fn readiness(&self) -> Readiness {
        self.lock().readiness
    }

    /// Reports whether the control process is connected.
    pub fn is_connected(&self) -> bool {
        self.lock().outgoing.is_some()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.lock().requests.len()
    }

    /// Asks the control process to admit a request. The decision arrives as an event of the
    /// returned session.
    pub fn request_admission(&self, mut admit: Admit) -> ControlSession {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        admit.request = request;
        let (event_sender, event_receiver) = flume::bounded(16);
        let mut state = self.lock();
        let sent = state.send(to_control::Body::Admit(admit.clone()));
        if !sent {
            let _ = event_sender.try_send(ControlEvent::ControlUnavailable);
        }
        state.requests.insert(request, InFlightRequest { admit, customer: None, event_sender });
        drop(state);
        let may_have_run = Cell::new(false);
        ControlSession {
            link: self.clone(),
            request,
            event_receiver,
            may_have_run,
            finished: false,
        }
    }
}

impl State {
    /// Queues a message. Returns `false` if the link is disconnected or the queue is full.
    fn send(&mut self, body: to_control::Body) -> bool {
        let message = ToControl { body: Some(body) };
        self.outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(message).is_ok())
    }
}

/// Writes queued messages to the control process until the connection fails or the queue closes.
fn write_messages(stream: &TcpStream, queue: &Receiver<ToControl>) {
    let mut writer = FrameWriter::new(stream);
    while let Ok(message) = queue.recv() {
        if writer.write_message(&message).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Exchange with the control process about one request. A session that is dropped before
/// [`ControlSession::finish`] reports that the request may have run.
#[derive(Debug)]
pub struct ControlSession {
    link: ControlLink,
    request: u64,
    event_receiver: Receiver<ControlEvent>,
    /// Whether an earlier endpoint may have run the request.
    may_have_run: Cell<bool>,
    finished: bool,
}

impl ControlSession {
    /// Waits for the decision on the request.
    pub fn wait_for_decision(&self) -> ControlEvent {
        let timeout = Duration::from_millis(DECISION_TIMEOUT_MS);
        self.event_receiver.recv_timeout(timeout).unwrap_or(ControlEvent::ControlUnavailable)
    }

    /// Returns the cancellation of the request, if it is the next event from the control process.
    /// Any other event is discarded.
    pub fn stop_requested(&self) -> Option<Stop> {
        match self.event_receiver.try_recv() {
            Ok(ControlEvent::Stop(stop)) => Some(stop),
            _ => None,
        }
    }

    /// Requests another endpoint. `crashed` reports that the endpoint went down while it ran the
    /// request. `stopped` reports that the endpoint certainly does not run the request.
    pub fn request_retry(&self, crashed: bool, stopped: bool) {
        if crashed || !stopped {
            self.may_have_run.set(true);
        }
        let mut state = self.link.lock();
        if let Some(request) = state.requests.get_mut(&self.request) {
            request.customer = None;
        }
        let retry = Retry { request: self.request, lost_endpoint: String::new(), crashed, stopped };
        let sent = state.send(to_control::Body::Retry(retry));
        let unsent = state.requests.get(&self.request).filter(|_| !sent);
        if let Some(request) = unsent {
            let _ = request.event_sender.try_send(ControlEvent::ControlUnavailable);
        }
    }

    /// Returns `refusal` with the verdict that is true of the request.
    pub fn correct(&self, refusal: Refusal) -> Refusal {
        refusal.corrected(self.may_have_run.get())
    }

    /// Reports the end of the request.
    pub fn finish(mut self, finished: Finished) {
        self.send_finished(finished);
    }

    /// Removes the request from the link and sends the report.
    fn send_finished(&mut self, mut finished: Finished) {
        self.finished = true;
        finished.request = self.request;
        finished.not_run &= !self.may_have_run.get();
        let mut state = self.link.lock();
        state.requests.remove(&self.request);
        state.send(to_control::Body::Finished(finished));
    }
}

impl Drop for ControlSession {
    fn drop(&mut self) {
        if !self.finished {
            self.send_finished(Finished::default());
        }
    }
}
