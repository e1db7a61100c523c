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

const CONNECT_MS: u64 = 500;
const RECONNECT_MS: u64 = 50;
/// How long the control process may take to decide, beyond what a request may queue.
pub const DECIDE_MS: u64 = 30_000;
const OUT_QUEUE: usize = 8_192;

/// What the control process says of a request.
#[derive(Debug, Clone)]
pub enum Word {
    /// It may go to this endpoint.
    Granted(Granted),
    /// Its final answer is a refusal.
    Refused(Refused),
    /// Its final answer is the kept one of an earlier request.
    Replay(Replay),
    /// It is to end, for this reason.
    Stop(Stop),
    /// The connection to the control process was lost.
    Lost,
}

#[derive(Debug)]
struct InProgress {
    admit: Admit,
    customer: Option<String>,
    words: Sender<Word>,
}

#[derive(Debug, Default)]
struct State {
    requests: BTreeMap<u64, InProgress>,
    out: Option<Sender<ToControl>>,
    readiness: Readiness,
}

/// The connection, shared by all requests.
#[derive(Debug, Clone)]
pub struct Link {
    state: Arc<Mutex<State>>,
    next: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Link {
    /// Keeps a connection to the control process at `control`.
    pub fn start(control: SocketAddr) -> Self {
        let link = Link {
            state: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            stopped: Arc::default(),
        };
        let own = link.clone();
        thread::spawn(move || {
            while !own.stopped.load(Ordering::Relaxed) {
                own.connect(control);
                thread::sleep(Duration::from_millis(RECONNECT_MS));
            }
        });
        link
    }

    /// Ends the connection.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.lock().out = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(&self, control: SocketAddr) -> Option<()> {
        let timeout = Duration::from_millis(CONNECT_MS);
        let stream = TcpStream::connect_timeout(&control, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let write_half = stream.try_clone().ok()?;
        let (out, queue) = flume::bounded(OUT_QUEUE);
        let writer = thread::spawn(move || write(&write_half, &queue));
        self.greet(out);
        let mut reader = FrameReader::new(&stream);
        while let Ok(message) = reader.next_message::<ToEntry>() {
            if let Some(body) = message.body {
                self.take(body);
            }
        }
        self.lose();
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = writer.join();
        Some(())
    }

    /// Reports what runs already to a control process that may be new.
    fn greet(&self, out: Sender<ToControl>) {
        let mut state = self.lock();
        let hello = to_control::Body::EntryHello(EntryHello {});
        let _ = out.try_send(ToControl { body: Some(hello) });
        for request in state.requests.values() {
            let Some(customer) = request.customer.clone() else { continue };
            let adopt = Adopt { admit: Some(request.admit.clone()), customer };
            let _ = out.try_send(ToControl { body: Some(to_control::Body::Adopt(adopt)) });
        }
        state.out = Some(out);
    }

    fn lose(&self) {
        let mut state = self.lock();
        state.out = None;
        state.readiness = Readiness::default();
        for request in state.requests.values().filter(|request| request.customer.is_none()) {
            let _ = request.words.try_send(Word::Lost);
        }
    }

    fn take(&self, body: to_entry::Body) {
        let mut state = self.lock();
        let (request, word) = match body {
            to_entry::Body::Readiness(readiness) => {
                state.readiness = readiness;
                return;
            }
            to_entry::Body::Granted(granted) => (granted.request, Word::Granted(granted)),
            to_entry::Body::Refused(refused) => (refused.request, Word::Refused(refused)),
            to_entry::Body::Replay(replay) => (replay.request, Word::Replay(replay)),
            to_entry::Body::Stop(stop) => (stop.request, Word::Stop(stop)),
            to_entry::Body::ConfigValues(_) | to_entry::Body::VmRecords(_) => return,
        };
        let Some(in_progress) = state.requests.get_mut(&request) else { return };
        if let Word::Granted(granted) = &word {
            in_progress.customer = Some(granted.customer.clone());
            in_progress.admit.endpoint = granted.endpoint.clone();
        }
        let _ = in_progress.words.try_send(word);
    }

    /// What the control process said of this VM last.
    pub fn readiness(&self) -> Readiness {
        self.lock().readiness
    }

    /// Whether there is a connection.
    pub fn is_connected(&self) -> bool {
        self.lock().out.is_some()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.lock().requests.len()
    }

    /// Asks for a request to be admitted.
    pub fn admit(&self, mut admit: Admit) -> Ticket {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        admit.request = request;
        let (words, heard) = flume::bounded(16);
        let mut state = self.lock();
        let sent = state.send(to_control::Body::Admit(admit.clone()));
        if !sent {
            let _ = words.try_send(Word::Lost);
        }
        state.requests.insert(request, InProgress { admit, customer: None, words });
        drop(state);
        Ticket { link: self.clone(), request, heard, finished: false }
    }
}

impl State {
    fn send(&mut self, body: to_control::Body) -> bool {
        let message = ToControl { body: Some(body) };
        self.out.as_ref().is_some_and(|out| out.try_send(message).is_ok())
    }
}

fn write(stream: &TcpStream, queue: &Receiver<ToControl>) {
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
pub struct Ticket {
    link: Link,
    request: u64,
    heard: Receiver<Word>,
    finished: bool,
}

impl Ticket {
    /// Waits for a decision.
    pub fn wait(&self) -> Word {
        let wait = Duration::from_millis(DECIDE_MS);
        self.heard.recv_timeout(wait).unwrap_or(Word::Lost)
    }

    /// A reason to end, if one has come.
    pub fn stop_asked(&self) -> Option<Stop> {
        match self.heard.try_recv() {
            Ok(Word::Stop(stop)) => Some(stop),
            _ => None,
        }
    }

    /// Asks for another endpoint. `crashed`: the endpoint went down with the request; `stopped`:
    /// it certainly does not work on it.
    pub fn retry(&self, crashed: bool, stopped: bool) {
        let mut state = self.link.lock();
        if let Some(request) = state.requests.get_mut(&self.request) {
            request.customer = None;
        }
        let retry = Retry { request: self.request, lost_endpoint: String::new(), crashed, stopped };
        let sent = state.send(to_control::Body::Retry(retry));
        let waiting = state.requests.get(&self.request).filter(|_| !sent);
        if let Some(request) = waiting {
            let _ = request.words.try_send(Word::Lost);
        }
    }

    /// Reports the end.
    pub fn finish(mut self, finished: Finished) {
        self.report(finished);
    }

    fn report(&mut self, mut finished: Finished) {
        self.finished = true;
        finished.request = self.request;
        let mut state = self.link.lock();
        state.requests.remove(&self.request);
        state.send(to_control::Body::Finished(finished));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.finished {
            self.report(Finished::default());
        }
    }
}
