//! Fraction of every customer's limits that belongs to this availability zone.
//!
//! A decrease takes effect at once. An increase, caused by a removed zone or by changed weights,
//! takes effect only once every zone has the new configuration version in force: until then,
//! another zone may still use the limits that this zone gains.

use crate::bucket::RateShare;
use crate::context::Context;
use gypsumchute_config::FleetConfig;
use gypsumchute_units::{BootMs, NanoTokens, RequestRate, ZoneId};
use std::collections::BTreeMap;

/// Maximum time, from the start of a process without an earlier fraction, to wait for the other
/// zones to report their versions, in milliseconds.
const OTHER_ZONES_WAIT_MS: u64 = 7_000;

/// A zone's interval in the sum of all zones' weights. Each zone takes the difference between the
/// rounded values at the interval's ends, so that the zones' values add up to the whole exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Fraction {
    /// Sum of the weights of the zones before this one, in the order of zone ids.
    before: u64,
    /// Weight of this zone.
    weight: u64,
    /// Sum of all zones' weights.
    total: u64,
}

impl Fraction {
    fn of_zone(config: &FleetConfig, zone: &ZoneId) -> Self {
        let weight = config.zones.get(zone).map_or(0, |zone| u64::from(zone.share_weight));
        let before = config.zones.range(..zone.clone()).map(|(_, z)| u64::from(z.share_weight));
        Fraction { before: before.sum(), weight, total: config.total_share_weight() }
    }

    fn is_larger_than(self, other: Fraction) -> bool {
        let left = u128::from(self.weight) * u128::from(other.total.max(1));
        let right = u128::from(other.weight) * u128::from(self.total.max(1));
        left > right
    }

    /// Returns this fraction of `value`.
    fn apply(self, value: u64) -> u64 {
        let boundary = |at: u64| match self.total {
            0 => 0,
            total => (u128::from(value) * u128::from(at) / u128::from(total)) as u64,
        };
        boundary(self.before + self.weight) - boundary(self.before)
    }
}

/// The zone's fraction in force, and an increase that has not taken effect yet.
#[derive(Debug, Default)]
pub(super) struct ZoneFraction {
    in_force: Fraction,
    pending_growth: Option<PendingGrowth>,
    zone_versions: BTreeMap<ZoneId, u64>,
}

/// An increase of the fraction that waits for the other zones.
#[derive(Debug)]
struct PendingGrowth {
    fraction: Fraction,
    /// Configuration version that every zone must have in force first.
    version: u64,
    /// Time at which the increase takes effect even if a zone has not reported the version.
    deadline_ms: BootMs,
}

impl ZoneFraction {
    /// Records the lowest configuration version in force at the VMs of `zone`.
    pub(super) fn on_zone_version(&mut self, zone: ZoneId, version: u64) {
        let known = self.zone_versions.entry(zone).or_default();
        *known = version.max(*known);
    }

    /// Applies a new configuration. With `fresh_fleet`, no other process can have used an earlier
    /// fraction, so the first one takes effect at once.
    pub(super) fn on_config(&mut self, context: &Context<'_>, fresh_fleet: bool) {
        let fraction = Fraction::of_zone(context.config, &context.identity.zone);
        let first = self.in_force == Fraction::default() && self.pending_growth.is_none();
        if fresh_fleet && first || !fraction.is_larger_than(self.in_force) {
            self.in_force = fraction;
            self.pending_growth = None;
            return;
        }
        let deadline_ms = match (&self.pending_growth, first) {
            (Some(growth), _) => growth.deadline_ms,
            (None, true) => context.membership.started_ms() + OTHER_ZONES_WAIT_MS,
            (None, false) => BootMs(u64::MAX),
        };
        self.pending_growth =
            Some(PendingGrowth { fraction, version: context.config.version, deadline_ms });
    }

    /// Puts a pending increase in force once every zone has its configuration version in force, or
    /// at its deadline. Reports whether the fraction changed.
    pub(super) fn on_tick(&mut self, context: &Context<'_>) -> bool {
        let Some(growth) = &self.pending_growth else { return false };
        let has_version = |zone: &ZoneId| match *zone == context.identity.zone {
            true => {
                let version = context.config.version;
                context.membership.lowest_config_version(context.now, version) >= growth.version
            }
            false => self.zone_versions.get(zone).is_some_and(|v| *v >= growth.version),
        };
        let all_have_version = context.vm_list.vms.values().all(|record| has_version(&record.zone));
        if !all_have_version && context.now < growth.deadline_ms {
            return false;
        }
        self.in_force = growth.fraction;
        self.pending_growth = None;
        true
    }

    /// Reports whether no increase is pending.
    pub(super) fn is_settled(&self) -> bool {
        self.pending_growth.is_none()
    }

    /// Returns this zone's share of a customer's rate and burst.
    pub(super) fn share_of(&self, rate: RequestRate, burst: NanoTokens) -> RateShare {
        RateShare {
            capacity: NanoTokens(self.in_force.apply(burst.0)),
            rate: RequestRate::from_micro_per_s(self.in_force.apply(rate.micro_per_s())),
        }
    }
}
