//! Gossip between daemons over UDP: periodic heartbeats, and load notes that announce changes of
//! load immediately. Other datagrams are passed on to [`crate::stream_gossip`].

use crate::context::{Context, LoadNoteTargets, State};
use crate::crash_gossip::{
    apply_completed, apply_crash, apply_poison_request, apply_poison_segment, apply_sound_segment,
    encode_completed, encode_crash, encode_poison_request,
};
use crate::peer_sync::{decode_position, encode_position};
use crate::stream_gossip::{answer_query, apply_stream_record};
use gypsumchute_fleet::members::{HeartbeatSender, MEMBERS_PER_JOIN_REPLY};
use gypsumchute_fleet::messages::{
    Datagram, EndpointLoad, Heartbeat, LoadNote, Member, RejectionLimit, RequestLimit,
    datagram::Body,
};
use gypsumchute_fleet::{CopyProgress, PeerAddress, StorePosition};
use gypsumchute_routing::crash_reports::{Audience, HeartbeatReports};
use gypsumchute_routing::endpoint_limits::NamedLimit;
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::Suspicion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, RequestRate, ServiceId};
use log::{info, warn};
use prost::Message;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum size of a datagram, in bytes: the limit of UDP. What does not fit would be cut off.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Delay after a failed receive, in milliseconds.
const RECEIVE_RETRY_DELAY_MS: u64 = 40;
/// Minimum interval between heartbeats that are sent ahead of schedule, in milliseconds per target
/// VM.
const MIN_URGENT_GAP_MS_PER_TARGET: u64 = 12;

/// Sends heartbeats at the regular interval, and ahead of schedule if one is due. Runs until the
/// process exits.
pub async fn send_heartbeats(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        let targets = context.with(|state| state.members.next_heartbeat_targets(boot_now()));
        let heartbeat = build_heartbeat(&context, Audience::Contacts);
        send_heartbeat(&context, &socket, heartbeat, &targets).await;
        let regular_ms = context.with(|state| state.members.heartbeat_interval_ms());
        let urgent_gap_ms = (MIN_URGENT_GAP_MS_PER_TARGET * targets.len() as u64).min(regular_ms);
        let sent_at = Instant::now();
        tokio::select! {
            () = sleep_until(sent_at + Duration::from_millis(regular_ms)) => {}
            () = context.heartbeat_due.notified() => {
                sleep_until(sent_at + Duration::from_millis(urgent_gap_ms)).await;
            }
        }
    }
}

/// Receives heartbeats and load notes from peers. Runs until the process exits.
pub async fn receive_datagrams(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, _) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                // Some systems report here that an earlier datagram could not be delivered, because
                // no process listens on the target port.
                warn!(error:% = err; "failed to receive a datagram");
                sleep(Duration::from_millis(RECEIVE_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]).map(|datagram| datagram.body) {
            Ok(Some(Body::Heartbeat(heartbeat))) => {
                apply_heartbeat(&context, &socket, heartbeat).await
            }
            Ok(Some(Body::Note(note))) => apply_load_note(&context, &socket, note).await,
            Ok(Some(Body::StreamRecord(record))) => apply_stream_record(&context, record),
            Ok(Some(Body::StreamQuery(query))) => answer_query(&context, &socket, query).await,
            Ok(None) => warn!(bytes = length; "unknown datagram type"),
            Err(err) => warn!(error:% = err, bytes = length; "failed to decode a datagram"),
        }
    }
}

/// Announces the shutdown of this VM to peers, so that they stop expecting heartbeats.
pub async fn announce_shutdown(context: &Rc<Context>, socket: &UdpSocket) {
    let targets = context.with(|state| state.members.next_heartbeat_targets(boot_now()));
    let heartbeat = Heartbeat { leaving: true, ..build_heartbeat(context, Audience::Contacts) };
    send_heartbeat(context, socket, heartbeat, &targets).await;
}

/// Sends a heartbeat to each target.
async fn send_heartbeat(
    context: &Context,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
    targets: &[SocketAddrV4],
) {
    send_datagram(context, socket, Body::Heartbeat(heartbeat), targets).await;
}

/// Sends a datagram to each target.
pub(crate) async fn send_datagram(
    context: &Context,
    socket: &UdpSocket,
    body: Body,
    targets: &[SocketAddrV4],
) {
    let bytes = Datagram { body: Some(body) }.encode_to_vec();
    for target in targets {
        // A failed send is treated like a datagram lost on the network: the next datagram replaces
        // it.
        match socket.send_to(&bytes, SocketAddr::V4(*target)).await {
            Ok(_) => context.metrics.count_peer_message(bytes.len() as u64),
            Err(err) if bytes.len() > MAX_DATAGRAM_BYTES => {
                warn!(error:% = err, bytes = bytes.len(), to:% = target;
                    "datagram is too large to be sent");
            }
            Err(_) => {}
        }
    }
}

/// Builds a heartbeat. A newcomer receives the names of many members.
fn build_heartbeat(context: &Context, audience: Audience) -> Heartbeat {
    let now = boot_now();
    context.with(|state| {
        let me = state.members.local_vm().clone();
        let mut endpoints = state.endpoints_to_announce(now);
        // A newcomer has heard no notices so far; those without a start might belong to an earlier one.
        let noticed: BTreeSet<EndpointId> = match audience {
            Audience::Newcomer => state.endpoints.leaving_by_notice().cloned().collect(),
            Audience::Contacts => BTreeSet::new(),
        };
        endpoints.extend(noticed.iter().cloned());
        let encode = |endpoint: &EndpointId| {
            let load = encode_load(state, now, endpoint);
            EndpointLoad { leaving: load.leaving || noticed.contains(endpoint), ..load }
        };
        let loads = endpoints.iter().map(encode).collect();
        let member_count = match audience {
            Audience::Contacts => state.members.members_per_heartbeat(),
            Audience::Newcomer => MEMBERS_PER_JOIN_REPLY,
        };
        let members = state.members.sample_members(now, member_count, &mut state.rng);
        let reports = state.crash_reports.next_reports(now, &state.suspects, audience);
        let HeartbeatReports {
            crashes,
            poison_requests,
            completed_requests,
            poison_segments,
            sound_segments,
        } = reports;
        let dropped = state.crash_reports.take_dropped();
        if dropped > 0 {
            warn!(dropped; "too many endpoint crashes at once; some were not reported to peers");
        }
        let progress = state.store_copy.progress();
        Heartbeat {
            vm: me.vm.to_string(),
            zone: me.zone.to_string(),
            ip: (*me.address.ip()).into(),
            port: me.address.port().into(),
            store_revision: progress.position.revision,
            reads_platform: state.reads_store,
            loads,
            members: members.iter().map(encode_member).collect(),
            crashes: crashes.into_iter().map(encode_crash).collect(),
            joining: !state.members.has_live_peers(now),
            leaving: false,
            poison_requests: poison_requests.into_iter().map(encode_poison_request).collect(),
            completed_requests: completed_requests.into_iter().map(encode_completed).collect(),
            poison_segments: poison_segments.into_iter().map(encode_poison_request).collect(),
            sound_segments: sound_segments.into_iter().map(encode_completed).collect(),
            store_era: progress.position.era,
            merged: encode_position(progress.merged),
            cut_off_services: state.links.lost_services().map(ServiceId::to_string).collect(),
            starting: state.members.is_starting(now),
        }
    })
}

/// Encodes the load of this VM at `endpoint`, and the failures that this VM observed at
/// the endpoint.
fn encode_load(state: &State, now: BootMs, endpoint: &EndpointId) -> EndpointLoad {
    let load = state.loads.local_load(endpoint);
    let suspicion = state.outcomes.local_suspicion(now, endpoint);
    let milli = |level: f64| (level * 1_000.0) as u32;
    EndpointLoad {
        endpoint: endpoint.to_string(),
        requests: load.requests,
        tokens: load.reserved_tokens,
        backup_tokens: load.backup_tokens,
        unread_tokens: load.pending_prefill_tokens,
        failures_milli: milli(suspicion.unexplained_failures),
        own_faults_milli: milli(suspicion.endpoint_errors),
        leaving: state.announces_termination(now, endpoint),
        limit: state.endpoint_limits.get(endpoint).map(|limit| encode_limit(now, limit)),
        leaving_start_ms: state.endpoints.leaving_start_ms(endpoint),
        rejection_limit: state.rejection_limits.get(endpoint).map(|limit| RejectionLimit {
            max_per_s: limit.rate,
            age_ms: now.since(limit.named_ms),
            rejected: false,
        }),
    }
}

/// Encodes what an endpoint said of its request rate limit.
fn encode_limit(now: BootMs, limit: NamedLimit) -> RequestLimit {
    let micro_per_s = limit.rate.map(RequestRate::micro_per_s);
    RequestLimit { micro_per_s, age_ms: now.since(limit.named_ms) }
}

/// Decodes what an endpoint told a peer of its request rate limit.
fn decode_limit(now: BootMs, limit: RequestLimit) -> NamedLimit {
    let rate = limit.micro_per_s.map(RequestRate::from_micro_per_s);
    NamedLimit { rate, named_ms: BootMs(now.0.saturating_sub(limit.age_ms)) }
}

/// Load and failures that a peer reports for an endpoint.
struct PeerEndpointReport {
    endpoint: EndpointId,
    /// Load that the peer has at the endpoint.
    load: Load,
    /// Failures that the peer observed at the endpoint.
    suspicion: Suspicion,
    /// Whether the peer announces a termination notice of the endpoint.
    terminating: bool,
    /// Start of the endpoint that the notice belongs to, if it reports its starts.
    leaving_start_ms: Option<u64>,
    /// What the endpoint told the peer of its request rate limit.
    limit: Option<RequestLimit>,
    /// What the endpoint told the peer of the rejections that it bears.
    rejection_limit: Option<RejectionLimit>,
}

/// Decodes a peer's report, or returns `None` if the endpoint id is invalid.
fn decode_load(report: &EndpointLoad) -> Option<PeerEndpointReport> {
    let &EndpointLoad {
        requests, tokens, backup_tokens, unread_tokens, leaving: terminating, ..
    } = report;
    let from_milli = |milli: u32| f64::from(milli) / 1_000.0;
    let failures = from_milli(report.failures_milli);
    Some(PeerEndpointReport {
        endpoint: report.endpoint.parse().ok()?,
        load: Load {
            requests,
            reserved_tokens: tokens,
            backup_tokens,
            pending_prefill_tokens: unread_tokens,
        },
        suspicion: Suspicion {
            total: failures,
            unexplained_failures: failures,
            endpoint_errors: from_milli(report.own_faults_milli),
        },
        terminating,
        leaving_start_ms: report.leaving_start_ms,
        limit: report.limit,
        rejection_limit: report.rejection_limit,
    })
}

/// Applies the failures and the termination notice that a peer reports for an endpoint. For a peer
/// in a different zone (`same_zone` is false), only faults of the endpoint itself count, because
/// the network link between the zones can cause other failures. Returns whether the termination
/// notice is new, in which case requests may have to move to another endpoint.
fn apply_endpoint_report(
    state: &mut State,
    now: BootMs,
    report: &PeerEndpointReport,
    same_zone: bool,
) -> bool {
    state.outcomes.record_peer_report(now, report.endpoint.clone(), report.suspicion, same_zone);
    if let Some(limit) = report.limit.map(|limit| decode_limit(now, limit))
        && state.endpoint_limits.on_peer_report(&report.endpoint, limit)
    {
        info!(endpoint = report.endpoint.as_str(), limited = limit.rate.is_some(),
            per_s:% = limit.rate.unwrap_or_default();
            "peer VM reported a change of the endpoint's request rate limit");
    }
    if let Some(RejectionLimit { max_per_s, age_ms, rejected }) = report.rejection_limit {
        let named_ms = BootMs(now.0.saturating_sub(age_ms));
        let limit = NamedLimit { rate: max_per_s, named_ms };
        if state.rejection_limits.on_peer_report(&report.endpoint, limit) {
            info!(endpoint = report.endpoint.as_str(), max_rejections_per_s:? = max_per_s;
                "peer VM reported a change of the rejections that the endpoint bears");
        }
        if rejected {
            state.on_peer_rejected(now, &report.endpoint);
        }
    }
    let start = report.leaving_start_ms;
    let is_new_notice =
        report.terminating && state.endpoints.mark_terminating(now, &report.endpoint, start);
    if is_new_notice {
        info!(endpoint = report.endpoint.as_str();
            "peer VM announced that the endpoint is terminating");
    }
    is_new_notice
}

/// Announces changes at an endpoint to the peers that prefer the same endpoint: this VM's load,
/// failures and termination notices. Runs until the process exits.
pub async fn send_load_notes(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        context.load_notes_due.notified().await;
        for endpoint in context.take_pending_load_notes() {
            let now = boot_now();
            let (mut load, targets) = context.with(|state| {
                (encode_load(state, now, &endpoint), state.load_note_targets(now, &endpoint))
            });
            let rejected = context.recent_rejections.borrow_mut().remove(&endpoint);
            if let Some(limit) = &mut load.rejection_limit {
                limit.rejected = rejected;
            }
            let LoadNoteTargets { addresses, relay } = targets;
            let note = LoadNote { vm: context.settings.vm.to_string(), load: Some(load), relay };
            send_datagram(&context, &socket, Body::Note(note), &addresses).await;
        }
    }
}

/// Applies a load note from a peer, and forwards the note within the zone if `relay` is set.
async fn apply_load_note(context: &Context, socket: &UdpSocket, note: LoadNote) {
    let report = note.load.as_ref().and_then(decode_load);
    let (Ok(vm), Some(report)) = (note.vm.parse(), report) else {
        warn!(vm = note.vm.as_str(); "failed to decode a load note");
        return;
    };
    let now = boot_now();
    let (newly_terminating, preferred_senders) = context.with(|state| {
        let same_zone = state.members.zone_of(&vm) == Some(&context.settings.zone);
        let newly_terminating = apply_endpoint_report(state, now, &report, same_zone);
        let preferred_senders = state.members.preferred_senders(now, &report.endpoint).others;
        state.loads.set_peer_load(now, &vm, report.endpoint, report.load);
        (newly_terminating, preferred_senders)
    });
    notify_waiters(context, newly_terminating);
    if note.relay {
        let note = LoadNote { relay: false, ..note };
        send_datagram(context, socket, Body::Note(note), &preferred_senders).await;
    }
}

/// Wakes waiting tasks, including those that watch the registry if an endpoint is terminating.
fn notify_waiters(context: &Context, endpoint_terminating: bool) {
    match endpoint_terminating {
        true => context.notify_registry_changed(),
        false => context.notify_changed(),
    }
}

/// Encodes the address of a member for a heartbeat.
fn encode_member(peer: &PeerAddress) -> Member {
    Member {
        vm: peer.vm.to_string(),
        zone: peer.zone.to_string(),
        ip: (*peer.address.ip()).into(),
        port: peer.address.port().into(),
    }
}

/// Decodes the address of a VM, or returns `None` if a part of it is invalid.
fn decode_peer_address(vm: &str, zone: &str, ip: u32, port: u32) -> Option<PeerAddress> {
    let port = u16::try_from(port).ok()?;
    let address = SocketAddrV4::new(Ipv4Addr::from(ip), port);
    Some(PeerAddress { vm: vm.parse().ok()?, zone: zone.parse().ok()?, address })
}

/// Applies a heartbeat from a peer. Replies with a heartbeat if the peer was unknown or silent
/// before, or if the peer has no live peers itself (`joining`).
async fn apply_heartbeat(context: &Rc<Context>, socket: &UdpSocket, heartbeat: Heartbeat) {
    let now = boot_now();
    let Heartbeat { vm, zone, ip, port, .. } = &heartbeat;
    let Some(peer) = decode_peer_address(vm, zone, *ip, *port) else {
        warn!(vm = vm.as_str(), zone = zone.as_str(); "heartbeat has an invalid sender address");
        return;
    };
    let me = &context.settings.vm;
    if peer.vm == *me {
        return;
    }
    if heartbeat.leaving {
        info!(vm = peer.vm.as_str(); "peer VM is shutting down");
        context.with(|state| {
            state.members.on_shutdown(&peer.vm);
            state.loads.replace_peer_loads(now, &peer.vm, []);
        });
        return;
    }
    let reports = heartbeat.loads.iter().filter_map(decode_load);
    let reports: Vec<_> = reports.collect();
    let (is_new, any_terminating) = context.with(|state| {
        let position =
            StorePosition { era: heartbeat.store_era, revision: heartbeat.store_revision };
        let heard = HeartbeatSender {
            peer: peer.clone(),
            reads_platform: heartbeat.reads_platform,
            store_progress: CopyProgress { position, merged: decode_position(heartbeat.merged) },
            cut_off_services: heartbeat
                .cut_off_services
                .iter()
                .filter_map(|service| service.parse().ok())
                .collect(),
        };
        let is_new = state.members.on_heartbeat(now, heard);
        let members = heartbeat.members.iter();
        let members = members.filter_map(|m| decode_peer_address(&m.vm, &m.zone, m.ip, m.port));
        members.for_each(|member| state.members.on_mentioned(now, member));
        let same_zone = peer.zone == context.settings.zone;
        let mut any_terminating = false;
        for report in &reports {
            any_terminating |= apply_endpoint_report(state, now, report, same_zone);
        }
        let used = reports.into_iter().filter(|report| !report.load.is_zero());
        state.loads.replace_peer_loads(
            now,
            &peer.vm,
            used.map(|report| (report.endpoint, report.load)),
        );
        if heartbeat.reads_platform && position <= state.store_copy.position() {
            state.store_confirmed_ms = Some(now);
        }
        (is_new, any_terminating)
    });
    heartbeat.crashes.iter().for_each(|crash| apply_crash(context, &peer, crash));
    let poison_requests = heartbeat.poison_requests.iter();
    poison_requests.for_each(|poison| apply_poison_request(context, &peer, poison));
    let sound_segments = heartbeat.sound_segments.iter();
    sound_segments.for_each(|sound| apply_sound_segment(context, &peer, sound));
    let poison_segments = heartbeat.poison_segments.iter();
    poison_segments.for_each(|poison| apply_poison_segment(context, &peer, poison));
    let completed_requests = heartbeat.completed_requests.iter();
    completed_requests.for_each(|completed| apply_completed(context, &peer, completed));
    notify_waiters(context, any_terminating);
    if is_new {
        info!(vm = peer.vm.as_str(), zone = peer.zone.as_str(), address:% = peer.address;
            "peer VM discovered");
    }
    if heartbeat.joining || heartbeat.starting || is_new {
        context.pass_records_to(&peer);
    }
    if heartbeat.joining || is_new {
        let response = self::build_heartbeat(context, Audience::Newcomer);
        send_heartbeat(context, socket, response, &[peer.address]).await;
    }
}
