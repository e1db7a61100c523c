//! Endpoints that fail or hang while their health looks good, found from what became of requests.
//!
//! Answers the pattern "an endpoint says that it is well and fails all that it is asked": it stays
//! the emptiest of all and would draw every request. VMs tell each other whom they suspect, so that
//! not each of them has to lose requests there. What a VM sees may also be due to its own links, so
//! that VMs of other zones go only by the errors that an endpoint made itself; and an endpoint that
//! is slow or full may only be crowded, which each VM has to see for itself: a crowd must not be
//! sent elsewhere by hearsay.

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
/// What counts of a suspicion that another VM told of.
const HEARD_PART: f64 = 0.9;
/// Suspicion from here on is told to other VMs: more than one error of a plain service.
const TOLD_FROM: f64 = 0.4;
/// Each error in a row counts twice as much as the one before, so many times: a service that fails
/// one request in seven by nature makes three in a row once in 300.
const MAX_DOUBLINGS: u32 = 2;

/// What became of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// An error that a plain service made itself. Some have many by nature.
    Error,
    /// An error that an engine made itself. They have none by nature.
    EngineError,
    /// It was full.
    Rejected,
    /// No connection, a broken or a garbled answer.
    Broken,
    /// No sign of work in time.
    Silent,
}

impl Outcome {
    /// How much more suspect an endpoint becomes by this, after `errors` in a row.
    fn weight(self, errors: u32) -> f64 {
        match self {
            Outcome::Answered => 0.0,
            Outcome::Error => 0.25 * f64::from(1u32 << errors.min(MAX_DOUBLINGS)),
            Outcome::EngineError => 1.0,
            Outcome::Rejected => 0.5,
            Outcome::Broken => 1.0,
            Outcome::Silent => 1.5,
        }
    }

    /// Who may have made the failure.
    fn cause(self) -> Cause {
        match self {
            Outcome::Error | Outcome::EngineError => Cause::Endpoint,
            Outcome::Broken => Cause::EndpointOrLink,
            Outcome::Answered | Outcome::Rejected | Outcome::Silent => Cause::Load,
        }
    }
}

/// Who may have made a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The endpoint itself.
    Endpoint,
    /// The endpoint, or the way to it.
    EndpointOrLink,
    /// Nobody: the endpoint may only be crowded.
    Load,
}

/// How suspect an endpoint is at a time: 0 for not at all, 1 for one fresh failure.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Suspicion {
    /// By all failures.
    pub level: f64,
    /// By those that are not explained by load.
    pub failures: f64,
    /// By those that the endpoint itself made.
    pub own_faults: f64,
}

impl Suspicion {
    fn scaled(self, part: f64) -> Self {
        let Suspicion { level, failures, own_faults } = self;
        Suspicion { level: level * part, failures: failures * part, own_faults: own_faults * part }
    }

    fn grown(self, weight: f64, cause: Cause) -> Self {
        let add = |level: f64, counts: bool| match counts {
            true => (level + weight).min(MAX_SUSPICION),
            false => level,
        };
        Suspicion {
            level: add(self.level, true),
            failures: add(self.failures, cause != Cause::Load),
            own_faults: add(self.own_faults, cause == Cause::Endpoint),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    suspicion: Suspicion,
    as_of_ms: BootMs,
    errors_in_a_row: u32,
}

impl Record {
    fn at(&self, now: BootMs) -> Suspicion {
        let left = (-(now.since(self.as_of_ms) as f64) / HALF_LIFE_MS).exp2();
        self.suspicion.scaled(left)
    }
}

/// How suspect each endpoint is.
#[derive(Debug, Default)]
pub struct Outcomes {
    own: BTreeMap<EndpointId, Record>,
    heard: BTreeMap<EndpointId, Record>,
}

impl Outcomes {
    /// Takes in what became of a request; returns whether other VMs should hear of it at once.
    pub fn observe(&mut self, now: BootMs, endpoint: &EndpointId, outcome: Outcome) -> bool {
        let before = self.own.get(endpoint);
        let errors = before.map_or(0, |record| record.errors_in_a_row);
        let was = before.map(|record| record.at(now)).unwrap_or_default();
        let (suspicion, errors_in_a_row) = match outcome {
            Outcome::Answered => {
                self.ease_heard(now, endpoint);
                (was.scaled(SUCCESS_LEAVES), 0)
            }
            failure => {
                let cause = failure.cause();
                let errors_now = errors + u32::from(cause == Cause::Endpoint);
                (was.grown(failure.weight(errors), cause), errors_now)
            }
        };
        match suspicion.level < FORGOTTEN {
            true => drop(self.own.remove(endpoint)),
            false => {
                let record = Record { suspicion, as_of_ms: now, errors_in_a_row };
                self.own.insert(endpoint.clone(), record);
            }
        }
        outcome.cause() != Cause::Load && suspicion.failures >= TOLD_FROM
    }

    /// Takes in whom another VM suspects, one of the own zone (`near`) or of another.
    pub fn hear(&mut self, now: BootMs, endpoint: EndpointId, told: Suspicion, near: bool) {
        let level = if near { told.failures } else { told.own_faults };
        let level = level.clamp(0.0, MAX_SUSPICION);
        let known = self.heard.get(&endpoint).map_or(0.0, |record| record.at(now).level);
        if level > known.max(FORGOTTEN) {
            let suspicion = Suspicion { level, ..Suspicion::default() };
            self.heard.insert(endpoint, Record { suspicion, as_of_ms: now, errors_in_a_row: 0 });
        }
    }

    /// A success here is worth more than what others saw before it.
    fn ease_heard(&mut self, now: BootMs, endpoint: &EndpointId) {
        if let Some(record) = self.heard.get_mut(endpoint) {
            record.suspicion.level = record.at(now).level * SUCCESS_LEAVES;
            record.as_of_ms = now;
        }
    }

    /// How suspect `endpoint` is.
    pub fn suspicion(&self, now: BootMs, endpoint: &EndpointId) -> f64 {
        let level = |records: &BTreeMap<EndpointId, Record>| {
            records.get(endpoint).map_or(0.0, |record| record.at(now).level)
        };
        level(&self.own).max(level(&self.heard) * HEARD_PART)
    }

    /// What this VM itself saw of `endpoint`, for the other VMs.
    pub fn own_at(&self, now: BootMs, endpoint: &EndpointId) -> Suspicion {
        self.own.get(endpoint).map(|record| record.at(now)).unwrap_or_default()
    }

    /// The endpoints that this VM itself suspects so much that others should hear of it.
    pub fn told(&self, now: BootMs) -> impl Iterator<Item = &EndpointId> {
        let suspects = self.own.iter().filter(move |(_, r)| r.at(now).failures >= TOLD_FROM);
        suspects.map(|(endpoint, _)| endpoint)
    }

    /// Forgets what has faded.
    pub fn expire(&mut self, now: BootMs) {
        for records in [&mut self.own, &mut self.heard] {
            records.retain(|_, record| record.at(now).level >= FORGOTTEN);
        }
    }
}
