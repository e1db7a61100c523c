//! Notices by which endpoints themselves said that they are leaving.
//!
//! An endpoint serves what it runs and must get nothing new from its notice on, whatever the
//! registry says later: entries are written late, and an older entry may return with a restored
//! registry. A notice belongs to one start of the endpoint and ends when the endpoint starts again.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Time for which the notice of an endpoint that is no longer registered is remembered, in
/// milliseconds: its entry may return.
const RETENTION_MS: u64 = 600_000;
/// Time for which a notice holds that belongs to no known start, in milliseconds. Nothing else tells
/// that such an endpoint has started again, and one that leaves is gone within this time.
const UNKNOWN_START_TTL_MS: u64 = 60_000;

/// Notice of one start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Notice {
    /// Start time of the endpoint by its own wall clock, in milliseconds, if it reports one.
    started_wall_ms: Option<u64>,
    /// When the notice was last received.
    received_ms: BootMs,
}

/// Notices by endpoint.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    by_id: BTreeMap<EndpointId, Notice>,
}

impl LeavingNotices {
    /// Records a notice of the endpoint that started at `started_wall_ms`, unless one of a later
    /// start is known.
    pub fn record(&mut self, now: BootMs, id: &EndpointId, started_wall_ms: Option<u64>) {
        let known = self.by_id.get(id).and_then(|known| known.started_wall_ms);
        if known <= started_wall_ms {
            self.by_id.insert(id.clone(), Notice { started_wall_ms, received_ms: now });
        }
    }

    /// Reports whether the endpoint that started at `started_wall_ms` has given notice. A start that
    /// is not reported can't be told from others, so any notice applies to it.
    pub fn has_notice(&self, id: &EndpointId, started_wall_ms: Option<u64>) -> bool {
        self.by_id.get(id).is_some_and(|notice| match (notice.started_wall_ms, started_wall_ms) {
            (Some(noticed_ms), Some(started_ms)) => started_ms <= noticed_ms,
            (None, _) | (_, None) => true,
        })
    }

    /// Returns the start time that the notice of an endpoint belongs to, if there is a notice and
    /// the endpoint reports its starts.
    pub fn started_wall_ms(&self, id: &EndpointId) -> Option<u64> {
        self.by_id.get(id).and_then(|notice| notice.started_wall_ms)
    }

    /// Returns the endpoints that report their starts and have given notice.
    pub fn iter_with_start(&self) -> impl Iterator<Item = &EndpointId> {
        let with_start = self.by_id.iter().filter(|(_, notice)| notice.started_wall_ms.is_some());
        with_start.map(|(id, _)| id)
    }

    /// Records that the endpoint has left the registry for certain. Notices that name no start end
    /// with the entry; the others end with the next start.
    pub fn on_removed(&mut self, id: &EndpointId) {
        if self.by_id.get(id).is_some_and(|notice| notice.started_wall_ms.is_none()) {
            self.by_id.remove(id);
        }
    }

    /// Records that the endpoint has started at `started_wall_ms`, after which notices of earlier
    /// starts are void.
    pub fn on_started(&mut self, id: &EndpointId, started_wall_ms: Option<u64>) {
        if !self.has_notice(id, started_wall_ms) {
            self.by_id.remove(id);
        }
    }

    /// Drops old notices that belong to no known start or to endpoints that are not registered, and
    /// returns the endpoints.
    pub fn expire(
        &mut self,
        now: BootMs,
        is_registered: impl Fn(&EndpointId) -> bool,
    ) -> Vec<EndpointId> {
        let has_expired = |id: &EndpointId, notice: &Notice| {
            let age_ms = now.since(notice.received_ms);
            match notice.started_wall_ms {
                None => age_ms > UNKNOWN_START_TTL_MS,
                Some(_) => !is_registered(id) && age_ms > RETENTION_MS,
            }
        };
        let expired = self.by_id.iter().filter(|(id, notice)| has_expired(id, notice));
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        self.by_id.retain(|id, _| !expired.contains(id));
        expired
    }
}
