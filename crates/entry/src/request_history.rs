//! The last requests of this VM and what became of each, for `gypsumchute explain`.

use gypsumchute_units::{Refusal, Verdict, time::wall_micros};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// Requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// What became of a request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// Its id, as the caller got it.
    pub request: String,
    /// The route it named.
    pub route: String,
    /// The customer it ran for, if it got so far.
    pub customer: Option<String>,
    /// What happened, in order.
    pub steps: Vec<Step>,
}

/// One thing that happened to a request.
#[derive(Debug, Clone, Serialize)]
pub struct Step {
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// What.
    pub what: String,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, RequestRecord>,
    order: VecDeque<String>,
}

/// The last requests.
#[derive(Debug, Clone, Default)]
pub struct RequestHistory {
    state: Arc<Mutex<State>>,
}

impl RequestHistory {
    /// Begins to note a request.
    pub fn start_record(&self, request_id: &str, route: &str) -> RecordHandle {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = RequestRecord {
            request: request_id.to_owned(),
            route: route.to_owned(),
            customer: None,
            steps: Vec::new(),
        };
        state.entries.insert(request_id.to_owned(), entry);
        state.order.push_back(request_id.to_owned());
        if state.order.len() > MAX_REQUESTS {
            let oldest = state.order.pop_front();
            oldest.map(|oldest| state.entries.remove(&oldest));
        }
        drop(state);
        RecordHandle { history: self.clone(), request_id: request_id.to_owned() }
    }

    /// What is known of a request.
    pub fn find(&self, request_id: &str) -> Option<RequestRecord> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.entries.get(request_id).cloned()
    }
}

/// One request's place in the ledger.
#[derive(Debug, Clone)]
pub struct RecordHandle {
    history: RequestHistory,
    /// The request's id.
    pub request_id: String,
}

impl RecordHandle {
    fn edit(&self, change: impl FnOnce(&mut RequestRecord)) {
        let mut state = self.history.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = state.entries.get_mut(&self.request_id) {
            change(entry);
        }
    }

    /// Notes a step.
    pub fn add_step(&self, what: impl Into<String>) {
        let step = Step { at_ms: wall_micros() / 1_000, what: what.into() };
        log::debug!(request = self.request_id.as_str(), what = step.what.as_str(); "step");
        self.edit(|entry| entry.steps.push(step));
    }

    /// Notes the route, where it stands in the body.
    pub fn set_route(&self, route: &str) {
        self.edit(|entry| entry.route = route.to_owned());
    }

    /// Notes for whom the request runs.
    pub fn set_customer(&self, customer: &str) {
        self.edit(|entry| entry.customer = Some(customer.to_owned()));
    }

    /// Notes a refusal.
    pub fn add_refusal(&self, refusal: &Refusal) {
        let verdict = match refusal.verdict {
            Verdict::NotRun => "not run",
            Verdict::MayHaveRun => "may have run",
        };
        let after = refusal
            .retry_after_ms
            .map_or("no use in coming back".to_owned(), |ms| format!("come back after {ms} ms"));
        self.add_step(format!("refused: {} ({verdict}, {after})", refusal.reason));
    }
}
