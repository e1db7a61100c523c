//! A proxy that stands between two processes and injects faults: over TCP delay, silence, cuts and
//! lost answers; over UDP loss by sender.

use rouille::{Response, Server};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use strum::{Display, EnumString};

const CHUNK_BYTES: usize = 16 << 10;
const CONNECT_MS: u64 = 1_000;
const SILENT_POLL_MS: u64 = 20;
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// What a proxy does to what passes through it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    Pass,
    /// Connections are closed, new ones refused.
    Cut,
    /// Connections stay open, new ones are accepted, nothing passes.
    Silent,
    /// Old connections are silent for good, new ones work.
    SilenceOld,
    /// What the caller sends passes, what comes back does not.
    LoseAnswers,
    /// The connection is closed as soon as the first byte comes back.
    CutAnswers,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    delay_ms: u64,
    generation: u64,
    open: Vec<TcpStream>,
    blocked: BTreeSet<SocketAddr>,
    block_all: bool,
    spared: Option<&'static str>,
}

/// A running proxy, for TCP and UDP at the same address.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
    address: SocketAddr,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    /// Starts between `listen` and `target`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let datagrams = UdpSocket::bind(address)?;
        let state = Arc::new(Mutex::new(State::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || carry(stream, target, &shared));
            }
        });
        let shared = state.clone();
        thread::spawn(move || relay(&datagrams, target, &shared));
        Ok(Proxy { state, stopped, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Does this to TCP connections from now on.
    pub fn fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.fault = fault;
        if fault == Fault::SilenceOld {
            state.generation += 1;
        }
        if fault == Fault::Cut {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets connections pass unharmed that begin with `prefix`, as `GET /-/load`.
    pub fn spare(&self, prefix: &'static str) {
        lock(&self.state).spared = Some(prefix);
    }

    /// Delays each piece that passes over TCP.
    pub fn delay_ms(&self, delay_ms: u64) {
        lock(&self.state).delay_ms = delay_ms;
    }

    /// Drops datagrams from these senders from now on, and passes all others.
    pub fn block(&self, senders: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.state).blocked = senders.into_iter().collect();
    }

    /// Drops all datagrams from now on, or passes them again.
    pub fn block_all(&self, block: bool) {
        lock(&self.state).block_all = block;
    }

    /// Serves `POST /fault/{name}` and `POST /delay/{ms}` at `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn serve_admin(
        &self,
        address: SocketAddr,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let proxy = self.clone();
        let server = Server::new(address, move |request| {
            let url = request.url();
            let parts: Vec<&str> = url.trim_start_matches('/').split('/').collect();
            match parts.as_slice() {
                ["fault", name] => match name.parse() {
                    Ok(fault) => proxy.fault(fault),
                    Err(_) => return Response::text("no such fault").with_status_code(400),
                },
                ["delay", ms] => proxy.delay_ms(ms.parse().unwrap_or(0)),
                _ => return Response::empty_404(),
            }
            Response::text("ok")
        })?;
        let stopped = self.stopped.clone();
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                server.poll_timeout(Duration::from_millis(100));
            }
        });
        Ok(())
    }
}

fn carry(caller: TcpStream, target: SocketAddr, state: &Arc<Mutex<State>>) -> Option<()> {
    let generation = {
        let mut state = lock(state);
        if state.fault == Fault::Cut {
            return None;
        }
        state.open.push(caller.try_clone().ok()?);
        state.generation
    };
    let spared = is_spared(&caller, state);
    let server = TcpStream::connect_timeout(&target, Duration::from_millis(CONNECT_MS)).ok()?;
    lock(state).open.push(server.try_clone().ok()?);
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (to_server, to_caller) = (server.try_clone().ok()?, caller.try_clone().ok()?);
    let shared = state.clone();
    thread::spawn(move || match spared {
        true => copy(caller, to_server),
        false => pipe(caller, to_server, generation, &shared, false),
    });
    match spared {
        true => copy(server, to_caller),
        false => pipe(server, to_caller, generation, state, true),
    }
    Some(())
}

/// Whether the connection's first bytes are those that faults leave alone.
fn is_spared(caller: &TcpStream, state: &Mutex<State>) -> bool {
    let Some(prefix) = lock(state).spared else { return false };
    let mut first = [0; CHUNK_BYTES];
    let count = caller.peek(&mut first).unwrap_or(0);
    first[..count].starts_with(prefix.as_bytes())
}

/// Passes bytes on as they are.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    // Either end may go at any time; the other one is told.
    let _ = io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn pipe(
    mut from: TcpStream,
    mut to: TcpStream,
    generation: u64,
    state: &Mutex<State>,
    answers: bool,
) {
    let mut chunk = [0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 {
            break;
        }
        loop {
            let (fault, delay_ms, current) = {
                let state = lock(state);
                (state.fault, state.delay_ms, state.generation)
            };
            let silent = fault == Fault::Silent
                || current > generation
                || (fault == Fault::LoseAnswers && answers);
            if fault == Fault::Cut || (fault == Fault::CutAnswers && answers) {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if !silent {
                thread::sleep(Duration::from_millis(delay_ms));
                break;
            }
            thread::sleep(Duration::from_millis(SILENT_POLL_MS));
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn relay(socket: &UdpSocket, target: SocketAddr, state: &Mutex<State>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, sender)) = socket.recv_from(&mut buffer) else { continue };
        let blocked = {
            let state = lock(state);
            state.block_all || state.blocked.contains(&sender)
        };
        if !blocked {
            let _ = socket.send_to(&buffer[..count], target);
        }
    }
}
