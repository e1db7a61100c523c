//! Endpoints as their owner meets them: load reports and orders.
//!
//! [`EndpointAdmin`] is the edge: another kind of engine is another implementation.

use crate::http::{CallError, get_json, request};
use crate::process::Input;
use attohttpc::Method;
use flume::Sender;
use gypsumchute_decide::limits::LOAD_POLL_MS;
use gypsumchute_decide::{Event, LoadReport, Order, model_hash};
use gypsumchute_units::{BootMs, EndpointId, time::boot_now};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How long a load report may take.
const REPORT_TIMEOUT_MS: u64 = 500;
/// How long an order may take.
const ORDER_TIMEOUT_MS: u64 = 2_000;
/// Failed reads in a row after which an endpoint counts as lost.
const FAILURES_MAX: u32 = 2;

/// What an owner needs of an endpoint, beside its work.
pub trait EndpointAdmin: Send + Sync {
    /// Reads the load.
    fn load(&self, address: SocketAddr) -> Result<LoadReport, CallError>;
    /// Gives an order; true where the endpoint took it.
    fn order(&self, order: &Order) -> Result<bool, CallError>;
}

/// Endpoints over HTTP.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpEndpoints;

#[derive(Debug, Deserialize)]
struct LoadAnswer {
    running: u32,
    #[serde(default)]
    used_tokens: u64,
    cold: bool,
    cold_limit: Option<u32>,
    /// How old the figures are.
    age_ms: u64,
    #[serde(default)]
    loaded: String,
}

#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    number: u64,
    model_version: &'a str,
}

impl EndpointAdmin for HttpEndpoints {
    fn load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let asked_ms = boot_now();
        let answer: LoadAnswer = get_json(address, "/-/load", REPORT_TIMEOUT_MS)?;
        Ok(LoadReport {
            taken_ms: BootMs(asked_ms.0.saturating_sub(answer.age_ms)),
            running: answer.running,
            used_tokens: answer.used_tokens,
            cold: answer.cold,
            cold_limit: answer.cold_limit,
            loaded_hash: model_hash(&answer.loaded),
        })
    }

    fn order(&self, order: &Order) -> Result<bool, CallError> {
        let body = OrderBody { number: order.number, model_version: &order.model_version };
        let call = request(Method::POST, order.address, "/-/orders", ORDER_TIMEOUT_MS);
        let call = call.json(&body)?;
        if boot_now() >= order.use_until_ms {
            return Ok(false);
        }
        Ok(call.send()?.status().is_success())
    }
}

/// The threads that read load, one an endpoint, so that a hung endpoint delays no other.
pub struct LoadPollers {
    admin: Arc<dyn EndpointAdmin>,
    inputs: Sender<Input>,
    running: BTreeMap<EndpointId, (SocketAddr, Arc<AtomicBool>)>,
}

impl LoadPollers {
    /// No thread yet.
    pub fn new(admin: Arc<dyn EndpointAdmin>, inputs: Sender<Input>) -> Self {
        LoadPollers { admin, inputs, running: BTreeMap::new() }
    }

    /// Reads these endpoints' load from now on, and no others'.
    pub fn follow(&mut self, wanted: Vec<(EndpointId, SocketAddr)>) {
        let wanted: BTreeMap<EndpointId, SocketAddr> = wanted.into_iter().collect();
        self.running.retain(|id, (address, stop)| {
            let keep = wanted.get(id) == Some(address);
            stop.store(!keep, Ordering::Relaxed);
            keep
        });
        for (id, address) in wanted {
            if !self.running.contains_key(&id) {
                let stop = Arc::new(AtomicBool::new(false));
                self.spawn(id.clone(), address, stop.clone());
                self.running.insert(id, (address, stop));
            }
        }
    }

    /// Ends all threads.
    pub fn stop(&mut self) {
        self.follow(Vec::new());
    }

    fn spawn(&self, id: EndpointId, address: SocketAddr, stop: Arc<AtomicBool>) {
        let (admin, inputs) = (self.admin.clone(), self.inputs.clone());
        thread::spawn(move || {
            let mut failures = 0;
            while !stop.load(Ordering::Relaxed) {
                let report = admin.load(address);
                failures = if report.is_ok() { 0 } else { failures + 1 };
                let event = match report {
                    Ok(report) => Some(Event::Load(id.clone(), Some(report))),
                    Err(_) if failures >= FAILURES_MAX => Some(Event::Load(id.clone(), None)),
                    Err(_) => None,
                };
                let closed = event.is_some_and(|event| inputs.send(Input::Event(event)).is_err());
                if closed {
                    return;
                }
                thread::sleep(Duration::from_millis(LOAD_POLL_MS));
            }
        });
    }

    /// Gives an order and tells the decisions whether it was taken.
    pub fn order(&self, order: Order) {
        let (admin, inputs) = (self.admin.clone(), self.inputs.clone());
        thread::spawn(move || {
            let taken = admin.order(&order).unwrap_or(false);
            log::info!(endpoint:% = order.endpoint, number = order.number, taken; "order given");
            let _ = inputs.send(Input::Event(Event::OrderDone(order.endpoint, taken)));
        });
    }
}
