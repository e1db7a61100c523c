//! The last requests of this VM and what became of each, for `gypsumchute explain`.

use gypsumchute_units::{Refusal, Verdict, time::wall_micros};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// Requests that are remembered.
const REMEMBERED: usize = 4_096;

/// What became of a request.
#[derive(Debug, Clone, Serialize)]
pub struct Entry {
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
    entries: BTreeMap<String, Entry>,
    order: VecDeque<String>,
}

/// The last requests.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    state: Arc<Mutex<State>>,
}

impl Ledger {
    /// Begins to note a request.
    pub fn open(&self, request: &str, route: &str) -> Record {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = Entry {
            request: request.to_owned(),
            route: route.to_owned(),
            customer: None,
            steps: Vec::new(),
        };
        state.entries.insert(request.to_owned(), entry);
        state.order.push_back(request.to_owned());
        if state.order.len() > REMEMBERED {
            let oldest = state.order.pop_front();
            oldest.map(|oldest| state.entries.remove(&oldest));
        }
        drop(state);
        Record { ledger: self.clone(), request: request.to_owned() }
    }

    /// What is known of a request.
    pub fn find(&self, request: &str) -> Option<Entry> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.entries.get(request).cloned()
    }
}

/// One request's place in the ledger.
#[derive(Debug, Clone)]
pub struct Record {
    ledger: Ledger,
    /// The request's id.
    pub request: String,
}

impl Record {
    fn edit(&self, change: impl FnOnce(&mut Entry)) {
        let mut state = self.ledger.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = state.entries.get_mut(&self.request) {
            change(entry);
        }
    }

    /// Notes a step.
    pub fn step(&self, what: impl Into<String>) {
        let step = Step { at_ms: wall_micros() / 1_000, what: what.into() };
        log::debug!(request = self.request.as_str(), what = step.what.as_str(); "step");
        self.edit(|entry| entry.steps.push(step));
    }

    /// Notes the route, where it stands in the body.
    pub fn route(&self, route: &str) {
        self.edit(|entry| entry.route = route.to_owned());
    }

    /// Notes for whom the request runs.
    pub fn customer(&self, customer: &str) {
        self.edit(|entry| entry.customer = Some(customer.to_owned()));
    }

    /// Notes a refusal.
    pub fn refused(&self, refusal: &Refusal) {
        let verdict = match refusal.verdict {
            Verdict::NotRun => "not run",
            Verdict::MayHaveRun => "may have run",
        };
        let after = refusal
            .retry_after_ms
            .map_or("no use in coming back".to_owned(), |ms| format!("come back after {ms} ms"));
        self.step(format!("refused: {} ({verdict}, {after})", refusal.reason));
    }
}
