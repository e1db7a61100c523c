//! Which fraction of every customer's limits belongs to this availability zone.
//!
//! A fraction that shrinks does so at once. One that grows, because another zone was removed or
//! weights changed, waits until every zone has the new version in force: until then another zone
//! may still use what this one is to gain.

use crate::bucket::Piece;
use crate::context::Context;
use gypsumchute_config::FleetConfig;
use gypsumchute_units::{BootMs, NanoTokens, RequestRate, ZoneId};
use std::collections::BTreeMap;

/// How long a process that never knew another fraction waits to hear of the other zones.
const UNHEARD_WAIT_MS: u64 = 7_000;

/// A part of a whole, as weights: where it begins, how large it is, and all together. Parts are
/// cut at rounded positions, so that those of all zones add up to the whole exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Fraction {
    before: u64,
    weight: u64,
    total: u64,
}

impl Fraction {
    fn of_zone(config: &FleetConfig, zone: &ZoneId) -> Self {
        let weight = config.zones.get(zone).map_or(0, |zone| u64::from(zone.share_weight));
        let before = config.zones.range(..zone.clone()).map(|(_, z)| u64::from(z.share_weight));
        Fraction { before: before.sum(), weight, total: config.total_share_weight() }
    }

    fn is_above(self, other: Fraction) -> bool {
        let left = u128::from(self.weight) * u128::from(other.total.max(1));
        let right = u128::from(other.weight) * u128::from(self.total.max(1));
        left > right
    }

    fn apply(self, value: u64) -> u64 {
        let cut = |at: u64| match self.total {
            0 => 0,
            total => (u128::from(value) * u128::from(at) / u128::from(total)) as u64,
        };
        cut(self.before + self.weight) - cut(self.before)
    }
}

/// The zone's fraction, in force and to come.
#[derive(Debug, Default)]
pub(super) struct ZoneFraction {
    in_force: Fraction,
    growth: Option<Growth>,
    heard_versions: BTreeMap<ZoneId, u64>,
}

#[derive(Debug)]
struct Growth {
    to: Fraction,
    version: u64,
    at_latest_ms: BootMs,
}

impl ZoneFraction {
    /// Notes which version `zone` has in force everywhere.
    pub(super) fn on_zone_version(&mut self, zone: ZoneId, version: u64) {
        let known = self.heard_versions.entry(zone).or_default();
        *known = version.max(*known);
    }

    /// Takes in a new configuration; `fresh_fleet` says that no other process can know another.
    pub(super) fn on_config(&mut self, context: &Context<'_>, fresh_fleet: bool) {
        let to = Fraction::of_zone(context.config, &context.me.zone);
        let first = self.in_force == Fraction::default() && self.growth.is_none();
        if fresh_fleet && first || !to.is_above(self.in_force) {
            self.in_force = to;
            self.growth = None;
            return;
        }
        let at_latest_ms = match (&self.growth, first) {
            (Some(growth), _) => growth.at_latest_ms,
            (None, true) => context.members.started_ms() + UNHEARD_WAIT_MS,
            (None, false) => BootMs(u64::MAX),
        };
        self.growth = Some(Growth { to, version: context.config.version, at_latest_ms });
    }

    /// Lets growth take effect once every zone knows of it; returns whether something changed.
    pub(super) fn on_tick(&mut self, context: &Context<'_>) -> bool {
        let Some(growth) = &self.growth else { return false };
        let knows = |zone: &ZoneId| match *zone == context.me.zone {
            true => {
                let version = context.config.version;
                context.members.zone_version(context.now, version) >= growth.version
            }
            false => self.heard_versions.get(zone).is_some_and(|v| *v >= growth.version),
        };
        let all_know = context.list.vms.values().all(|record| knows(&record.zone));
        if !all_know && context.now < growth.at_latest_ms {
            return false;
        }
        self.in_force = growth.to;
        self.growth = None;
        true
    }

    /// Whether no growth is waiting.
    pub(super) fn is_settled(&self) -> bool {
        self.growth.is_none()
    }

    /// This zone's part of a customer's rate and burst.
    pub(super) fn piece(&self, rate: RequestRate, burst: NanoTokens) -> Piece {
        Piece {
            capacity: NanoTokens(self.in_force.apply(burst.0)),
            rate: RequestRate::from_micro_per_s(self.in_force.apply(rate.micro_per_s())),
        }
    }
}
