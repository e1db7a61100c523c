//! Passive health checks: detects endpoints that fail or hang although their health check passes,
//! from the outcomes of requests.
//!
//! An endpoint that passes health checks but fails every request stays the least loaded and would
//! attract all traffic. VMs share their suspicions, so that not every VM has to lose requests at
//! the same endpoint. Two limits apply to shared suspicions:
//!
//! - A failure that one VM observes may be caused by that VM's own network links. VMs of other
//!   zones therefore count only errors that the endpoint returned itself.
//! - A slow or full endpoint may merely be overloaded. Each VM has to observe this itself, so that
//!   reports from peers do not divert the whole load to other endpoints.

use gypsumchute_units::{BootMs, EndpointId};
use std::collections::BTreeMap;

/// Time without new failures in which suspicion falls to half, in milliseconds.
const SUSPICION_HALF_LIFE_MS: f64 = 2_500.0;
/// Minimum suspicion that is kept. A record whose suspicion falls below this value is removed.
const MIN_SUSPICION: f64 = 0.05;
/// Maximum suspicion. The limit lets an endpoint that has recovered return within seconds.
const MAX_SUSPICION: f64 = 4.0;
/// Factor that a successful request multiplies the suspicion by.
const SUCCESS_FACTOR: f64 = 0.6;
/// Factor applied to the suspicion that peer VMs reported.
const PEER_REPORT_FACTOR: f64 = 0.9;
/// Minimum suspicion that is reported to other VMs. It exceeds the weight of a single error of a
/// plain service.
const MIN_REPORTED_SUSPICION: f64 = 0.4;
/// Maximum number of times that the weight of an error doubles. Each consecutive error counts twice
/// as much as the one before. A service that normally fails one request in seven returns three
/// errors in a row once in 300 requests.
const MAX_ERROR_DOUBLINGS: u32 = 2;

/// Outcome of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response.
    Success,
    /// An error returned by a plain service. Some services normally return many errors.
    ServiceError,
    /// An error returned by an engine. Engines normally return no errors.
    EngineError,
    /// The endpoint was full.
    Rejected,
    /// No connection was established. The endpoint or this VM's own links may be at fault.
    ConnectFailed,
    /// The connection failed, or the response was cut off or malformed.
    TransportError,
    /// The endpoint showed no progress before the timeout.
    Timeout,
}

impl RequestOutcome {
    /// Returns the suspicion that this outcome adds after `errors` consecutive errors.
    fn weight(self, errors: u32) -> f64 {
        match self {
            RequestOutcome::Success => 0.0,
            RequestOutcome::ServiceError => {
                0.25 * f64::from(1u32 << errors.min(MAX_ERROR_DOUBLINGS))
            }
            RequestOutcome::EngineError => 1.0,
            RequestOutcome::Rejected => 0.5,
            RequestOutcome::ConnectFailed | RequestOutcome::TransportError => 1.0,
            RequestOutcome::Timeout => 1.5,
        }
    }

    /// Returns the possible cause of the failure. A success maps to `Load`, because it is never
    /// reported to other VMs.
    fn cause(self) -> FailureCause {
        match self {
            RequestOutcome::ServiceError | RequestOutcome::EngineError => FailureCause::Endpoint,
            RequestOutcome::TransportError => FailureCause::EndpointOrLink,
            RequestOutcome::ConnectFailed => FailureCause::Unconfirmed,
            RequestOutcome::Success | RequestOutcome::Rejected | RequestOutcome::Timeout => {
                FailureCause::Load
            }
        }
    }
}

/// Possible cause of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureCause {
    /// The endpoint itself.
    Endpoint,
    /// The endpoint or the network path to it.
    EndpointOrLink,
    /// Not a fault: the endpoint may only be overloaded.
    Load,
    /// The endpoint, or this VM's own links, until [`OutlierDetector::confirm_unreachable`].
    Unconfirmed,
}

impl FailureCause {
    /// Reports whether the failure is told to other VMs.
    fn is_reported(self) -> bool {
        match self {
            FailureCause::Endpoint | FailureCause::EndpointOrLink => true,
            FailureCause::Load | FailureCause::Unconfirmed => false,
        }
    }
}

/// Level of suspicion of an endpoint at a point in time. 0 means none; 1 corresponds to one recent
/// failure.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Suspicion {
    /// Suspicion from all failures.
    pub total: f64,
    /// Suspicion from failures that load does not explain.
    pub unexplained_failures: f64,
    /// Suspicion from errors that the endpoint returned itself.
    pub endpoint_errors: f64,
}

impl Suspicion {
    /// Returns the suspicion with all levels multiplied by `factor`.
    fn scaled(self, factor: f64) -> Self {
        let Suspicion { total, unexplained_failures, endpoint_errors } = self;
        Suspicion {
            total: total * factor,
            unexplained_failures: unexplained_failures * factor,
            endpoint_errors: endpoint_errors * factor,
        }
    }

    /// Returns the suspicion after a failure of the given weight and cause.
    fn increased(self, weight: f64, cause: FailureCause) -> Self {
        let add_if = |level: f64, counts: bool| match counts {
            true => (level + weight).min(MAX_SUSPICION),
            false => level,
        };
        Suspicion {
            total: add_if(self.total, true),
            unexplained_failures: add_if(self.unexplained_failures, cause.is_reported()),
            endpoint_errors: add_if(self.endpoint_errors, cause == FailureCause::Endpoint),
        }
    }
}

/// Suspicion of an endpoint as of its last update.
#[derive(Debug, Clone, Copy)]
struct SuspicionRecord {
    suspicion: Suspicion,
    updated_ms: BootMs,
    consecutive_errors: u32,
}

impl SuspicionRecord {
    /// Returns the suspicion at `now`, after exponential decay since the last update.
    fn decayed(&self, now: BootMs) -> Suspicion {
        let remaining = (-(now.since(self.updated_ms) as f64) / SUSPICION_HALF_LIFE_MS).exp2();
        self.suspicion.scaled(remaining)
    }
}

/// Failure history of each endpoint, observed by this VM and reported by peers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    /// Suspicion from the outcomes of this VM's own requests.
    local: BTreeMap<EndpointId, SuspicionRecord>,
    /// Highest suspicion that peers reported. Only [`Suspicion::total`] is set.
    peer_reported: BTreeMap<EndpointId, SuspicionRecord>,
}

impl OutlierDetector {
    /// Records the outcome of a request. Returns whether the suspicion should be reported to other
    /// VMs immediately.
    pub fn record_outcome(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        outcome: RequestOutcome,
    ) -> bool {
        let previous = self.local.get(endpoint);
        let errors = previous.map_or(0, |record| record.consecutive_errors);
        let previous_suspicion = previous.map(|record| record.decayed(now)).unwrap_or_default();
        let (suspicion, consecutive_errors) = match outcome {
            RequestOutcome::Success => {
                self.reduce_reported(now, endpoint);
                (previous_suspicion.scaled(SUCCESS_FACTOR), 0)
            }
            failure => {
                let cause = failure.cause();
                let errors_now = errors + u32::from(cause == FailureCause::Endpoint);
                (previous_suspicion.increased(failure.weight(errors), cause), errors_now)
            }
        };
        match suspicion.total < MIN_SUSPICION {
            true => drop(self.local.remove(endpoint)),
            false => {
                let record = SuspicionRecord { suspicion, updated_ms: now, consecutive_errors };
                self.local.insert(endpoint.clone(), record);
            }
        }
        outcome.cause().is_reported() && suspicion.unexplained_failures >= MIN_REPORTED_SUSPICION
    }

    /// Attributes the latest failed connection to `endpoint` itself, because this VM's links have
    /// turned out to work. Returns whether the suspicion should be reported to other VMs immediately.
    pub fn confirm_unreachable(&mut self, now: BootMs, endpoint: &EndpointId) -> bool {
        let Some(record) = self.local.get_mut(endpoint) else { return false };
        let mut suspicion = record.decayed(now);
        let confirmed = suspicion.unexplained_failures + RequestOutcome::ConnectFailed.weight(0);
        suspicion.unexplained_failures = confirmed.min(suspicion.total);
        *record = SuspicionRecord { suspicion, updated_ms: now, ..*record };
        suspicion.unexplained_failures >= MIN_REPORTED_SUSPICION
    }

    /// Records the suspicion that a peer VM reported for `endpoint`, unless a higher level is
    /// already known from peers. `same_zone` states whether the peer is in the local zone.
    pub fn record_peer_report(
        &mut self,
        now: BootMs,
        endpoint: EndpointId,
        reported: Suspicion,
        same_zone: bool,
    ) {
        let level =
            if same_zone { reported.unexplained_failures } else { reported.endpoint_errors };
        let level = level.clamp(0.0, MAX_SUSPICION);
        let known_level =
            self.peer_reported.get(&endpoint).map_or(0.0, |record| record.decayed(now).total);
        if level > known_level.max(MIN_SUSPICION) {
            let suspicion = Suspicion { total: level, ..Suspicion::default() };
            self.peer_reported.insert(
                endpoint,
                SuspicionRecord { suspicion, updated_ms: now, consecutive_errors: 0 },
            );
        }
    }

    /// Reduces the peer-reported suspicion after a request of this VM succeeded. The success is
    /// more recent than the failures that peers observed.
    fn reduce_reported(&mut self, now: BootMs, endpoint: &EndpointId) {
        if let Some(record) = self.peer_reported.get_mut(endpoint) {
            record.suspicion.total = record.decayed(now).total * SUCCESS_FACTOR;
            record.updated_ms = now;
        }
    }

    /// Returns the current suspicion of `endpoint`: the maximum of the local level and the
    /// peer-reported level, which is reduced by `PEER_REPORT_FACTOR`.
    pub fn suspicion(&self, now: BootMs, endpoint: &EndpointId) -> f64 {
        let level = |records: &BTreeMap<EndpointId, SuspicionRecord>| {
            records.get(endpoint).map_or(0.0, |record| record.decayed(now).total)
        };
        level(&self.local).max(level(&self.peer_reported) * PEER_REPORT_FACTOR)
    }

    /// Returns the suspicion of `endpoint` from this VM's own requests, for reporting to other VMs.
    pub fn local_suspicion(&self, now: BootMs, endpoint: &EndpointId) -> Suspicion {
        self.local.get(endpoint).map(|record| record.decayed(now)).unwrap_or_default()
    }

    /// Returns the endpoints whose local suspicion is high enough to report to other VMs.
    pub fn endpoints_to_report(&self, now: BootMs) -> impl Iterator<Item = &EndpointId> {
        let reported = self
            .local
            .iter()
            .filter(move |(_, r)| r.decayed(now).unexplained_failures >= MIN_REPORTED_SUSPICION);
        reported.map(|(endpoint, _)| endpoint)
    }

    /// Drops records whose suspicion has decayed.
    pub fn expire(&mut self, now: BootMs) {
        for records in [&mut self.local, &mut self.peer_reported] {
            records.retain(|_, record| record.decayed(now).total >= MIN_SUSPICION);
        }
    }
}
