//! What heartbeats say of crashes, poison requests and prompt segments.

use crate::context::Context;
use gypsumchute_fleet::PeerAddress;
use gypsumchute_fleet::messages::{self, Crash};
use gypsumchute_routing::crash_reports::CrashReport;
use gypsumchute_routing::poison::{CompletedRequest, PoisonRequest};
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_units::Fingerprint;
use gypsumchute_units::time::boot_now;
use log::{info, warn};

/// Encodes a crash report for a heartbeat.
pub fn encode_crash(report: CrashReport) -> Crash {
    Crash {
        fingerprint: report.run.request.0,
        endpoint: report.endpoint.to_string(),
        number: report.number,
        keep_ms: report.keep_ms,
        segments: report.run.segments.iter().map(|segment| segment.0).collect(),
        answer_began: report.run.answer_began,
    }
}

/// Encodes a refusal for a heartbeat.
pub fn encode_poison_request(poison: PoisonRequest) -> messages::PoisonRequest {
    let PoisonRequest { fingerprint, refused_for_ms } = poison;
    messages::PoisonRequest { fingerprint: fingerprint.0, refused_for_ms }
}

/// Refuses a request that a peer refuses.
pub fn apply_poison_request(
    context: &Context,
    peer: &PeerAddress,
    poison: &messages::PoisonRequest,
) {
    let fingerprint = Fingerprint(poison.fingerprint);
    let poison = PoisonRequest { fingerprint, refused_for_ms: poison.refused_for_ms };
    if context.with(|state| state.suspects.requests.refuse(boot_now(), poison)) {
        info!(fingerprint:% = fingerprint, refused_for_ms = poison.refused_for_ms,
            vm = peer.vm.as_str(), zone = peer.zone.as_str();
            "peer VM refuses a poison request");
    }
}

/// Refuses a prompt segment that a peer refuses.
pub fn apply_poison_segment(
    context: &Context,
    peer: &PeerAddress,
    poison: &messages::PoisonRequest,
) {
    let segment = Fingerprint(poison.fingerprint);
    let poison = PoisonRequest { fingerprint: segment, refused_for_ms: poison.refused_for_ms };
    if context.with(|state| state.suspects.refuse_segment(boot_now(), poison)) {
        info!(segment:% = segment, refused_for_ms = poison.refused_for_ms,
            vm = peer.vm.as_str(), zone = peer.zone.as_str();
            "peer VM refuses a prompt segment");
    }
}

/// Accepts a prompt segment that a peer knows to be sound.
pub fn apply_sound_segment(
    context: &Context,
    peer: &PeerAddress,
    &messages::CompletedRequest { fingerprint, valid_for_ms }: &messages::CompletedRequest,
) {
    let sound = CompletedRequest { fingerprint: Fingerprint(fingerprint), valid_for_ms };
    if context.with(|state| state.suspects.segments.on_sound_at_peer(boot_now(), sound)) {
        info!(segment:% = sound.fingerprint, valid_for_ms, vm = peer.vm.as_str(),
            zone = peer.zone.as_str();
            "peer VM reported that a refused prompt segment is sound");
    }
}

/// Encodes a completed request for a heartbeat.
pub fn encode_completed(completed: CompletedRequest) -> messages::CompletedRequest {
    let CompletedRequest { fingerprint, valid_for_ms } = completed;
    messages::CompletedRequest { fingerprint: fingerprint.0, valid_for_ms }
}

/// Accepts a request that an endpoint has completed through a peer, although it had crashed others.
pub fn apply_completed(
    context: &Context,
    peer: &PeerAddress,
    &messages::CompletedRequest { fingerprint, valid_for_ms }: &messages::CompletedRequest,
) {
    let completed = CompletedRequest { fingerprint: Fingerprint(fingerprint), valid_for_ms };
    let is_news =
        context.with(|state| state.suspects.requests.on_completed_by_peer(boot_now(), completed));
    if is_news {
        info!(fingerprint:% = completed.fingerprint, valid_for_ms, vm = peer.vm.as_str(),
            zone = peer.zone.as_str();
            "peer VM reported that an endpoint completed a suspected request");
    }
}

/// Decodes a crash report, or returns `None` if the endpoint id is invalid.
fn decode_crash(crash: &Crash) -> Option<CrashReport> {
    Some(CrashReport {
        run: SuspectRun {
            request: Fingerprint(crash.fingerprint),
            segments: crash.segments.iter().map(|segment| Fingerprint(*segment)).collect(),
            answer_began: crash.answer_began,
        },
        endpoint: crash.endpoint.parse().ok()?,
        number: crash.number,
        keep_ms: crash.keep_ms,
    })
}

/// Records a crash that a peer reports, unless it is known. A gateway passes it on, since the VMs
/// of its zone exchange no heartbeats with those of other zones.
pub fn apply_crash(context: &Context, peer: &PeerAddress, crash: &Crash) {
    let Some(report) = decode_crash(crash) else {
        warn!(vm = peer.vm.as_str(), endpoint = crash.endpoint.as_str();
            "crash report has an invalid endpoint id");
        return;
    };
    let now = boot_now();
    let fingerprint = report.run.request;
    let (recorded, is_gateway, crashes) = context.with(|state| {
        let is_gateway = state.members.is_gateway(now);
        let recorded = state.crash_reports.record(now, &mut state.suspects, report, is_gateway);
        (recorded, is_gateway, state.suspects.requests.crash_count(now, fingerprint))
    });
    if let Some(segment) = recorded.poison_segment {
        context.on_poison_segment(segment);
    }
    if !recorded.is_new {
        return;
    }
    if is_gateway {
        context.heartbeat_due.notify_one();
    }
    context.metrics.count_endpoint_crash("peer");
    info!(fingerprint:% = fingerprint, endpoint = crash.endpoint.as_str(),
        vm = peer.vm.as_str(), zone = peer.zone.as_str(), passed_on = is_gateway, crashes;
        "peer VM reported an endpoint crash");
}
