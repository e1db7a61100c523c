//! `demo`: starts two daemons, two engines and two services on loopback, and sends one generation
//! and one booking through the daemons.

use crate::core::{OpError, OpResult};
use crate::util::ports::free_address;
use attohttpc::{Method, ProxySettings, RequestBuilder};
use gypsumchute_config::{ConfigSource, DaemonSettings, FeatureSettings, KeyHash};
use gypsumchute_daemon::process::run_until;
use gypsumchute_platform::READINESS_PATH;
use gypsumchute_platform_standin::{Behaviour, Endpoint, SharedEndpointState};
use gypsumchute_units::{VmId, ZoneId};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::sync::oneshot;

/// Salt of the API key hashes.
const KEY_SALT: &str = "demo-salt";
/// Host that the routes match: clients send the address they connect to.
const HOST: &str = "127.0.0.1";
/// API key of the customer `lens-trust`.
pub const SURVEY_KEY: &str = "demo-key-lens-trust";
/// API key of the customer `flottbad`.
pub const BOOKING_KEY: &str = "demo-key-flottbad";
/// Availability zones, one per daemon.
const ZONES: [&str; 2] = ["umea-b", "pitea-d"];
/// IP address of each daemon. Daemons need different addresses because all of them use the same
/// gossip port.
const PEER_IPS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 3, 1), Ipv4Addr::new(127, 0, 3, 2)];
/// Number of events in a generation.
const EVENT_COUNT: u64 = 24;
/// Interval between the events of a generation, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 30;
/// Read timeout of requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until a daemon becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running demo. Dropping the value stops the daemons and the endpoints.
pub struct Demo {
    /// Addresses at which the daemons accept client requests.
    frontend_addresses: Vec<SocketAddr>,
    /// Addresses at which the daemons serve metrics.
    metrics_addresses: Vec<SocketAddr>,
    /// Channels that stop the daemons when the senders are dropped.
    _stop_senders: Vec<oneshot::Sender<()>>,
    _endpoints: Vec<Endpoint>,
    _folder: TempDir,
}

/// Returns an error of the demo that advises the user to run the demo again.
fn demo_failed(what: &str, reason: impl ToString) -> OpError {
    OpError::failed(what, reason, "run the demo again, and report a bug if it fails repeatedly")
}

/// Returns the names and contents of the configuration files that define the customers, routes and
/// endpoints of the demo.
fn config_files(endpoints: &[Value]) -> [(&'static str, Value); 4] {
    let key = |key: &str| json!([{ "id": "first", "sha256": KeyHash::of(KEY_SALT, key) }]);
    let customers = json!({ "customers": [
        { "id": "lens-trust", "rate_per_s": 20, "burst": 20, "keys": key(SURVEY_KEY) },
        { "id": "flottbad", "rate_per_s": 20, "burst": 20, "keys": key(BOOKING_KEY) },
    ]});
    let routes = json!({
        "services": [
            { "id": "engines", "engine": { "memory_tokens": 30_000, "copies_runs": true } },
            { "id": "booking-app" },
        ],
        "routes": [
            { "id": "surveys", "host": HOST, "path_prefix": "/surveys/", "carries": "generations",
              "services": [{ "service": "engines" }] },
            { "id": "bookings", "host": HOST, "path_prefix": "/bookings/",
              "services": [{ "service": "booking-app" }] },
        ],
    });
    let zones: Vec<_> = ZONES.iter().map(|zone| json!({ "id": zone })).collect();
    [
        (
            "00-fleet.json",
            json!({ "fleet": { "version": 1, "key_salt": KEY_SALT }, "zones": zones }),
        ),
        ("20-customers.json", customers),
        ("30-routes.json", routes),
        ("90-endpoints.json", json!({ "endpoints": endpoints })),
    ]
}

/// Returns the settings of one daemon, which uses free ports for clients, readiness checks and
/// metrics.
fn daemon_settings(
    vm: &VmId,
    zone: &ZoneId,
    gossip_address: SocketAddrV4,
    seed_address: SocketAddrV4,
    folder: &Path,
) -> OpResult<DaemonSettings> {
    Ok(DaemonSettings {
        vm: vm.clone(),
        zone: zone.clone(),
        zone_regions: BTreeMap::new(),
        callers_listen: free_address()?,
        readiness_listen: free_address()?,
        metrics_listen: free_address()?,
        peers_listen: gossip_address,
        seeds: vec![seed_address],
        configuration: ConfigSource::Folder(folder.to_owned()),
        shutdown_grace_s: 8.0,
        retry_ratio: 0.2,
        retry_fixed: 50.0,
        retry_window_s: 10.0,
        features: FeatureSettings::default(),
        memory_mb: 88,
        max_descriptors: 4_100,
        caller_stall_s: 30.0,
    })
}

/// Starts the endpoints and the daemons, and waits until the daemons are ready.
///
/// # Errors
///
/// Returns an error if no port is free, the configuration folder cannot be written, or a daemon
/// does not become ready in time.
pub fn start() -> OpResult<Demo> {
    let endpoint_state = SharedEndpointState::default();
    let (mut endpoints, mut endpoint_entries) = (Vec::new(), Vec::new());
    for zone in ZONES {
        let streams =
            Behaviour::Streams { events: EVENT_COUNT, event_interval_ms: EVENT_INTERVAL_MS };
        let endpoint_kinds =
            [("engine", "engines", streams), ("app", "booking-app", Behaviour::Succeeds)];
        for (name, service, behaviour) in endpoint_kinds {
            let endpoint = Endpoint::start(&endpoint_state, &format!("{name}-{zone}"), behaviour);
            endpoint_entries.push(json!({ "id": endpoint.id, "zone": zone, "service": service,
                "address": endpoint.address() }));
            endpoints.push(endpoint);
        }
    }
    let folder = TempDir::new()?;
    for (name, json) in config_files(&endpoint_entries) {
        fs::write(folder.path().join(name), format!("{json:#}"))?;
    }
    let port = free_address()?.port();
    let seed_address = SocketAddrV4::new(PEER_IPS[0], port);
    let (mut frontend_addresses, mut metrics_addresses, mut stop_senders) =
        (Vec::new(), Vec::new(), Vec::new());
    for (number, (zone, ip)) in ZONES.iter().zip(PEER_IPS).enumerate() {
        let vm = format!("vm-{}", number + 1).parse().map_err(|err| demo_failed("VM", err))?;
        let zone = zone.parse().map_err(|err| demo_failed("zone", err))?;
        let gossip_address = SocketAddrV4::new(ip, port);
        let settings = daemon_settings(&vm, &zone, gossip_address, seed_address, folder.path())?;
        frontend_addresses.push(settings.callers_listen);
        metrics_addresses.push(settings.metrics_listen);
        let (stop_sender, stopped) = oneshot::channel::<()>();
        stop_senders.push(stop_sender);
        let readiness = settings.readiness_listen;
        thread::spawn(move || run_until(settings, async { drop(stopped.await) }));
        wait_ready(readiness)?;
    }
    Ok(Demo {
        frontend_addresses,
        metrics_addresses,
        _stop_senders: stop_senders,
        _endpoints: endpoints,
        _folder: folder,
    })
}

/// Waits until the daemon at this readiness address is ready.
fn wait_ready(readiness: SocketAddr) -> OpResult<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let url = format!("http://{readiness}{}", READINESS_PATH);
    let is_ready = || {
        let response = RequestBuilder::new(Method::GET, &url)
            .proxy_settings(ProxySettings::builder().build())
            .send();
        response.is_ok_and(|response| response.is_success())
    };
    while !is_ready() {
        if Instant::now() > deadline {
            return Err(demo_failed("daemons", "a daemon did not become ready before the timeout"));
        }
        thread::sleep(READY_POLL_INTERVAL);
    }
    Ok(())
}

/// Returns a POST request that is authorized with the API key `key`.
fn post(address: SocketAddr, path: &str, key: &str) -> RequestBuilder {
    RequestBuilder::new(Method::POST, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .header("Authorization", format!("Bearer {key}"))
        .read_timeout(CALL_TIMEOUT)
}

/// Sends one generation and one booking, and writes the responses to `out`.
///
/// # Errors
///
/// Returns an error if a request fails or the generation is incomplete.
pub fn run(demo: &Demo, out: &mut impl Write) -> OpResult<()> {
    writeln!(out, "generation through {}:", demo.frontend_addresses[0])?;
    print_generation(demo.frontend_addresses[0], out)?;
    writeln!(out, "booking through {}:", demo.frontend_addresses[1])?;
    let booking = post(demo.frontend_addresses[1], "/bookings/rafts", BOOKING_KEY)
        .text(r#"{"raft":"Njord","weekend":"2027-01-09"}"#)
        .send()
        .map_err(|err| demo_failed("booking", err))?;
    let status = booking.status().as_u16();
    let text = booking.text().map_err(|err| demo_failed("booking", err))?;
    writeln!(out, "  {text}")?;
    match status {
        200 => Ok(()),
        status => Err(demo_failed("booking", format!("status {status}"))),
    }
}

/// Sends a generation and writes the events to `out` as they arrive.
fn print_generation(address: SocketAddr, out: &mut impl Write) -> OpResult<()> {
    let response = post(address, "/surveys/lens", SURVEY_KEY)
        .text("Describe the state of the second-order lens at Hoburg.")
        .send()
        .map_err(|err| demo_failed("generation", err))?;
    if !response.is_success() {
        return Err(demo_failed("generation", response.text().unwrap_or_default()));
    }
    write!(out, " ")?;
    let mut events = 0;
    for line in BufReader::new(response.split().2).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        write!(out, " {data}")?;
        out.flush()?;
        events += 1;
    }
    writeln!(out)?;
    match events {
        EVENT_COUNT => Ok(()),
        events => Err(demo_failed("generation", format!("{events} of {EVENT_COUNT} events"))),
    }
}

/// Prints example `curl` commands and keeps the demo running until the process is terminated.
///
/// # Errors
///
/// Returns an error if writing to `out` fails.
pub fn serve(demo: &Demo, out: &mut impl Write) -> OpResult<()> {
    let address = demo.frontend_addresses[0];
    writeln!(out, "serving; try:")?;
    writeln!(
        out,
        "curl -N http://{address}/surveys/lens \
         -H 'Authorization: Bearer {SURVEY_KEY}' -d 'Describe the lens.'"
    )?;
    writeln!(
        out,
        "curl http://{address}/bookings/rafts \
         -H 'Authorization: Bearer {BOOKING_KEY}' -d '{{\"raft\":\"Njord\"}}'"
    )?;
    writeln!(out, "curl http://{}/metrics", demo.metrics_addresses[0])?;
    out.flush()?;
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}
