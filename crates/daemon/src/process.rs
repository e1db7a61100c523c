//! Starts the tasks of the daemon and shuts them down gracefully.

use crate::context::Context;
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
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
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
        spawn_local(reload::run(context.clone(), path.to_owned(), signal(SignalKind::hangup())?));
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

/// Binds all addresses, starts the tasks and shuts down once `stop` completes.
async fn run_tasks(context: Rc<Context>, stop: impl Future<Output = ()>) -> Result<(), StartError> {
    let settings = &context.settings;
    let callers = bind("callers", settings.callers_listen).await?;
    let readiness = bind("readiness", settings.readiness_listen).await?;
    let metrics = bind("metrics", settings.metrics_listen).await?;
    let peers_address = SocketAddr::V4(settings.peers_listen);
    let peers = bind("peers", peers_address).await?;
    let socket = UdpSocket::bind(peers_address).await;
    let socket = socket.map_err(|err| StartError::Bind("peers", peers_address, err))?;
    let socket = Rc::new(socket);
    info!(vm = settings.vm.as_str(), zone = settings.zone.as_str(),
        callers:% = settings.callers_listen, peers:% = settings.peers_listen,
        configuration:% = settings.configuration; "daemon started");

    match &settings.configuration {
        ConfigSource::Store(address) => {
            let store = StoreClient::new(*address);
            spawn_local(store_reader::run(context.clone(), store));
        }
        ConfigSource::Folder(folder) => {
            spawn_local(folder_reader::run(context.clone(), folder.clone()));
        }
    }
    spawn_local(gossip::send_heartbeats(context.clone(), socket.clone()));
    spawn_local(gossip::send_load_notes(context.clone(), socket.clone()));
    spawn_local(stream_gossip::send_messages(context.clone(), socket.clone()));
    spawn_local(record_passing::send_records_to_pass_on(context.clone(), socket.clone()));
    spawn_local(gossip::receive_datagrams(context.clone(), socket.clone()));
    spawn_local(peer_sync::pull_changes(context.clone()));
    spawn_local(peer_sync::serve_peers(context.clone(), peers));
    spawn_local(maintenance::run(context.clone()));
    spawn_local(engine_reports::run(context.clone()));
    let accepting = spawn_local(ingress::serve(context.clone(), callers));
    let page_context = context.clone();
    let page = Rc::new(move || readiness_page(&page_context));
    spawn_local(status_server::serve(readiness, READINESS_PATH, page));
    let page_context = context.clone();
    let page = Rc::new(move || (StatusCode::OK, page_context.metrics.to_prometheus_text()));
    spawn_local(status_server::serve(metrics, METRICS_PATH, page));

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
