//! Serves the port for operators: health checks of the load balancer of the platform, metrics,
//! request histories, and draining.

use crate::server::EntryState;
use rouille::{Request, Response, Server};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which the server thread checks for the end of the process, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Starts serving operators, until `stopped` is set.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(
    entry: Arc<EntryState>,
    stopped: Arc<AtomicBool>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let address = entry.settings.ops_listen;
    let server = Server::new(address, move |request| handle_request(request, &entry))?.pool_size(2);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            server.poll_timeout(Duration::from_millis(POLL_INTERVAL_MS));
        }
    });
    Ok(())
}

/// Handles one request.
fn handle_request(request: &Request, entry: &EntryState) -> Response {
    let url = request.url();
    let request_id = url.strip_prefix("/requests/");
    match (request.method(), url.as_str(), request_id) {
        ("GET", "/metrics", _) => Response::text(entry.metrics.to_prometheus_text()),
        ("GET", "/health/live", _) => Response::text("live"),
        ("GET", "/health/ready", _) if entry.is_ready() => Response::text("ready"),
        ("GET", "/health/ready", _) => Response::text("not ready").with_status_code(503),
        ("GET", "/status", _) => Response::json(&json!({
            "vm": entry.settings.vm,
            "zone": entry.settings.zone,
            "ready": entry.is_ready(),
            "control_connected": entry.link.is_connected(),
            "requests": entry.in_flight.load(Ordering::Relaxed),
        })),
        ("POST", "/drain", _) => {
            entry.draining.store(true, Ordering::Relaxed);
            Response::text("draining")
        }
        ("GET", _, Some(request_id)) => match entry.request_history.find(request_id) {
            Some(record) => Response::json(&record),
            None => Response::text("no such request here").with_status_code(404),
        },
        _ => Response::text("no such page").with_status_code(404),
    }
}
