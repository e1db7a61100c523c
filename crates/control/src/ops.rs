//! HTTP server for operators and the platform's load balancer: health checks, status, metrics and
//! graceful shutdown.

use crate::process::Input;
use flume::Sender;
use gypsumchute_decide::NodeStatus;
use gypsumchute_serving::operators::{self, Page};
use gypsumchute_telemetry::Metrics;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Timeout for the decision thread to return its status, in milliseconds. When it expires, the
/// process counts as stuck and the health checks fail.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// Starts a thread that serves HTTP requests at `address` until `stopped` is set.
///
/// # Errors
///
/// Returns an error if `address` can't be bound.
pub fn serve(
    address: SocketAddr,
    inputs: Sender<Input>,
    metrics: Metrics,
    stopped: Arc<AtomicBool>,
) -> io::Result<()> {
    operators::serve(address, stopped, move |method, path| page(method, path, &inputs, &metrics))
}

/// Requests the status from the decision thread. Returns `None` if the thread does not return it in
/// time.
fn request_status(inputs: &Sender<Input>) -> Option<NodeStatus> {
    let (reply_sender, reply) = flume::bounded(1);
    inputs.send(Input::GetStatus(reply_sender)).ok()?;
    reply.recv_timeout(Duration::from_millis(STATUS_TIMEOUT_MS)).ok()
}

/// Returns the page for a request.
fn page(method: &str, path: &str, inputs: &Sender<Input>, metrics: &Metrics) -> Page {
    match (method, path) {
        ("GET", "/metrics") => Page::text(200, metrics.to_prometheus_text()),
        ("GET", "/health/live") => match request_status(inputs) {
            Some(_) => Page::text(200, "live"),
            None => Page::text(503, "the decisions do not answer"),
        },
        ("GET", "/health/ready") => match request_status(inputs) {
            Some(status) if status.ready => Page::text(200, "ready"),
            _ => Page::text(503, "not ready"),
        },
        ("GET", "/status") => match request_status(inputs) {
            Some(status) => Page::json(json!(status).to_string()),
            None => Page::text(503, "the decisions do not answer"),
        },
        ("POST", "/drain") => {
            let _ = inputs.send(Input::Drain);
            Page::text(200, "draining")
        }
        _ => Page::text(404, "no such page"),
    }
}
