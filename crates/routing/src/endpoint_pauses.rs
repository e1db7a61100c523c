//! Pauses that endpoints ask this VM for.
//!
//! Load pattern: an endpoint turns requests away and says for how long it wants nothing from the VM
//! that sent them. A pause is between the endpoint and one VM: others are not told, since the
//! endpoint may have room for them. It ends when its time is over or the endpoint starts again.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Pause of one start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pause {
    until_ms: BootMs,
    /// Start time of the endpoint by its own wall clock, in milliseconds, if it reports one.
    started_wall_ms: Option<u64>,
}

/// Pauses by endpoint.
#[derive(Debug, Default)]
pub struct EndpointPauses {
    by_id: BTreeMap<EndpointId, Pause>,
}

impl EndpointPauses {
    /// Records that the endpoint that started at `started_wall_ms` asks for a pause until
    /// `until_ms`. Of several pauses the longest counts.
    pub fn record(&mut self, id: &EndpointId, started_wall_ms: Option<u64>, until_ms: BootMs) {
        let known = self.by_id.get(id).filter(|known| known.started_wall_ms == started_wall_ms);
        let until_ms = known.map_or(until_ms, |known| known.until_ms.max(until_ms));
        self.by_id.insert(id.clone(), Pause { until_ms, started_wall_ms });
    }

    /// Returns the time until the endpoint that started at `started_wall_ms` may be used again, in
    /// milliseconds, or `None` if it has not asked for a pause.
    pub fn wait_ms(
        &self,
        now: BootMs,
        id: &EndpointId,
        started_wall_ms: Option<u64>,
    ) -> Option<u64> {
        let pause = self.by_id.get(id)?;
        let is_current = pause.started_wall_ms == started_wall_ms && pause.until_ms > now;
        is_current.then(|| now.until(pause.until_ms))
    }

    /// Drops pauses that are over.
    pub fn expire(&mut self, now: BootMs) {
        self.by_id.retain(|_, pause| pause.until_ms > now);
    }
}
