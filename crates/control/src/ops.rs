//! HTTP server for operators and the platform's load balancer: health checks, status, metrics and
//! graceful shutdown.

use crate::process::Input;
use flume::Sender;
use gypsumchute_decide::NodeStatus;
use gypsumchute_telemetry::Metrics;
use rouille::{Request, Response, Server};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Timeout for the decision thread to return its status, in milliseconds. When it expires, the
/// process counts as stuck and the health checks fail.
const STATUS_TIMEOUT_MS: u64 = 1_000;
/// Interval at which the server thread checks whether the decision thread has ended, in
/// milliseconds.
const STOP_CHECK_MS: u64 = 100;

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
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let server = Server::new(address, move |request| handle_request(request, &inputs, &metrics))?;
    let server = server.pool_size(2);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            server.poll_timeout(Duration::from_millis(STOP_CHECK_MS));
        }
    });
    Ok(())
}

/// Requests the status from the decision thread. Returns `None` if the thread does not return it in
/// time.
fn request_status(inputs: &Sender<Input>) -> Option<NodeStatus> {
    let (reply_sender, reply) = flume::bounded(1);
    inputs.send(Input::GetStatus(reply_sender)).ok()?;
    reply.recv_timeout(Duration::from_millis(STATUS_TIMEOUT_MS)).ok()
}

/// Returns the response to an HTTP request.
fn handle_request(request: &Request, inputs: &Sender<Input>, metrics: &Metrics) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/metrics") => Response::text(metrics.to_prometheus_text()),
        ("GET", "/health/live") => match request_status(inputs) {
            Some(_) => Response::text("live"),
            None => Response::text("the decisions do not answer").with_status_code(503),
        },
        ("GET", "/health/ready") => match request_status(inputs) {
            Some(status) if status.ready => Response::text("ready"),
            _ => Response::text("not ready").with_status_code(503),
        },
        ("GET", "/status") => match request_status(inputs) {
            Some(status) => Response::json(&status),
            None => Response::text("the decisions do not answer").with_status_code(503),
        },
        ("POST", "/drain") => {
            let _ = inputs.send(Input::Drain);
            Response::text("draining")
        }
        _ => Response::text("no such page").with_status_code(404),
    }
}
