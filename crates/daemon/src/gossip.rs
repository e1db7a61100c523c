//! Datagrams between daemons of different VMs: heartbeats, and notes of loads that changed.

use crate::context::{CRASH_RETENTION_MS, Context, LoadNoteTargets, State};
use gypsumchute_fleet::PeerAddress;
use gypsumchute_fleet::members::{Heard, MEMBERS_PER_ANSWER};
use gypsumchute_fleet::messages::{
    Crash, Datagram, EndpointLoad, Heartbeat, LoadNote, Member, datagram::Body,
};
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::Suspicion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId};
use log::{info, warn};
use prost::Message;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Pause after a datagram could not be received, in ms.
const RECEIVE_PAUSE_MS: u64 = 40;
/// Shortest time between two heartbeats that go out before their time, for each VM they go to.
const MIN_URGENT_GAP_MS_PER_TARGET: u64 = 12;

/// Sends heartbeats for as long as the process lives.
pub async fn send_heartbeats(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        let targets = context.with(|state| state.members.next_targets(boot_now()));
        let heartbeat =
            build_heartbeat(&context, context.with(|s| s.members.members_per_heartbeat()));
        send_heartbeat(&context, &socket, heartbeat, &targets).await;
        let regular_ms = context.with(|state| state.members.heartbeat_ms());
        let gap_ms = (MIN_URGENT_GAP_MS_PER_TARGET * targets.len() as u64).min(regular_ms);
        let sent_at = Instant::now();
        tokio::select! {
            () = sleep_until(sent_at + Duration::from_millis(regular_ms)) => {}
            () = context.heartbeat_due.notified() => {
                sleep_until(sent_at + Duration::from_millis(gap_ms)).await;
            }
        }
    }
}

/// Takes in heartbeats for as long as the process lives.
pub async fn receive_datagrams(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, _) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                // Some systems report here that an earlier datagram found no listener.
                warn!(error:% = err; "no datagram could be received");
                sleep(Duration::from_millis(RECEIVE_PAUSE_MS)).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]).map(|datagram| datagram.body) {
            Ok(Some(Body::Heartbeat(heartbeat))) => {
                apply_heartbeat(&context, &socket, heartbeat).await
            }
            Ok(Some(Body::Note(note))) => apply_load_note(&context, &socket, note).await,
            Ok(None) => warn!(bytes = length; "datagram of a kind that is not known"),
            Err(err) => warn!(error:% = err, bytes = length; "datagram can't be read"),
        }
    }
}

/// Tells the others that this VM shuts down, so that they don't wait for it.
pub async fn announce_shutdown(context: &Rc<Context>, socket: &UdpSocket) {
    let targets = context.with(|state| state.members.next_targets(boot_now()));
    let heartbeat = Heartbeat { leaving: true, ..build_heartbeat(context, 0) };
    send_heartbeat(context, socket, heartbeat, &targets).await;
}

async fn send_heartbeat(
    context: &Context,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
    targets: &[SocketAddrV4],
) {
    send_datagram(context, socket, Body::Heartbeat(heartbeat), targets).await;
}

async fn send_datagram(
    context: &Context,
    socket: &UdpSocket,
    body: Body,
    targets: &[SocketAddrV4],
) {
    let bytes = Datagram { body: Some(body) }.encode_to_vec();
    for target in targets {
        // A datagram may be lost on its way just as well: the next one makes up for it.
        let sent = socket.send_to(&bytes, SocketAddr::V4(*target)).await;
        if sent.is_ok() {
            context.metrics.count_message(bytes.len() as u64);
        }
    }
}

fn build_heartbeat(context: &Context, member_count: usize) -> Heartbeat {
    let now = boot_now();
    context.with(|state| {
        let me = state.members.me().clone();
        let endpoints = state.endpoints_to_announce(now);
        let loads = endpoints.iter().map(|endpoint| encode_load(state, now, endpoint)).collect();
        let members = state.members.some_members(now, member_count, &mut state.rng);
        let crashes = state.crashes_to_announce(now).map(|crash| Crash {
            fingerprint: crash.fingerprint,
            endpoint: crash.endpoint.to_string(),
            number: crash.number,
            keep_ms: CRASH_RETENTION_MS,
        });
        let crashes = crashes.collect();
        Heartbeat {
            vm: me.vm.to_string(),
            zone: me.zone.to_string(),
            ip: (*me.address.ip()).into(),
            port: me.address.port().into(),
            store_revision: state.store_copy.revision(),
            reads_platform: state.reads_store,
            loads,
            members: members.iter().map(encode_member).collect(),
            crashes,
            joining: !state.members.has_company(now),
            leaving: false,
        }
    })
}

/// What this VM has at `endpoint`, and how suspect it finds it.
fn encode_load(state: &State, now: BootMs, endpoint: &EndpointId) -> EndpointLoad {
    let load = state.loads.own_at(endpoint);
    let suspicion = state.outcomes.own_at(now, endpoint);
    let milli = |level: f64| (level * 1_000.0) as u32;
    EndpointLoad {
        endpoint: endpoint.to_string(),
        requests: load.requests,
        tokens: load.tokens,
        backup_tokens: load.backup_tokens,
        unread_tokens: load.unread_tokens,
        failures_milli: milli(suspicion.failures),
        own_faults_milli: milli(suspicion.own_faults),
        leaving: state.announces_termination(now, endpoint),
    }
}

/// What another VM tells of an endpoint.
struct PeerEndpointReport {
    endpoint: EndpointId,
    load: Load,
    suspicion: Suspicion,
    leaving: bool,
}

fn decode_load(report: &EndpointLoad) -> Option<PeerEndpointReport> {
    let &EndpointLoad { requests, tokens, backup_tokens, unread_tokens, leaving, .. } = report;
    let part = |milli: u32| f64::from(milli) / 1_000.0;
    let failures = part(report.failures_milli);
    Some(PeerEndpointReport {
        endpoint: report.endpoint.parse().ok()?,
        load: Load { requests, tokens, backup_tokens, unread_tokens },
        suspicion: Suspicion {
            level: failures,
            failures,
            own_faults: part(report.own_faults_milli),
        },
        leaving,
    })
}

/// Takes in how an endpoint behaves, as a VM of the own zone (`near`) or of another tells.
/// Returns whether requests there may have to leave.
fn apply_endpoint_report(
    state: &mut State,
    now: BootMs,
    report: &PeerEndpointReport,
    same_zone: bool,
) -> bool {
    state.outcomes.hear(now, report.endpoint.clone(), report.suspicion, same_zone);
    let is_news = report.leaving && state.endpoints.note_leaving(&report.endpoint);
    if is_news {
        info!(endpoint = report.endpoint.as_str(); "endpoint told another VM that it leaves");
    }
    is_news
}

/// Tells the VMs that share an endpoint at once what this VM has there, for as long as the process
/// lives.
pub async fn send_load_notes(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        context.load_notes_due.notified().await;
        for endpoint in context.take_pending_notes() {
            let now = boot_now();
            let (load, load_note_targets) = context.with(|state| {
                (encode_load(state, now, &endpoint), state.load_note_targets(now, &endpoint))
            });
            let LoadNoteTargets { addresses, relay } = load_note_targets;
            let note = LoadNote { vm: context.settings.vm.to_string(), load: Some(load), relay };
            send_datagram(&context, &socket, Body::Note(note), &addresses).await;
        }
    }
}

async fn apply_load_note(context: &Context, socket: &UdpSocket, note: LoadNote) {
    let report = note.load.as_ref().and_then(decode_load);
    let (Ok(vm), Some(report)) = (note.vm.parse(), report) else {
        warn!(vm = note.vm.as_str(); "note of a load can't be read");
        return;
    };
    let now = boot_now();
    let (is_leaving, sharers) = context.with(|state| {
        let same_zone = state.members.zone_of(&vm) == Some(&context.settings.zone);
        let is_leaving = apply_endpoint_report(state, now, &report, same_zone);
        let sharers = state.members.sharers(now, &report.endpoint).others;
        state.loads.set_peer_at(now, &vm, report.endpoint, report.load);
        (is_leaving, sharers)
    });
    notify_waiters(context, is_leaving);
    if note.relay {
        let note = LoadNote { relay: false, ..note };
        send_datagram(context, socket, Body::Note(note), &sharers).await;
    }
}

fn notify_waiters(context: &Context, endpoint_leaving: bool) {
    match endpoint_leaving {
        true => context.notify_registry_changed(),
        false => context.notify_changed(),
    }
}

fn encode_member(peer: &PeerAddress) -> Member {
    Member {
        vm: peer.vm.to_string(),
        zone: peer.zone.to_string(),
        ip: (*peer.address.ip()).into(),
        port: peer.address.port().into(),
    }
}

fn decode_peer_address(vm: &str, zone: &str, ip: u32, port: u32) -> Option<PeerAddress> {
    let port = u16::try_from(port).ok()?;
    let address = SocketAddrV4::new(Ipv4Addr::from(ip), port);
    Some(PeerAddress { vm: vm.parse().ok()?, zone: zone.parse().ok()?, address })
}

async fn apply_heartbeat(context: &Rc<Context>, socket: &UdpSocket, heartbeat: Heartbeat) {
    let now = boot_now();
    let Heartbeat { vm, zone, ip, port, .. } = &heartbeat;
    let Some(peer) = decode_peer_address(vm, zone, *ip, *port) else {
        warn!(vm = vm.as_str(), zone = zone.as_str(); "heartbeat without a proper sender");
        return;
    };
    let me = &context.settings.vm;
    if peer.vm == *me {
        return;
    }
    if heartbeat.leaving {
        info!(vm = peer.vm.as_str(); "VM shuts down");
        context.with(|state| {
            state.members.on_leaving(&peer.vm);
            state.loads.set_peer(now, &peer.vm, []);
        });
        return;
    }
    let endpoints = heartbeat.loads.iter().filter_map(decode_load);
    let endpoints: Vec<_> = endpoints.collect();
    let (is_new, any_leaving) = context.with(|state| {
        let heard = Heard {
            peer: peer.clone(),
            reads_platform: heartbeat.reads_platform,
            store_revision: heartbeat.store_revision,
        };
        let is_new = state.members.on_heartbeat(now, heard);
        let named = heartbeat.members.iter();
        let named = named.filter_map(|m| decode_peer_address(&m.vm, &m.zone, m.ip, m.port));
        named.for_each(|named| state.members.on_named(now, named));
        let same_zone = peer.zone == context.settings.zone;
        let mut any_leaving = false;
        for report in &endpoints {
            any_leaving |= apply_endpoint_report(state, now, report, same_zone);
        }
        let used = endpoints.into_iter().filter(|report| !report.load.is_none());
        state.loads.set_peer(now, &peer.vm, used.map(|report| (report.endpoint, report.load)));
        if heartbeat.reads_platform && heartbeat.store_revision <= state.store_copy.revision() {
            state.store_confirmed_ms = Some(now);
        }
        for crash in &heartbeat.crashes {
            let Ok(endpoint) = crash.endpoint.parse() else { continue };
            let seen = [(crash.number, endpoint)];
            state.poison.on_crashes(now, crash.fingerprint, seen, crash.keep_ms);
        }
        (is_new, any_leaving)
    });
    notify_waiters(context, any_leaving);
    if is_new {
        info!(vm = peer.vm.as_str(), zone = peer.zone.as_str(), address:% = peer.address;
            "VM heard of");
    }
    if heartbeat.joining || is_new {
        let answer = self::build_heartbeat(context, MEMBERS_PER_ANSWER);
        send_heartbeat(context, socket, answer, &[peer.address]).await;
    }
}
