//! Periodic tasks: detects unreachable zones, and discards expired state and keys that the store has
//! lost.

use crate::context::Context;
use crate::store_updates::drop_lost_keys;
use gypsumchute_routing::load::PEER_LOAD_TTL_MS;
use gypsumchute_units::time::boot_now;
use log::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between checks for unreachable zones, in milliseconds.
const ZONE_CHECK_INTERVAL_MS: u64 = 50;
/// Interval between removals of expired peers, loads and other state, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 500;
/// Interval between load notes to other zones, in milliseconds. Two notes are sent before the
/// announced load expires in the other zones.
const REMOTE_NOTE_INTERVAL_MS: u64 = PEER_LOAD_TTL_MS * 2 / 5;

/// Performs the periodic tasks. Runs until the process exits.
pub async fn run(context: Rc<Context>) {
    let (mut next_expire_ms, mut next_note_ms) = (boot_now(), boot_now());
    loop {
        sleep(Duration::from_millis(ZONE_CHECK_INTERVAL_MS)).await;
        update_unreachable_zones(&context);
        drop_lost_keys(&context);
        observe_versions(&context);
        if next_expire_ms <= boot_now() {
            next_expire_ms = boot_now() + EXPIRE_INTERVAL_MS;
            update_heartbeat_only_endpoints(&context);
            expire(&context);
            context.probe_links();
        }
        if next_note_ms <= boot_now() {
            next_note_ms = boot_now() + REMOTE_NOTE_INTERVAL_MS;
            if !context.with(|state| state.members.is_full_mesh()) {
                context.queue_remote_zone_notes();
            }
        }
    }
}

/// Updates the set of unreachable zones and logs the changes.
fn update_unreachable_zones(context: &Context) {
    let now = boot_now();
    let (previous, current) = context.with(|state| {
        let current = state.members.unreachable_zones(now);
        (std::mem::replace(&mut state.unreachable_zones, current.clone()), current)
    });
    for zone in current.difference(&previous) {
        info!(zone = zone.as_str(); "zone became unreachable");
    }
    for zone in previous.difference(&current) {
        info!(zone = zone.as_str(); "zone is reachable again");
    }
}

/// Records the software versions in service, to know from when on there was only one.
fn observe_versions(context: &Context) {
    let now = boot_now();
    context.with(|state| {
        let is_current = !state.registry_is_stale(now);
        state.stream_versions.observe(now, &state.endpoints, is_current);
    });
}

/// Updates the set of endpoints whose load is reported by heartbeats only. Running this every half
/// second is sufficient, because the set only depends on which VMs are alive.
fn update_heartbeat_only_endpoints(context: &Context) {
    let now = boot_now();
    context.with(|state| {
        let local_zone = &context.settings.zone;
        let same_zone =
            state.endpoints.iter().filter(|endpoint| endpoint.entry.zone == *local_zone);
        let heartbeat_only = same_zone
            .filter(|e| !state.members.preferred_senders(now, &e.entry.id).includes_local_vm);
        state.heartbeat_only_endpoints =
            heartbeat_only.map(|endpoint| endpoint.entry.id.clone()).collect();
    });
}

/// Discards expired state, including endpoints whose registry entry was removed and has not
/// returned.
fn expire(context: &Rc<Context>) {
    let now = boot_now();
    let removed = context.with(|state| {
        state.members.expire(now);
        state.loads.expire(now);
        state.outcomes.expire(now);
        state.suspects.requests.expire(now);
        state.stream_versions.expire(now);
        state.retries.expire(now, context.settings.retry_window_ms());
        let endpoints = &state.endpoints;
        let limits = &state.endpoint_limits;
        state.endpoint_use.retain(|id| {
            let is_cold = endpoints.get(id).is_some_and(|endpoint| endpoint.cold_until_ms > now);
            is_cold || limits.get(id).is_some()
        });
        state.links.retain(|service| endpoints.iter_in_service(service).next().is_some());
        state.endpoint_pauses.expire(now);
        state.endpoint_limits.expire(now, |id| endpoints.get(id).is_some());
        state.rejection_limits.expire(now, |id| endpoints.get(id).is_some());
        let rejection_limits = &state.rejection_limits;
        state.brittle_backoffs.retain(|id| rejection_limits.get(id).is_some());
        state.endpoints.expire(now)
    });
    for endpoint in &removed {
        info!(endpoint = endpoint.as_str(); "endpoint removed; the registry entry did not return");
    }
    if !removed.is_empty() {
        context.notify_registry_changed();
    }
}
