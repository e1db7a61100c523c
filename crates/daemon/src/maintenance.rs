//! What has to be looked at from time to time: who fell silent, and what may be forgotten.

use crate::context::Context;
use gypsumchute_routing::load::PEER_LOAD_TTL_MS;
use gypsumchute_units::time::boot_now;
use log::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often zones are looked at, in ms.
const ZONE_CHECK_INTERVAL_MS: u64 = 50;
/// How often silent VMs and old loads are forgotten, in ms.
const EXPIRE_INTERVAL_MS: u64 = 500;
/// How often other zones are told again of requests at their endpoints, in ms: twice before they
/// forget.
const REMOTE_NOTE_INTERVAL_MS: u64 = PEER_LOAD_TTL_MS * 2 / 5;

/// Looks for as long as the process lives.
pub async fn run(context: Rc<Context>) {
    let (mut next_expire_ms, mut next_note_ms) = (boot_now(), boot_now());
    loop {
        sleep(Duration::from_millis(ZONE_CHECK_INTERVAL_MS)).await;
        update_unreachable_zones(&context);
        if next_expire_ms <= boot_now() {
            next_expire_ms = boot_now() + EXPIRE_INTERVAL_MS;
            update_heartbeat_only_endpoints(&context);
            expire(&context);
        }
        if next_note_ms <= boot_now() {
            next_note_ms = boot_now() + REMOTE_NOTE_INTERVAL_MS;
            if !context.with(|state| state.members.is_full_mesh()) {
                context.queue_remote_zone_notes();
            }
        }
    }
}

/// Notes which zones fell silent or are heard again.
fn update_unreachable_zones(context: &Context) {
    let now = boot_now();
    let (before, silent) = context.with(|state| {
        let silent = state.members.silent_zones(now);
        (std::mem::replace(&mut state.unreachable_zones, silent.clone()), silent)
    });
    for zone in silent.difference(&before) {
        info!(zone = zone.as_str(); "zone fell silent");
    }
    for zone in before.difference(&silent) {
        info!(zone = zone.as_str(); "zone is heard again");
    }
}

/// Notes whose load is heard late. Once each half second is enough: it follows from who is there.
fn update_heartbeat_only_endpoints(context: &Context) {
    let now = boot_now();
    context.with(|state| {
        let home = &context.settings.zone;
        let near = state.endpoints.iter().filter(|endpoint| endpoint.entry.zone == *home);
        let heartbeat_only = near.filter(|e| !state.members.sharers(now, &e.entry.id).includes_me);
        state.heartbeat_only_endpoints =
            heartbeat_only.map(|endpoint| endpoint.entry.id.clone()).collect();
    });
}

fn expire(context: &Rc<Context>) {
    let now = boot_now();
    let gone = context.with(|state| {
        state.members.expire(now);
        state.loads.expire(now);
        state.outcomes.expire(now);
        state.poison.on_tick(now);
        state.retries.expire(now, context.settings.retry_window_ms());
        let endpoints = &state.endpoints;
        state.warmups.retain(|id| endpoints.get(id).is_some_and(|e| e.cold_until_ms > now));
        state.endpoints.expire(now)
    });
    for endpoint in &gone {
        info!(endpoint = endpoint.as_str(); "endpoint in doubt is taken for gone");
    }
    if !gone.is_empty() {
        context.notify_registry_changed();
    }
}
