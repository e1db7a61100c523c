//! Applies configuration and registry updates from the store, from peers or from a configuration
//! folder to the state of the daemon.

use crate::context::{Context, State};
use bytes::Bytes;
use gypsumchute_config::FleetConfig;
use gypsumchute_fleet::{StoreItem, StorePosition};
use gypsumchute_platform::items::{CONFIGURATION_KEY, DRAINED_ZONE_PREFIX, KeyKind};
use gypsumchute_platform::{configuration, registry};
use gypsumchute_routing::compile::compile_config;
use gypsumchute_routing::features::{feature_switches, features_by_service};
use gypsumchute_routing::{EndpointEntry, RoutingTable};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, SoftwareVersion};
use log::{info, warn};
use std::collections::BTreeSet;
use std::fmt::Display;
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
    /// Keys that a restored store has lost, and that nobody has written again in time.
    Restore,
}

/// Time after this VM learned of a restore of the store for which keys that the store has lost keep
/// their values, in milliseconds. Writers write again within 2 s of the store's return; the rest is
/// for the change to arrive.
const WRITE_AGAIN_MS: u64 = 2_500;

/// Maximum length of an error message in a log line, in characters.
const MAX_LOGGED_ERROR_CHARS: usize = 200;

/// Key under which VMs exchange a configuration in this project's own format.
pub const FOLDER_KEY: &str = "folder";

/// Applies incremental changes, after which all changes up to `position` are known.
pub fn apply_changes(
    context: &Rc<Context>,
    source: UpdateSource,
    position: StorePosition,
    items: Vec<StoreItem>,
) {
    let (old_position, changed) = context
        .with(|state| (state.store_copy.position(), state.store_copy.apply(position, items)));
    apply_keys(context, source, old_position, &changed);
}

/// Applies a complete snapshot of the store, whose listing started at `position`.
pub fn apply_snapshot(
    context: &Rc<Context>,
    source: UpdateSource,
    position: StorePosition,
    items: Vec<StoreItem>,
) {
    let (old_position, changed) = context.with(|state| {
        let old_position = state.store_copy.position();
        let changed = state.store_copy.apply_listing(position, items);
        let is_restored = state.store_copy.position().era > old_position.era;
        let is_first = state.write_again_deadline_ms.is_none();
        if state.store_copy.has_lost_keys() && (is_restored || is_first) {
            state.write_again_deadline_ms = Some(boot_now() + WRITE_AGAIN_MS);
        }
        (old_position, changed)
    });
    info!(source:% = source, known:% = old_position, position:% = position,
        changed = changed.len(); "store snapshot applied");
    apply_keys(context, source, old_position, &changed);
}

/// Drops the keys that the store has lost in a restore, once their writers had time to write them
/// again.
pub fn drop_lost_keys(context: &Rc<Context>) {
    let now = boot_now();
    let (position, dropped) = context.with(|state| {
        let is_due = state.write_again_deadline_ms.is_some_and(|deadline_ms| deadline_ms <= now);
        let position = state.store_copy.position();
        if !is_due {
            return (position, Vec::new());
        }
        state.write_again_deadline_ms = None;
        (position, state.store_copy.drop_lost_keys())
    });
    apply_keys(context, UpdateSource::Restore, position, &dropped);
}

/// Applies the changed keys, then wakes waiting tasks and announces the new position to peers.
fn apply_keys(
    context: &Rc<Context>,
    source: UpdateSource,
    old_position: StorePosition,
    changed: &[String],
) {
    let now = boot_now();
    let relevant = context.with(|state| {
        let applied = changed.iter().filter(|key| apply_key(context, state, now, source, key));
        applied.count()
    });
    context.settle_vanished_endpoints();
    if relevant > 0 {
        context.notify_registry_changed();
    }
    let position = context.with(|state| state.store_copy.position());
    if position.era > old_position.era || position > old_position && !changed.is_empty() {
        context.heartbeat_due.notify_one();
    }
}

/// Applies the change of one key. Returns whether the change can affect how requests are handled.
fn apply_key(
    context: &Context,
    state: &mut State,
    now: BootMs,
    source: UpdateSource,
    key: &str,
) -> bool {
    if key == FOLDER_KEY {
        return apply_folder(context, state, now, source);
    }
    match KeyKind::of_key(key) {
        KeyKind::Configuration => apply_configuration(context, state, source),
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
        KeyKind::Endpoint(id) => apply_endpoint(context, state, now, source, key, &id),
        KeyKind::Other => false,
    }
}

/// Applies the configuration from the store, unless it is invalid or not newer than the one in
/// force.
fn apply_configuration(context: &Context, state: &mut State, source: UpdateSource) -> bool {
    let Some(item) = state.store_copy.get(CONFIGURATION_KEY).cloned() else { return false };
    let value = item.value.unwrap_or_default();
    let in_force = state.table.as_ref().map(|table| table.version);
    match configuration::decode(&value) {
        Ok(table) if Some(table.version) <= in_force => false,
        Ok(table) => {
            info!(source:% = source, version:% = table.version, position:% = item.position,
                routes = table.route_count(), bytes = value.len(); "configuration in force");
            install_table(context, state, table);
            true
        }
        Err(err) => {
            context.metrics.count_ignored_items("configuration", 1);
            warn!(source:% = source, position:% = item.position, error = log_text(&err);
                "invalid configuration refused; the previous one stays in force");
            false
        }
    }
}

/// Puts `table` in force, and logs which features it switches.
fn install_table(context: &Context, state: &mut State, table: RoutingTable) {
    let settings = &context.settings.features;
    for switch in feature_switches(&state.features, &table, settings) {
        info!(version:% = table.version, service = switch.service.as_str(),
            feature:% = switch.feature, is_used = switch.is_used, reason:% = switch.reason;
            "feature switched");
    }
    state.features = features_by_service(&table, settings);
    state.table = Some(Rc::new(table));
}

/// Returns the beginning of an error message that may quote what another writer wrote.
fn log_text(err: &impl Display) -> String {
    err.to_string().chars().take(MAX_LOGGED_ERROR_CHARS).collect()
}

/// Reports whether `entry` is at an address of one of the system's own VMs, to which requests would
/// be sent round in circles. All VMs use the same ports.
fn is_at_own_vm(context: &Context, state: &State, entry: &EndpointEntry) -> bool {
    let settings = &context.settings;
    let own = [settings.callers_listen, settings.readiness_listen, settings.metrics_listen];
    let own_ports = own.map(|address| address.port());
    let is_own_port = own_ports.contains(&entry.address.port())
        || settings.peers_listen.port() == entry.address.port();
    let ip = entry.address.ip();
    let own_ip = own[0].ip();
    is_own_port && (ip == own_ip || state.members.has_member_at(ip))
}

/// Applies the registry entry of one endpoint, or the removal of the entry.
fn apply_endpoint(
    context: &Context,
    state: &mut State,
    now: BootMs,
    source: UpdateSource,
    key: &str,
    id: &EndpointId,
) -> bool {
    let position = state.store_copy.position();
    let value: Option<Bytes> = state.store_copy.get(key).and_then(|item| item.value.clone());
    let Some(value) = value else {
        // An entry that the store has lost had the time to return, and its endpoint may live on.
        let is_lost = source == UpdateSource::Restore;
        let unreliable = !is_lost && state.registry_is_unreliable(now);
        info!(source:% = source, endpoint = id.as_str(), position:% = position, unreliable;
            "endpoint removed from the registry");
        if !is_lost && !unreliable && state.endpoints.is_ready(id) {
            state.vanished_endpoints.push(id.clone());
        }
        return state.endpoints.remove(now, id, unreliable);
    };
    match registry::decode(id, &value) {
        Ok(entry) if is_at_own_vm(context, state, &entry) => {
            context.metrics.count_ignored_items("endpoint", 1);
            warn!(source:% = source, endpoint = id.as_str(), address:% = entry.address;
                "registry entry is at the address of a VM of the system");
            state.endpoints.remove(now, id, false)
        }
        Ok(entry) => {
            info!(source:% = source, endpoint = id.as_str(), service = entry.service.as_str(),
                version = version_text(&entry), zone = entry.zone.as_str(),
                leaving = entry.terminating, warmup_left_ms = entry.warmup_remaining_ms, position:% = position;
                "endpoint registered");
            if state.endpoints.is_ready(id) && state.endpoints.is_new_start(&entry) {
                state.vanished_endpoints.push(id.clone());
            }
            state.endpoints.upsert(now, entry)
        }
        Err(err) => {
            context.metrics.count_ignored_items("endpoint", 1);
            warn!(source:% = source, endpoint = id.as_str(), position:% = position,
                error = log_text(&err);
                "registry entry is not a usable endpoint");
            state.endpoints.remove(now, id, false)
        }
    }
}

/// Returns the endpoint's software version for log lines, or `-` if it reports none.
fn version_text(entry: &EndpointEntry) -> &str {
    entry.version.as_ref().map_or("-", SoftwareVersion::as_str)
}

/// Applies a configuration in this project's own format, which also contains the endpoints.
fn apply_folder(context: &Context, state: &mut State, now: BootMs, source: UpdateSource) -> bool {
    let Some(item) = state.store_copy.get(FOLDER_KEY).cloned() else { return false };
    let value = item.value.unwrap_or_default();
    let config = serde_json::from_slice(&value).map_err(|err| err.to_string()).and_then(|files| {
        FleetConfig::from_files_with_own_version(&files).map_err(|err| err.to_string())
    });
    let compiled = match config {
        Ok(config) => compile_config(&config),
        Err(error) => {
            warn!(source:% = source, position:% = item.position, error = error.as_str();
                "invalid configuration refused; the previous one stays in force");
            return false;
        }
    };
    info!(source:% = source, version:% = compiled.table.version,
        routes = compiled.table.route_count(), endpoints = compiled.endpoints.len(),
        bytes = value.len(); "configuration in force");
    install_table(context, state, compiled.table);
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
