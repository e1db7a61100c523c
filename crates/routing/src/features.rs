//! Which features for overloaded engines are used for a service.
//!
//! The features cost callers little but change where and when generations run, so they are used only
//! where the routes of a service call for them. See `docs/HARD-LOAD.md`.

use crate::table::{RouteKind, RoutingTable};
use gypsumchute_config::{FeatureMode, FeatureSettings};
use gypsumchute_units::ServiceId;
use std::collections::BTreeMap;
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Ratio of the longest latency target of a service's generation routes to the shortest from which
/// the routes count as delay-tolerant. With less, a generation that gives way is late itself.
pub const DELAY_TOLERANT_RATIO: u64 = 2;
/// Minimum number of generation routes for the rule on routes that are not resumable. A single route
/// has no other one to compete with.
const MIN_COMPETING_ROUTES: usize = 2;

/// A feature for overloaded engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Feature {
    /// Waiting requests are ordered by their latest start, and delay-tolerant generations leave
    /// headroom at the engines.
    PatientQueueing,
}

impl Feature {
    /// Returns the mode that `settings` give the feature.
    fn mode(self, settings: &FeatureSettings) -> FeatureMode {
        match self {
            Feature::PatientQueueing => settings.patient_queueing,
        }
    }
}

/// Why a feature is used or not used for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FeatureReason {
    /// The settings turn the feature off, or on, for all services.
    Setting,
    /// The service has no engines.
    NoEngines,
    /// Some generation routes have much longer latency targets than others.
    DelayTolerantRoutes,
    /// Several generation routes compete, and none of them is resumable.
    NoResumableRoute,
    /// No rule applies to the routes of the service.
    NoRule,
}

/// The features that are used for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceFeatures {
    /// Waiting requests are ordered by their latest start, and delay-tolerant generations leave
    /// headroom at the engines.
    pub patient_queueing: bool,
    /// Shortest latency target of the service's generation routes, in milliseconds; zero if it has
    /// none.
    pub shortest_target_ms: u64,
}

impl ServiceFeatures {
    /// Reports whether `feature` is used.
    pub fn uses(&self, feature: Feature) -> bool {
        match feature {
            Feature::PatientQueueing => self.patient_queueing,
        }
    }

    /// Reports whether a generation with this latency target can give way to those with the shortest
    /// one.
    pub fn is_delay_tolerant(&self, latency_target_ms: u64) -> bool {
        latency_target_ms >= self.shortest_target_ms.saturating_mul(DELAY_TOLERANT_RATIO)
    }
}

/// Generation routes of a service, as far as the rules depend on them.
#[derive(Debug, Clone, Copy, Default)]
struct GenerationRoutes {
    count: usize,
    resumable: usize,
    shortest_target_ms: u64,
    longest_target_ms: u64,
}

impl GenerationRoutes {
    /// Returns the generation routes that send requests to `service`.
    fn of(table: &RoutingTable, service: &ServiceId) -> Self {
        let mut found = GenerationRoutes::default();
        for route in table.routes() {
            let RouteKind::Generation { resumable } = route.kind else { continue };
            let is_used = route.services.iter().any(|s| s.service == *service && s.weight > 0);
            if !is_used {
                continue;
            }
            let target_ms = route.latency_target_ms;
            found.shortest_target_ms = match found.count {
                0 => target_ms,
                _ => found.shortest_target_ms.min(target_ms),
            };
            found.longest_target_ms = found.longest_target_ms.max(target_ms);
            found.count += 1;
            found.resumable += usize::from(resumable);
        }
        found
    }

    /// Applies the rules of [`FeatureMode::Auto`].
    fn reason(&self) -> FeatureReason {
        let tolerant_from_ms = self.shortest_target_ms.saturating_mul(DELAY_TOLERANT_RATIO);
        match self {
            _ if self.shortest_target_ms > 0 && self.longest_target_ms >= tolerant_from_ms => {
                FeatureReason::DelayTolerantRoutes
            }
            _ if self.count >= MIN_COMPETING_ROUTES && self.resumable == 0 => {
                FeatureReason::NoResumableRoute
            }
            _ => FeatureReason::NoRule,
        }
    }
}

/// Decides whether `feature` is used for `service`, and why.
pub fn decide_feature(
    table: &RoutingTable,
    settings: &FeatureSettings,
    service: &ServiceId,
    feature: Feature,
) -> (bool, FeatureReason) {
    let has_engines = table.services.get(service).is_some_and(|service| service.engine.is_some());
    match feature.mode(settings) {
        _ if !has_engines => (false, FeatureReason::NoEngines),
        FeatureMode::Off => (false, FeatureReason::Setting),
        FeatureMode::On => (true, FeatureReason::Setting),
        FeatureMode::Auto => match GenerationRoutes::of(table, service).reason() {
            reason @ (FeatureReason::DelayTolerantRoutes | FeatureReason::NoResumableRoute) => {
                (true, reason)
            }
            reason => (false, reason),
        },
    }
}

/// Returns the features of each service of `table`.
pub fn features_by_service(
    table: &RoutingTable,
    settings: &FeatureSettings,
) -> BTreeMap<ServiceId, ServiceFeatures> {
    let features_of = |service: &ServiceId| {
        let uses = |feature| decide_feature(table, settings, service, feature).0;
        ServiceFeatures {
            patient_queueing: uses(Feature::PatientQueueing),
            shortest_target_ms: GenerationRoutes::of(table, service).shortest_target_ms,
        }
    };
    table.services.keys().map(|service| (service.clone(), features_of(service))).collect()
}

/// A feature that a new configuration has switched for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeatureSwitch {
    /// Service that is concerned.
    pub service: ServiceId,
    /// Feature that was switched.
    pub feature: Feature,
    /// Whether it is used now.
    pub is_used: bool,
    /// Why.
    pub reason: FeatureReason,
}

/// Returns what changes between the features `before` and those of `table`. A service that was not
/// known used no feature.
pub fn feature_switches(
    before: &BTreeMap<ServiceId, ServiceFeatures>,
    table: &RoutingTable,
    settings: &FeatureSettings,
) -> Vec<FeatureSwitch> {
    let mut switches = Vec::new();
    for service in table.services.keys() {
        let known = before.get(service).copied().unwrap_or_default();
        for feature in Feature::iter() {
            let (is_used, reason) = decide_feature(table, settings, service, feature);
            if is_used != known.uses(feature) {
                switches.push(FeatureSwitch { service: service.clone(), feature, is_used, reason });
            }
        }
    }
    switches
}
