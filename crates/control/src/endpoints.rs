//! Polls the load of the endpoints that this VM owns and sends model load orders to them.
//!
//! The owner of an endpoint is the VM that decides which requests the endpoint receives.
//! [`EndpointClient`] is the interface to implement for another kind of engine.

use crate::http::{CallError, build_request, get_json};
use crate::process::Input;
use attohttpc::Method;
use flume::Sender;
use gypsumchute_decide::limits::LOAD_POLL_INTERVAL_MS;
use gypsumchute_decide::{Event, LoadReport, ModelOrder, model_hash};
use gypsumchute_units::{BootMs, EndpointId, time::boot_now};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Timeout of a request for a load report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: u64 = 64 << 10;
/// Timeout of a request that sends an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 2_000;
/// Number of consecutive failed polls after which an endpoint is reported as lost.
const MAX_POLL_FAILURES: u32 = 2;

/// A client of the administrative API of endpoints.
pub trait EndpointClient: Send + Sync {
    /// Requests a load report from the endpoint at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint sends no valid report in time.
    fn get_load(&self, address: SocketAddr) -> Result<LoadReport, CallError>;
    /// Sends a model load order to its endpoint. Returns true if the endpoint accepted the order,
    /// and false if the endpoint rejected the order or if the order expired before it was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the order could not be sent or no response arrived in time. The endpoint
    /// may have accepted the order.
    fn send_order(&self, order: &ModelOrder) -> Result<bool, CallError>;
}

/// A client of the administrative API of endpoints over HTTP.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpEndpointClient;

/// A load report of an endpoint.
#[derive(Debug, Deserialize)]
struct LoadResponse {
    /// Number of requests running or waiting at the endpoint.
    running: u32,
    /// Memory in use, in tokens; 0 if the endpoint does not report it.
    #[serde(default)]
    used_tokens: u64,
    /// Whether the endpoint is in cold start.
    cold: bool,
    /// Maximum number of requests during cold start, if the endpoint reports one.
    cold_limit: Option<u32>,
    /// Age of the report, in milliseconds.
    age_ms: u64,
    /// Model, adapter and version that the endpoint has loaded; empty if the endpoint does not
    /// report them.
    #[serde(default)]
    #[serde(rename = "loaded")]
    loaded_model: String,
}

/// Request body of an order to load a model.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    /// Version of the configuration that requires the model.
    #[serde(rename = "number")]
    config_version: u64,
    /// Model, adapter and version to load.
    model_version: &'a str,
}

impl EndpointClient for HttpEndpointClient {
    fn get_load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let requested_ms = boot_now();
        let response: LoadResponse =
            get_json(address, "/-/load", REPORT_TIMEOUT_MS, MAX_REPORT_BYTES)?;
        Ok(LoadReport {
            // Subtract the age from the time of the request, not of the response, so that the
            // report never appears more recent than it is.
            taken_ms: BootMs(requested_ms.0.saturating_sub(response.age_ms)),
            in_flight: response.running,
            used_tokens: response.used_tokens,
            cold: response.cold,
            cold_limit: response.cold_limit,
            loaded_hash: model_hash(&response.loaded_model),
        })
    }

    fn send_order(&self, order: &ModelOrder) -> Result<bool, CallError> {
        let body =
            OrderBody { config_version: order.config_version, model_version: &order.model_version };
        let request = build_request(Method::POST, order.address, "/-/orders", ORDER_TIMEOUT_MS);
        let request = request.json(&body)?;
        if boot_now() >= order.use_until_ms {
            return Ok(false);
        }
        Ok(request.send()?.status().is_success())
    }
}

/// The threads that poll the load of endpoints. Each endpoint has a thread of its own, so that an
/// endpoint that hangs does not delay the polls of others.
pub struct LoadPollers {
    client: Arc<dyn EndpointClient>,
    inputs: Sender<Input>,
    /// Address and stop flag of each running poller thread.
    pollers: BTreeMap<EndpointId, (SocketAddr, Arc<AtomicBool>)>,
}

impl LoadPollers {
    /// Creates a set of pollers without any thread.
    pub fn new(client: Arc<dyn EndpointClient>, inputs: Sender<Input>) -> Self {
        LoadPollers { client, inputs, pollers: BTreeMap::new() }
    }

    /// Starts and stops threads so that exactly the `wanted` endpoints are polled.
    pub fn set_endpoints(&mut self, wanted: Vec<(EndpointId, SocketAddr)>) {
        let wanted: BTreeMap<EndpointId, SocketAddr> = wanted.into_iter().collect();
        self.pollers.retain(|id, (address, stop)| {
            let keep = wanted.get(id) == Some(address);
            stop.store(!keep, Ordering::Relaxed);
            keep
        });
        for (id, address) in wanted {
            if !self.pollers.contains_key(&id) {
                let stop = Arc::new(AtomicBool::new(false));
                self.spawn_poller(id.clone(), address, stop.clone());
                self.pollers.insert(id, (address, stop));
            }
        }
    }

    /// Signals all poller threads to stop, and does not wait for polls in progress.
    pub fn stop_all(&mut self) {
        self.set_endpoints(Vec::new());
    }

    /// Starts a thread that polls the load of one endpoint until `stop` is set.
    fn spawn_poller(&self, id: EndpointId, address: SocketAddr, stop: Arc<AtomicBool>) {
        let (client, inputs) = (self.client.clone(), self.inputs.clone());
        thread::spawn(move || {
            let mut failures = 0;
            while !stop.load(Ordering::Relaxed) {
                let report = client.get_load(address);
                failures = if report.is_ok() { 0 } else { failures + 1 };
                let event = match report {
                    Ok(report) => Some(Event::LoadReported(id.clone(), Some(report))),
                    Err(_) if failures >= MAX_POLL_FAILURES => {
                        Some(Event::LoadReported(id.clone(), None))
                    }
                    Err(_) => None,
                };
                let queue_closed =
                    event.is_some_and(|event| inputs.send(Input::Event(event)).is_err());
                if queue_closed {
                    return;
                }
                thread::sleep(Duration::from_millis(LOAD_POLL_INTERVAL_MS));
            }
        });
    }

    /// Sends an order on a new thread and reports to the decision thread whether the endpoint
    /// accepted it.
    pub fn send_order(&self, order: ModelOrder) {
        let (client, inputs) = (self.client.clone(), self.inputs.clone());
        thread::spawn(move || {
            let taken = client.send_order(&order).unwrap_or(false);
            log::info!(
                endpoint:% = order.endpoint, number = order.config_version, taken;
                "attempted to send a model load order"
            );
            let _ = inputs.send(Input::Event(Event::OrderDone(order.endpoint, taken)));
        });
    }
}
