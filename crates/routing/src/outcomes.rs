//! Endpoints that fail or hang while their health looks good, found from what became of requests.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// After this long without a new failure half of a suspicion is forgotten.
const HALF_LIFE_MS: f64 = 2_500.0;
/// Suspicion below this is dropped.
const FORGOTTEN: f64 = 0.05;
/// Suspicion never grows beyond this, so that an endpoint that recovered is back within seconds.
const MAX_SUSPICION: f64 = 4.0;
/// What a success leaves of a suspicion.
const SUCCESS_LEAVES: f64 = 0.6;

/// What became of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// An error that the endpoint made itself. Some services have many by nature.
    Error,
    /// It was full.
    Rejected,
    /// No connection, a broken or a garbled answer.
    Broken,
    /// No sign of work in time.
    Silent,
}

impl Outcome {
    /// How much more suspect an endpoint becomes by this.
    fn weight(self) -> f64 {
        match self {
            Outcome::Answered => 0.0,
            Outcome::Error => 0.25,
            Outcome::Rejected => 0.5,
            Outcome::Broken => 1.0,
            Outcome::Silent => 1.5,
        }
    }
}

#[derive(Debug)]
struct Suspicion {
    level: f64,
    as_of_ms: BootMs,
}

impl Suspicion {
    fn at(&self, now: BootMs) -> f64 {
        self.level * (-(now.since(self.as_of_ms) as f64) / HALF_LIFE_MS).exp2()
    }
}

/// How suspect each endpoint is.
#[derive(Debug, Default)]
pub struct Outcomes {
    by_endpoint: BTreeMap<EndpointId, Suspicion>,
}

impl Outcomes {
    /// Takes in what became of a request.
    pub fn observe(&mut self, now: BootMs, endpoint: &EndpointId, outcome: Outcome) {
        let before = self.suspicion(now, endpoint);
        let level = match outcome {
            Outcome::Answered => before * SUCCESS_LEAVES,
            failure => (before + failure.weight()).min(MAX_SUSPICION),
        };
        match level < FORGOTTEN {
            true => drop(self.by_endpoint.remove(endpoint)),
            false => {
                let suspicion = Suspicion { level, as_of_ms: now };
                self.by_endpoint.insert(endpoint.clone(), suspicion);
            }
        }
    }

    /// How suspect `endpoint` is: 0 for not at all, 1 for one fresh failure.
    pub fn suspicion(&self, now: BootMs, endpoint: &EndpointId) -> f64 {
        self.by_endpoint.get(endpoint).map_or(0.0, |suspicion| suspicion.at(now))
    }
}
