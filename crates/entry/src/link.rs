//! The connection to the control process of this VM.
//!
//! Each request in progress has a number and a queue for what the control process says of it.
//! When the connection is lost, requests that wait are refused, those at endpoints go on; they
//! are reported again to the control process that comes next.

use flume::{Receiver, Sender};
use gypsumchute_proto::local::{
    Admit, Adopt, EntryHello, Finished, Granted, Readiness, Refused, Replay, Retry, Stop,
    ToControl, ToEntry, to_control, to_entry,
};
use gypsumchute_proto::{FrameReader, FrameWriter};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const CONNECT_TIMEOUT_MS: u64 = 500;
const RECONNECT_DELAY_MS: u64 = 50;
/// How long the control process may take to decide, beyond what a request may queue.
pub const DECISION_TIMEOUT_MS: u64 = 30_000;
const OUTGOING_QUEUE_CAPACITY: usize = 8_192;

/// What the control process says of a request.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// It may go to this endpoint.
    Granted(Granted),
    /// Its final answer is a refusal.
    Refused(Refused),
    /// Its final answer is the kept one of an earlier request.
    Replay(Replay),
    /// It is to end, for this reason.
    Stop(Stop),
    /// The connection to the control process was lost.
    ControlUnavailable,
}

#[derive(Debug)]
struct InFlightRequest {
    admit: Admit,
    customer: Option<String>,
    event_sender: Sender<ControlEvent>,
}

#[derive(Debug, Default)]
struct State {
    requests: BTreeMap<u64, InFlightRequest>,
    outgoing: Option<Sender<ToControl>>,
    readiness: Readiness,
}

/// The connection, shared by all requests.
#[derive(Debug, Clone)]
pub struct ControlLink {
    state: Arc<Mutex<State>>,
    next_request: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl ControlLink {
    /// Keeps a connection to the control process at `control`.
    pub fn start(control: SocketAddr) -> Self {
        let link = ControlLink {
            state: Arc::default(),
            next_request: Arc::new(AtomicU64::new(1)),
            stopped: Arc::default(),
        };
        let background = link.clone();
        thread::spawn(move || {
            while !background.stopped.load(Ordering::Relaxed) {
                background.run_connection(control);
                thread::sleep(Duration::from_millis(RECONNECT_DELAY_MS));
            }
        });
        link
    }

    /// Ends the connection.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.lock().outgoing = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_connection(&self, control: SocketAddr) -> Option<()> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = TcpStream::connect_timeout(&control, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let write_stream = stream.try_clone().ok()?;
        let (out, queue) = flume::bounded(OUTGOING_QUEUE_CAPACITY);
        let writer = thread::spawn(move || write_messages(&write_stream, &queue));
        self.announce_requests(out);
        let mut reader = FrameReader::new(&stream);
        while let Ok(message) = reader.next_message::<ToEntry>() {
            if let Some(body) = message.body {
                self.handle_message(body);
            }
        }
        self.handle_disconnect();
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = writer.join();
        Some(())
    }

    /// Reports what runs already to a control process that may be new.
    fn announce_requests(&self, out: Sender<ToControl>) {
        let mut state = self.lock();
        let hello = to_control::Body::EntryHello(EntryHello {});
        let _ = out.try_send(ToControl { body: Some(hello) });
        for request in state.requests.values() {
            let Some(customer) = request.customer.clone() else { continue };
            let adopt = Adopt { admit: Some(request.admit.clone()), customer };
            let _ = out.try_send(ToControl { body: Some(to_control::Body::Adopt(adopt)) });
        }
        state.outgoing = Some(out);
    }

    fn handle_disconnect(&self) {
        let mut state = self.lock();
        state.outgoing = None;
        state.readiness = Readiness::default();
        for request in state.requests.values().filter(|request| request.customer.is_none()) {
            let _ = request.event_sender.try_send(ControlEvent::ControlUnavailable);
        }
    }

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

    /// What the control process said of this VM last.
    pub fn readiness(&self) -> Readiness {
        self.lock().readiness
    }

    /// Whether there is a connection.
    pub fn is_connected(&self) -> bool {
        self.lock().outgoing.is_some()
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.lock().requests.len()
    }

    /// Asks for a request to be admitted.
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
        ControlSession { link: self.clone(), request, event_receiver, finished: false }
    }
}

impl State {
    fn send(&mut self, body: to_control::Body) -> bool {
        let message = ToControl { body: Some(body) };
        self.outgoing.as_ref().is_some_and(|out| out.try_send(message).is_ok())
    }
}

fn write_messages(stream: &TcpStream, queue: &Receiver<ToControl>) {
    let mut writer = FrameWriter::new(stream);
    while let Ok(message) = queue.recv() {
        if writer.write_message(&message).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// One request's line to the control process. If it is dropped without a word, the request counts
/// as one that may have run.
#[derive(Debug)]
pub struct ControlSession {
    link: ControlLink,
    request: u64,
    event_receiver: Receiver<ControlEvent>,
    finished: bool,
}

impl ControlSession {
    /// Waits for a decision.
    pub fn wait_for_decision(&self) -> ControlEvent {
        let timeout = Duration::from_millis(DECISION_TIMEOUT_MS);
        self.event_receiver.recv_timeout(timeout).unwrap_or(ControlEvent::ControlUnavailable)
    }

    /// A reason to end, if one has come.
    pub fn stop_requested(&self) -> Option<Stop> {
        match self.event_receiver.try_recv() {
            Ok(ControlEvent::Stop(stop)) => Some(stop),
            _ => None,
        }
    }

    /// Asks for another endpoint. `crashed`: the endpoint went down with the request; `stopped`:
    /// it certainly does not work on it.
    pub fn request_retry(&self, crashed: bool, stopped: bool) {
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

    /// Reports the end.
    pub fn finish(mut self, finished: Finished) {
        self.send_finished(finished);
    }

    fn send_finished(&mut self, mut finished: Finished) {
        self.finished = true;
        finished.request = self.request;
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
