//! Which VMs serve requests in place of a VM that reaches no endpoint.

use super::{Membership, PeerAddress, RELAY_TTL_MS};
use gypsumchute_units::{BootMs, ServiceId, ZoneId};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;

/// Number of VMs of the local zone, and of VMs of other zones, that a request is offered to at most.
const FORWARDING_TARGETS_PER_GROUP: usize = 2;

impl Membership {
    /// Returns VMs that can serve a request for `service` in place of this one, in the order in which they are
    /// tried: those of the local zone first, and in each group in random order. An empty set of
    /// `allowed_zones` allows all zones. In a large fleet, VMs of other zones that others have named
    /// lately count as well, since this VM receives no heartbeats from them.
    pub fn forwarding_targets(
        &self,
        now: BootMs,
        service: &ServiceId,
        allowed_zones: &BTreeSet<ZoneId>,
        rng: &mut impl Rng,
    ) -> Vec<PeerAddress> {
        let usable = self.members.values().filter(|member| {
            let is_near = self.is_full_mesh() || member.peer.zone == self.me.zone;
            let is_live = self.is_alive(now, &member.peer.vm)
                || !is_near && now.since(member.last_mention_ms) < RELAY_TTL_MS;
            let is_allowed = allowed_zones.is_empty() || allowed_zones.contains(&member.peer.zone);
            is_live && is_allowed && !member.cut_off_services.contains(service)
        });
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            usable.partition(|member| member.peer.zone == self.me.zone);
        [same_zone, other_zones]
            .into_iter()
            .flat_map(|group| group.into_iter().sample(rng, FORWARDING_TARGETS_PER_GROUP))
            .map(|member| member.peer.clone())
            .collect()
    }
}
