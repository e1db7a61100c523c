//! Starts the daemon's tasks and ends them without cutting requests.

use crate::context::Context;
use crate::{
    engine_reports, folder_reader, gossip, ingress, maintenance, peer_sync, reload, status_server,
    store_reader,
};
use gypsumchute_config::{ConfigurationSource, DaemonSettings};
use gypsumchute_platform::{READINESS_PATH, StoreClient};
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
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Where metrics are shown.
const METRICS_PATH: &str = "/metrics";
/// How long a process that shuts down still takes connections: the balancer leaves it out after
/// two questions, which come once a second.
const MIN_DRAIN_MS: u64 = 4_000;
/// What is left of the grace period when requests in progress are given up, in ms.
const SHUTDOWN_RESERVE_MS: u64 = 400;
/// How often a process that shuts down looks whether it is done, in ms.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

quick_error! {
    /// Why the daemon could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address could not be bound.
        Bind(what: &'static str, address: SocketAddr, err: io::Error) {
            display("{} address {} can't be bound: {}", what, address, err)
        }
        /// The runtime or its signals.
        Runtime(err: io::Error) {
            from()
            display("the runtime could not be started: {}", err)
        }
    }
}

/// Runs the daemon until SIGTERM.
///
/// # Errors
///
/// It could not start.
pub fn run(path: &Path, settings: DaemonSettings) -> Result<(), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let sigterm = sigterm()?;
        let context = Context::new(settings);
        spawn_local(reload::run(context.clone(), path.to_owned(), signal(SignalKind::hangup())?));
        run_tasks(context, sigterm).await
    })
}

/// Runs the daemon on this thread until `stop` is ready, and then shuts it down.
///
/// # Errors
///
/// It could not start.
pub fn run_until(
    settings: DaemonSettings,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async { run_tasks(Context::new(settings), stop).await })
}

fn sigterm() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        terminate.recv().await;
    })
}

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
    info!(vm = settings.vm.as_str(), zone = settings.zone.as_str(), callers:% = settings.callers_listen,
        peers:% = settings.peers_listen, configuration:% = settings.configuration; "daemon started");

    match &settings.configuration {
        ConfigurationSource::Store(address) => {
            let store = StoreClient::new(*address);
            spawn_local(store_reader::run(context.clone(), store));
        }
        ConfigurationSource::Folder(folder) => {
            spawn_local(folder_reader::run(context.clone(), folder.clone()));
        }
    }
    spawn_local(gossip::send_heartbeats(context.clone(), socket.clone()));
    spawn_local(gossip::send_load_notes(context.clone(), socket.clone()));
    spawn_local(gossip::receive_datagrams(context.clone(), socket.clone()));
    spawn_local(peer_sync::pull_changes(context.clone()));
    spawn_local(peer_sync::serve_pulls(context.clone(), peers));
    spawn_local(maintenance::run(context.clone()));
    spawn_local(engine_reports::run(context.clone()));
    spawn_local(ingress::serve(context.clone(), callers));
    let shown = context.clone();
    let page = Rc::new(move || readiness_page(&shown));
    spawn_local(status_server::serve(readiness, READINESS_PATH, page));
    let shown = context.clone();
    let page = Rc::new(move || (StatusCode::OK, shown.metrics.to_text()));
    spawn_local(status_server::serve(metrics, METRICS_PATH, page));

    stop.await;
    shut_down(&context, &socket).await;
    Ok(())
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|err| StartError::Bind(what, address, err))
}

/// Ready once the configuration and the registry are known, until the process shuts down.
fn readiness_page(context: &Context) -> (StatusCode, String) {
    let has_configuration =
        context.with(|state| state.table.is_some() && state.store_copy.revision() > 0);
    match (context.is_shutting_down(), has_configuration) {
        (false, true) => (StatusCode::OK, "ready\n".to_owned()),
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "shutting down\n".to_owned()),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n".to_owned()),
    }
}

async fn shut_down(context: &Rc<Context>, socket: &UdpSocket) {
    let started_ms = boot_now();
    info!(connections = context.connections(); "daemon shuts down");
    let deadline_ms =
        started_ms + context.settings.shutdown_grace_ms().saturating_sub(SHUTDOWN_RESERVE_MS);
    context.begin_shutdown(deadline_ms);
    while boot_now() < deadline_ms {
        let may_end = boot_now().since(started_ms) >= MIN_DRAIN_MS && context.connections() == 0;
        if may_end {
            break;
        }
        sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
    }
    match context.connections() {
        0 => info!("daemon ended"),
        connections => warn!(connections; "daemon ended with requests in progress"),
    }
    gossip::announce_shutdown(context, socket).await;
}
