//! The operators' port: health for the platform's balancer, status, metrics, drain.

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

/// How long the decisions may take to give a status before the process counts as stuck.
const STATUS_WAIT_MS: u64 = 1_000;
const POLL_MS: u64 = 100;

/// Serves the operators' port until the process ends.
///
/// # Errors
///
/// The address can't be bound.
pub fn serve(
    address: SocketAddr,
    inputs: Sender<Input>,
    metrics: Metrics,
    stopped: Arc<AtomicBool>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let server = Server::new(address, move |request| answer(request, &inputs, &metrics))?;
    let server = server.pool_size(2);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            server.poll_timeout(Duration::from_millis(POLL_MS));
        }
    });
    Ok(())
}

fn status(inputs: &Sender<Input>) -> Option<NodeStatus> {
    let (reply, answer) = flume::bounded(1);
    inputs.send(Input::GetStatus(reply)).ok()?;
    answer.recv_timeout(Duration::from_millis(STATUS_WAIT_MS)).ok()
}

fn answer(request: &Request, inputs: &Sender<Input>, metrics: &Metrics) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/metrics") => Response::text(metrics.to_text()),
        ("GET", "/health/live") => match status(inputs) {
            Some(_) => Response::text("live"),
            None => Response::text("the decisions do not answer").with_status_code(503),
        },
        ("GET", "/health/ready") => match status(inputs) {
            Some(status) if status.ready => Response::text("ready"),
            _ => Response::text("not ready").with_status_code(503),
        },
        ("GET", "/status") => match status(inputs) {
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
