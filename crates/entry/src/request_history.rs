//! History of recent requests of this VM and their steps, for `gypsumchute explain`.

use gypsumchute_units::ids::MAX_ID_BYTES;
use gypsumchute_units::{Refusal, Verdict, time::unix_time_micros};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of records in the history.
const MAX_RECORDS: usize = 4_096;
/// Maximum length of a route that is kept or sent to the control process, in bytes. It exceeds the
/// length of all ids, so that a shortened name matches no route. Callers may name one of the size of
/// a body.
pub const MAX_ROUTE_BYTES: usize = 2 * MAX_ID_BYTES;

/// Returns the start of the name of a route, at most [`MAX_ROUTE_BYTES`] bytes.
pub fn shorten_route(route: &str) -> &str {
    &route[..route.floor_char_boundary(MAX_ROUTE_BYTES)]
}

/// History of one request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// Request id, as returned to the caller.
    pub request: String,
    /// Route that the request names.
    pub route: String,
    /// Customer of the request, once an endpoint has been granted.
    pub customer: Option<String>,
    /// Steps in the order in which they happened.
    pub steps: Vec<Step>,
}

/// One step of a request.
#[derive(Debug, Clone, Serialize)]
pub struct Step {
    /// Time of the step, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Description of the step.
    pub what: String,
}

/// Mutable state of the history.
#[derive(Debug, Default)]
struct State {
    /// Records by request id.
    records: BTreeMap<String, RequestRecord>,
    /// Request ids from oldest to newest.
    request_ids: VecDeque<String>,
}

/// History of the most recent requests. Clones share the records.
#[derive(Debug, Clone, Default)]
pub struct RequestHistory {
    state: Arc<Mutex<State>>,
}

impl RequestHistory {
    /// Adds a record for a request, and removes the oldest record if the history is full.
    pub fn start_record(&self, request_id: &str, route: &str) -> RecordHandle {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let record = RequestRecord {
            request: request_id.to_owned(),
            route: shorten_route(route).to_owned(),
            customer: None,
            steps: Vec::new(),
        };
        state.records.insert(request_id.to_owned(), record);
        state.request_ids.push_back(request_id.to_owned());
        if state.request_ids.len() > MAX_RECORDS {
            let oldest = state.request_ids.pop_front();
            oldest.map(|oldest| state.records.remove(&oldest));
        }
        drop(state);
        RecordHandle { history: self.clone(), request_id: request_id.to_owned() }
    }

    /// Returns the record of a request.
    pub fn find(&self, request_id: &str) -> Option<RequestRecord> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.records.get(request_id).cloned()
    }
}

/// Handle to the record of one request. Changes have no effect once the record has been removed.
#[derive(Debug, Clone)]
pub struct RecordHandle {
    history: RequestHistory,
    /// Request id.
    pub request_id: String,
}

impl RecordHandle {
    /// Applies a change to the record.
    fn update(&self, change: impl FnOnce(&mut RequestRecord)) {
        let mut state = self.history.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = state.records.get_mut(&self.request_id) {
            change(record);
        }
    }

    /// Adds a step.
    pub fn add_step(&self, what: impl Into<String>) {
        let step = Step { at_ms: unix_time_micros() / 1_000, what: what.into() };
        log::debug!(request = self.request_id.as_str(), what = step.what.as_str(); "request step");
        self.update(|record| record.steps.push(step));
    }

    /// Sets the route of a request whose route is known only from the body.
    pub fn set_route(&self, route: &str) {
        self.update(|record| record.route = shorten_route(route).to_owned());
    }

    /// Sets the customer of the request.
    pub fn set_customer(&self, customer: &str) {
        self.update(|record| record.customer = Some(customer.to_owned()));
    }

    /// Adds a step that describes a refusal.
    pub fn add_refusal(&self, refusal: &Refusal) {
        let verdict = match refusal.verdict {
            Verdict::NotRun => "not run",
            Verdict::MayHaveRun => "may have run",
        };
        let retry_advice = refusal
            .retry_after_ms
            .map_or("do not retry".to_owned(), |ms| format!("retry after {ms} ms"));
        self.add_step(format!("refused: {} ({verdict}, {retry_advice})", refusal.reason));
    }
}
