//! Proxy that forwards traffic between two processes and injects faults. Over TCP the proxy adds
//! latency, stalls or closes connections, and withholds responses. Over UDP the proxy drops the
//! datagrams of selected senders.

use rouille::{Response, Server};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use strum::{Display, EnumString};

/// Size of the buffer for one read from a connection, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Timeout for connecting to the upstream, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Interval at which a stalled connection checks whether the fault has ended, in milliseconds.
const STALL_POLL_INTERVAL_MS: u64 = 20;
/// Interval at which the thread that forwards datagrams checks whether it must end, in milliseconds.
const STOP_POLL_INTERVAL_MS: u64 = 100;
/// Maximum size of a UDP datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Fault that a proxy injects into TCP connections.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No fault: all bytes are forwarded.
    #[default]
    #[serde(rename = "pass")]
    #[strum(serialize = "pass")]
    NoFault,
    /// Open connections are closed, and new ones are closed as soon as they are accepted.
    #[serde(rename = "cut")]
    #[strum(serialize = "cut")]
    CloseConnections,
    /// Connections stay open and new ones are accepted, but no bytes are forwarded in either
    /// direction. Bytes received meanwhile are forwarded once the fault ends.
    #[serde(rename = "silent")]
    #[strum(serialize = "silent")]
    Stall,
    /// Connections that exist when the fault is set are stalled permanently; new ones work.
    #[serde(rename = "silence_old")]
    #[strum(serialize = "silence_old")]
    StallExisting,
    /// Requests are forwarded, and responses are held until the fault ends.
    #[serde(rename = "lose_answers")]
    #[strum(serialize = "lose_answers")]
    StallResponses,
    /// Requests are forwarded, and the connection is closed as soon as response bytes arrive.
    #[serde(rename = "cut_answers")]
    #[strum(serialize = "cut_answers")]
    CloseOnResponse,
}

#[derive(Debug, Default)]
struct ProxyState {
    fault: Fault,
    /// Delay before each read from a TCP connection is forwarded, in milliseconds.
    delay_ms: u64,
    /// Epoch that new connections belong to. Connections of an earlier epoch are stalled
    /// permanently.
    epoch: u64,
    /// Both sides of the open connections by number, kept so that [`Fault::CloseConnections`] can
    /// close them.
    open_streams: BTreeMap<u64, Vec<TcpStream>>,
    /// Number of the next connection.
    next_connection: u64,
    /// Whether the proxy was dropped, so that its threads must end.
    stopped: bool,
    /// Senders whose datagrams are dropped.
    blocked_senders: BTreeSet<SocketAddr>,
    block_all_senders: bool,
    /// First bytes of connections that are exempt from faults and delay.
    exempt_prefix: Option<&'static str>,
}

impl ProxyState {
    /// Closes all open connections.
    fn close_connections(&mut self) {
        for stream in std::mem::take(&mut self.open_streams).into_values().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Running proxy for TCP and UDP, which both use the same address. The proxy runs until the last
/// clone of the value is dropped.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<ProxyState>>,
    address: SocketAddr,
    _guard: Arc<StopGuard>,
}

/// Stops the threads of a proxy and closes its connections on drop.
struct StopGuard {
    state: Arc<Mutex<ProxyState>>,
    address: SocketAddr,
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        {
            let mut state = lock(&self.state);
            state.stopped = true;
            state.close_connections();
        }
        // Wakes the thread that accepts connections.
        drop(TcpStream::connect(self.address));
    }
}

fn lock(state: &Mutex<ProxyState>) -> MutexGuard<'_, ProxyState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    /// Starts a proxy that listens on `listen` and forwards to `upstream_address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(listen: SocketAddr, upstream_address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let datagrams = UdpSocket::bind(address)?;
        datagrams.set_read_timeout(Some(Duration::from_millis(STOP_POLL_INTERVAL_MS)))?;
        let state = Arc::new(Mutex::new(ProxyState::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&shared).stopped {
                    return;
                }
                let shared = shared.clone();
                thread::spawn(move || proxy_connection(stream, upstream_address, &shared));
            }
        });
        let shared = state.clone();
        thread::spawn(move || forward_datagrams(&datagrams, upstream_address, &shared));
        let guard = Arc::new(StopGuard { state: state.clone(), address });
        Ok(Proxy { state, address, _guard: guard })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault to inject into TCP connections from now on.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.fault = fault;
        if fault == Fault::StallExisting {
            state.epoch += 1;
        }
        if fault == Fault::CloseConnections {
            state.close_connections();
        }
    }

    /// Exempts connections that begin with `prefix`, such as `GET /-/load`, from faults and delay.
    pub fn exempt_prefix(&self, prefix: &'static str) {
        lock(&self.state).exempt_prefix = Some(prefix);
    }

    /// Sets the delay before each read from a TCP connection is forwarded, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        lock(&self.state).delay_ms = delay_ms;
    }

    /// Drops datagrams from these senders from now on, in place of those blocked before.
    pub fn block_senders(&self, senders: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.state).blocked_senders = senders.into_iter().collect();
    }

    /// Sets whether the datagrams of all senders are dropped.
    pub fn block_all_senders(&self, block_all: bool) {
        lock(&self.state).block_all_senders = block_all;
    }

    /// Serves the admin interface at `address` until the process exits: `address` with `POST /fault/{name}` and `POST /delay/{ms}`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
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
                    Ok(fault) => proxy.set_fault(fault),
                    Err(_) => return Response::text("no such fault").with_status_code(400),
                },
                ["delay", ms] => proxy.set_delay_ms(ms.parse().unwrap_or(0)),
                _ => return Response::empty_404(),
            }
            Response::text("ok")
        })?;
        thread::spawn(move || server.run());
        Ok(())
    }
}

/// Connects to the upstream and forwards bytes in both directions until the connection ends.
/// Returns `None` if the upstream connection fails or the current fault refuses new connections.
fn proxy_connection(
    client: TcpStream,
    upstream_address: SocketAddr,
    state: &Arc<Mutex<ProxyState>>,
) -> Option<()> {
    let (open, epoch) = OpenConnection::register(&client, state)?;
    let exempt = is_exempt(&client, state);
    let upstream =
        TcpStream::connect_timeout(&upstream_address, Duration::from_millis(CONNECT_TIMEOUT_MS))
            .ok()?;
    open.add(&upstream)?;
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (to_upstream, to_client) = (upstream.try_clone().ok()?, client.try_clone().ok()?);
    thread::scope(|scope| {
        scope.spawn(|| match exempt {
            true => copy_until_closed(client, to_upstream),
            false => forward_with_faults(client, to_upstream, epoch, state, false),
        });
        match exempt {
            true => copy_until_closed(upstream, to_client),
            false => forward_with_faults(upstream, to_client, epoch, state, true),
        }
    });
    Some(())
}

/// An open connection, which is forgotten on drop.
struct OpenConnection<'a> {
    state: &'a Mutex<ProxyState>,
    number: u64,
}

impl<'a> OpenConnection<'a> {
    /// Registers a connection from a client and returns the epoch that it belongs to, or `None` if
    /// the proxy accepts none.
    fn register(client: &TcpStream, state: &'a Mutex<ProxyState>) -> Option<(Self, u64)> {
        let mut locked = lock(state);
        if locked.fault == Fault::CloseConnections || locked.stopped {
            return None;
        }
        let number = locked.next_connection;
        locked.next_connection += 1;
        locked.open_streams.insert(number, vec![client.try_clone().ok()?]);
        Some((OpenConnection { state, number }, locked.epoch))
    }

    /// Adds the other side of the connection, unless the connection was closed meanwhile.
    fn add(&self, stream: &TcpStream) -> Option<()> {
        let stream = stream.try_clone().ok()?;
        lock(self.state).open_streams.get_mut(&self.number)?.push(stream);
        Some(())
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        lock(self.state).open_streams.remove(&self.number);
    }
}

/// Reports whether the first bytes of the connection are the prefix that is exempt from faults.
fn is_exempt(client: &TcpStream, state: &Mutex<ProxyState>) -> bool {
    let Some(prefix) = lock(state).exempt_prefix else { return false };
    let mut first_bytes = [0; READ_BUFFER_BYTES];
    let count = client.peek(&mut first_bytes).unwrap_or(0);
    first_bytes[..count].starts_with(prefix.as_bytes())
}

/// Forwards bytes in one direction without faults until either side closes the connection.
fn copy_until_closed(mut from: TcpStream, mut to: TcpStream) {
    // An error means that one side closed the connection, so both sides are shut down.
    let _ = io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Forwards bytes in one direction and applies the current fault to each read. `epoch` is the epoch
/// in which the connection was accepted; `is_response` is true from the upstream to the client.
fn forward_with_faults(
    mut from: TcpStream,
    mut to: TcpStream,
    epoch: u64,
    state: &Mutex<ProxyState>,
    is_response: bool,
) {
    let mut chunk = [0; READ_BUFFER_BYTES];
    loop {
        // A stalled connection passes on neither bytes nor its end.
        let count = from.read(&mut chunk).unwrap_or(0);
        loop {
            let (fault, delay_ms, current_epoch, stopped) = {
                let state = lock(state);
                (state.fault, state.delay_ms, state.epoch, state.stopped)
            };
            let stalled = fault == Fault::Stall
                || current_epoch > epoch
                || (fault == Fault::StallResponses && is_response);
            if stopped
                || fault == Fault::CloseConnections
                || (fault == Fault::CloseOnResponse && is_response)
            {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if !stalled {
                thread::sleep(Duration::from_millis(delay_ms));
                break;
            }
            thread::sleep(Duration::from_millis(STALL_POLL_INTERVAL_MS));
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Forwards datagrams to the upstream, except those of blocked senders.
fn forward_datagrams(socket: &UdpSocket, upstream_address: SocketAddr, state: &Mutex<ProxyState>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer);
        if lock(state).stopped {
            return;
        }
        let Ok((count, sender)) = received else { continue };
        let blocked = {
            let state = lock(state);
            state.block_all_senders || state.blocked_senders.contains(&sender)
        };
        if !blocked {
            let _ = socket.send_to(&buffer[..count], upstream_address);
        }
    }
}
