//! Starts the tasks of the daemon and shuts them down gracefully.

use crate::context::Context;
use crate::supervision::keep_running;
use crate::{
    engine_reports, folder_reader, gossip, ingress, maintenance, peer_sync, record_passing, reload,
    status_server, store_reader, stream_gossip,
};
use gypsumchute_config::{ConfigSource, DaemonSettings};
use gypsumchute_exchange::{Dial, TcpDialer};
use gypsumchute_fleet::StorePosition;
use gypsumchute_platform::{READINESS_PATH, StoreClient};
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use http::StatusCode;
use log::{info, warn};
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Minimum time for which the daemon accepts connections after the shutdown began, in milliseconds.
/// The load balancer removes the VM after two failed health checks, which it sends once a second.
const MIN_DRAIN_MS: u64 = 4_000;
/// Part of the grace period that is reserved for exiting, in milliseconds. Requests still in flight
/// by then are aborted.
const SHUTDOWN_RESERVE_MS: u64 = 400;
/// Maximum number of datagrams with records of streams that are sent at the end, in a few milliseconds.
const MAX_LAST_RECORDS: usize = 2_000;
/// Interval between checks whether the shutdown is complete, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

quick_error! {
    /// Reason why the daemon failed to start.
    #[derive(Debug)]
    pub enum StartError {
        /// Failed to bind an address.
        Bind(what: &'static str, address: SocketAddr, err: io::Error) {
            display("failed to bind {} address {}: {}", what, address, err)
        }
        /// Failed to start the async runtime or to install a signal handler.
        Runtime(err: io::Error) {
            from()
            display("failed to start the runtime: {}", err)
        }
    }
}

/// Runs the daemon until it receives SIGTERM, then shuts it down gracefully. `path` is the settings
/// file, which is reloaded while the daemon runs.
///
/// # Errors
///
/// Returns an error if the daemon fails to start.
pub fn run(path: &Path, settings: DaemonSettings) -> Result<(), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let sigterm = sigterm()?;
        let context = Context::new(settings, Rc::new(TcpDialer));
        start_reloading(&context, path.to_owned(), signal(SignalKind::hangup())?);
        run_tasks(context, sigterm).await
    })
}

/// Runs the daemon on the current thread until `stop` completes, then shuts it down gracefully.
///
/// # Errors
///
/// Returns an error if the daemon fails to start.
pub fn run_until(
    settings: DaemonSettings,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    run_with_dialer(settings, Rc::new(TcpDialer), stop)
}

/// Runs the daemon like [`run_until`], with `dialer` for the connections to endpoints.
///
/// # Errors
///
/// Returns an error if the daemon fails to start.
pub fn run_with_dialer(
    settings: DaemonSettings,
    dialer: Rc<dyn Dial>,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let context = Context::new(settings, dialer);
    LocalSet::new().block_on(&runtime, run_tasks(context, stop))
}

/// Installs a SIGTERM handler and returns a future that completes on SIGTERM.
fn sigterm() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        terminate.recv().await;
    })
}

/// Starts a task that runs until the process exits. It is started again if it panics.
fn start<F: Future<Output = ()>>(
    context: &Rc<Context>,
    task: &'static str,
    run: impl Fn(Rc<Context>) -> F + 'static,
) -> JoinHandle<()> {
    let context = context.clone();
    spawn_local(async move {
        keep_running(&context.metrics, task, async || run(context.clone()).await).await;
    })
}

/// Starts a task like [`start`] that exchanges datagrams with peers on `socket`.
fn start_gossip<F: Future<Output = ()>>(
    context: &Rc<Context>,
    socket: &Rc<UdpSocket>,
    task: &'static str,
    run: impl Fn(Rc<Context>, Rc<UdpSocket>) -> F + 'static,
) {
    let socket = socket.clone();
    start(context, task, move |context| run(context, socket.clone()));
}

/// Starts the task that reloads the settings file at `path`, also on each `hangup` signal.
fn start_reloading(context: &Rc<Context>, path: PathBuf, mut hangup: Signal) {
    let context = context.clone();
    spawn_local(async move {
        let reload = async || reload::run(context.clone(), &path, &mut hangup).await;
        keep_running(&context.metrics, "reload", reload).await;
    });
}

/// Binds all addresses, starts the tasks and shuts down once `stop` completes.
async fn run_tasks(context: Rc<Context>, stop: impl Future<Output = ()>) -> Result<(), StartError> {
    let settings = &context.settings;
    let callers = Rc::new(bind("callers", settings.callers_listen).await?);
    let readiness = Rc::new(bind("readiness", settings.readiness_listen).await?);
    let metrics = Rc::new(bind("metrics", settings.metrics_listen).await?);
    let peers_address = SocketAddr::V4(settings.peers_listen);
    let peers = Rc::new(bind("peers", peers_address).await?);
    let socket = UdpSocket::bind(peers_address).await;
    let socket = socket.map_err(|err| StartError::Bind("peers", peers_address, err))?;
    let socket = Rc::new(socket);
    info!(vm = settings.vm.as_str(), zone = settings.zone.as_str(),
        callers:% = settings.callers_listen, peers:% = settings.peers_listen,
        configuration:% = settings.configuration; "daemon started");

    match &settings.configuration {
        ConfigSource::Store(address) => {
            let store = StoreClient::new(*address);
            start(&context, "store_reader", move |context| store_reader::run(context, store));
        }
        ConfigSource::Folder(folder) => {
            let folder = folder.clone();
            let run = move |context| folder_reader::run(context, folder.clone());
            start(&context, "folder_reader", run);
        }
    }
    start_gossip(&context, &socket, "heartbeats", gossip::send_heartbeats);
    start_gossip(&context, &socket, "load_notes", gossip::send_load_notes);
    start_gossip(&context, &socket, "stream_messages", stream_gossip::send_messages);
    start_gossip(&context, &socket, "record_passing", record_passing::send_records_to_pass_on);
    start_gossip(&context, &socket, "datagrams", gossip::receive_datagrams);
    start(&context, "peer_sync", peer_sync::pull_changes);
    start(&context, "peers", move |context| peer_sync::serve_peers(context, peers.clone()));
    start(&context, "maintenance", maintenance::run);
    start(&context, "engine_reports", engine_reports::run);
    let accepting =
        start(&context, "callers", move |context| ingress::serve(context, callers.clone()));
    start(&context, "readiness", move |context| {
        let limits = context.limits.clone();
        let page = Rc::new(move || readiness_page(&context));
        status_server::serve(readiness.clone(), READINESS_PATH, page, limits, |limits| {
            &limits.readiness_slots
        })
    });
    start(&context, "metrics", move |context| {
        let limits = context.limits.clone();
        let page = Rc::new(move || {
            context.limits.record_usage();
            (StatusCode::OK, context.metrics.to_prometheus_text())
        });
        status_server::serve(metrics.clone(), METRICS_PATH, page, limits, |limits| {
            &limits.metrics_slots
        })
    });

    stop.await;
    shut_down(&context, &socket, &accepting).await;
    Ok(())
}

/// Binds a TCP listener; `what` names the address in errors.
async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|err| StartError::Bind(what, address, err))
}

/// Reports the VM as ready once the configuration and the registry are known, until the shutdown
/// begins.
fn readiness_page(context: &Context) -> (StatusCode, String) {
    let has_configuration = context.with(|state| {
        state.table.is_some() && state.store_copy.position() > StorePosition::default()
    });
    match (context.shutdown.has_begun(), has_configuration) {
        (false, true) => (StatusCode::OK, "ready\n".to_owned()),
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "shutting down\n".to_owned()),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n".to_owned()),
    }
}

/// Waits until all connections are closed, but at least for [`MIN_DRAIN_MS`], or until the grace
/// period ends. Then accepts no more connections, passes on what peers need, and announces the shutdown
/// to them.
async fn shut_down(context: &Rc<Context>, socket: &UdpSocket, accepting: &JoinHandle<()>) {
    let started_ms = boot_now();
    info!(connections = context.connections(); "daemon is shutting down");
    let deadline_ms =
        started_ms + context.settings.shutdown_grace_ms().saturating_sub(SHUTDOWN_RESERVE_MS);
    context.shutdown.begin(deadline_ms);
    // Requests that wait for an endpoint may have to be refused.
    context.notify_changed();
    context.pass_on_records_since(BootMs::default());
    while boot_now() < deadline_ms {
        let may_end = boot_now().since(started_ms) >= MIN_DRAIN_MS && context.connections() == 0;
        // A connection may have been accepted since the last check.
        if may_end && accepting.is_finished() {
            break;
        }
        if may_end {
            accepting.abort();
        }
        sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
    }
    match context.connections() {
        0 => info!("daemon stopped"),
        connections => warn!(connections; "daemon stopped with requests in flight"),
    }
    // Records that arrived since, and those of streams that were cut just now.
    context.pass_on_records_since(started_ms);
    record_passing::send_pending_records(context, socket, MAX_LAST_RECORDS).await;
    gossip::announce_shutdown(context, socket).await;
}
