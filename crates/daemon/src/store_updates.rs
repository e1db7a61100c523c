//! Applies configuration and registry updates from the store, from peers or from a configuration
//! folder to the state of the daemon.

use crate::context::{Context, State};
use bytes::Bytes;
use gypsumchute_config::FleetConfig;
use gypsumchute_fleet::StoreItem;
use gypsumchute_platform::items::{CONFIGURATION_KEY, DRAINED_ZONE_PREFIX, KeyKind};
use gypsumchute_platform::{configuration, registry};
use gypsumchute_routing::compile::compile_config;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId};
use log::{info, warn};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Where an update was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpdateSource {
    /// The platform's store.
    Store,
    /// A peer VM.
    Peer,
    /// A configuration folder on this VM.
    Folder,
}

/// Key under which VMs exchange a configuration in this project's own format.
pub const FOLDER_KEY: &str = "folder";

/// Applies incremental changes, after which all changes up to `revision` are known.
pub fn apply_changes(
    context: &Rc<Context>,
    source: UpdateSource,
    revision: u64,
    items: Vec<StoreItem>,
) {
    let (old_revision, changed) = context
        .with(|state| (state.store_copy.revision(), state.store_copy.apply(revision, items)));
    apply_keys(context, source, old_revision, &changed);
}

/// Applies a complete snapshot of the store, whose listing started at `revision`.
pub fn apply_snapshot(
    context: &Rc<Context>,
    source: UpdateSource,
    revision: u64,
    items: Vec<StoreItem>,
) {
    let (old_revision, changed) = context.with(|state| {
        (state.store_copy.revision(), state.store_copy.apply_listing(revision, items))
    });
    info!(source:% = source, revision, changed = changed.len(); "store snapshot applied");
    apply_keys(context, source, old_revision, &changed);
}

/// Applies the changed keys, then wakes waiting tasks and announces the new revision to peers.
fn apply_keys(context: &Rc<Context>, source: UpdateSource, old_revision: u64, changed: &[String]) {
    let now = boot_now();
    let relevant = context
        .with(|state| changed.iter().filter(|key| apply_key(state, now, source, key)).count());
    context.settle_vanished_endpoints();
    if relevant > 0 {
        context.notify_registry_changed();
    }
    if context.with(|state| state.store_copy.revision()) > old_revision && !changed.is_empty() {
        context.heartbeat_due.notify_one();
    }
}

/// Applies the change of one key. Returns whether the change can affect how requests are handled.
fn apply_key(state: &mut State, now: BootMs, source: UpdateSource, key: &str) -> bool {
    if key == FOLDER_KEY {
        return apply_folder(state, now, source);
    }
    match KeyKind::of_key(key) {
        KeyKind::Configuration => apply_configuration(state, source),
        KeyKind::DrainedZone(zone) => {
            let drained_zone_items = state.store_copy.with_prefix(DRAINED_ZONE_PREFIX);
            let zones = drained_zone_items.filter_map(|item| match KeyKind::of_key(&item.key) {
                KeyKind::DrainedZone(zone) => Some(zone),
                _ => None,
            });
            let zones = zones.collect();
            let changed = state.endpoints.set_drained_zones(zones);
            let is_drained = state.endpoints.is_zone_drained(&zone);
            info!(source:% = source, zone = zone.as_str(), is_out = is_drained;
                "zone taken out of service or put back");
            changed
        }
        KeyKind::Endpoint(id) => apply_endpoint(state, now, source, key, &id),
        KeyKind::Other => false,
    }
}

/// Applies the configuration from the store, unless it is invalid or not newer than the one in
/// force.
fn apply_configuration(state: &mut State, source: UpdateSource) -> bool {
    let Some(item) = state.store_copy.get(CONFIGURATION_KEY).cloned() else { return false };
    let value = item.value.unwrap_or_default();
    let in_force = state.table.as_ref().map(|table| table.version);
    match configuration::decode(&value) {
        Ok(table) if Some(table.version) <= in_force => false,
        Ok(table) => {
            info!(source:% = source, version:% = table.version, revision = item.revision,
                routes = table.route_count(), bytes = value.len(); "configuration in force");
            state.table = Some(Rc::new(table));
            true
        }
        Err(err) => {
            warn!(source:% = source, revision = item.revision, error:% = err;
                "invalid configuration refused; the previous one stays in force");
            false
        }
    }
}

/// Applies the registry entry of one endpoint, or the removal of the entry.
fn apply_endpoint(
    state: &mut State,
    now: BootMs,
    source: UpdateSource,
    key: &str,
    id: &EndpointId,
) -> bool {
    let revision = state.store_copy.revision();
    let value: Option<Bytes> = state.store_copy.get(key).and_then(|item| item.value.clone());
    let Some(value) = value else {
        let unreliable = state.registry_is_unreliable(now);
        info!(source:% = source, endpoint = id.as_str(), revision, unreliable;
            "endpoint removed from the registry");
        if !unreliable && state.endpoints.is_ready(id) {
            state.vanished_endpoints.push(id.clone());
        }
        return state.endpoints.remove(now, id, unreliable);
    };
    match registry::decode(id, &value) {
        Ok(entry) => {
            info!(source:% = source, endpoint = id.as_str(), service = entry.service.as_str(),
                zone = entry.zone.as_str(), leaving = entry.terminating,
                warmup_left_ms = entry.warmup_remaining_ms, revision; "endpoint registered");
            if state.endpoints.is_ready(id) && state.endpoints.is_new_start(&entry) {
                state.vanished_endpoints.push(id.clone());
            }
            state.endpoints.upsert(now, entry)
        }
        Err(err) => {
            warn!(source:% = source, endpoint = id.as_str(), revision, error:% = err;
                "registry entry is not a usable endpoint");
            state.endpoints.remove(now, id, false)
        }
    }
}

/// Applies a configuration in this project's own format, which also contains the endpoints.
fn apply_folder(state: &mut State, now: BootMs, source: UpdateSource) -> bool {
    let Some(item) = state.store_copy.get(FOLDER_KEY).cloned() else { return false };
    let value = item.value.unwrap_or_default();
    let config = serde_json::from_slice(&value).map_err(|err| err.to_string()).and_then(|files| {
        FleetConfig::from_files_with_own_version(&files).map_err(|err| err.to_string())
    });
    let compiled = match config {
        Ok(config) => compile_config(&config),
        Err(error) => {
            warn!(source:% = source, revision = item.revision, error = error.as_str();
                "invalid configuration refused; the previous one stays in force");
            return false;
        }
    };
    info!(source:% = source, version:% = compiled.table.version,
        routes = compiled.table.route_count(), endpoints = compiled.endpoints.len(),
        bytes = value.len(); "configuration in force");
    state.table = Some(Rc::new(compiled.table));
    state.endpoints.set_drained_zones(compiled.drained_zones);
    let configured: BTreeSet<_> = compiled.endpoints.iter().map(|entry| entry.id.clone()).collect();
    let current: Vec<_> =
        state.endpoints.iter().map(|endpoint| endpoint.entry.id.clone()).collect();
    for id in current.iter().filter(|id| !configured.contains(*id)) {
        state.endpoints.remove(now, id, false);
    }
    for entry in compiled.endpoints {
        state.endpoints.upsert(now, entry);
    }
    true
}
