//! The operators' port: health for the platform's balancer, metrics, explanations, drain.

use crate::server::EntryState;
use rouille::{Request, Response, Server};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL_MS: u64 = 100;

/// Serves the operators' port until the process ends.
///
/// # Errors
///
/// The address can't be bound.
pub fn serve(
    entry: Arc<EntryState>,
    stopped: Arc<AtomicBool>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let address = entry.settings.ops_listen;
    let server = Server::new(address, move |request| answer(request, &entry))?.pool_size(2);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            server.poll_timeout(Duration::from_millis(POLL_MS));
        }
    });
    Ok(())
}

fn answer(request: &Request, entry: &EntryState) -> Response {
    let url = request.url();
    let explained = url.strip_prefix("/requests/");
    match (request.method(), url.as_str(), explained) {
        ("GET", "/metrics", _) => Response::text(entry.metrics.to_text()),
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
        ("GET", _, Some(id)) => match entry.request_history.find(id) {
            Some(found) => Response::json(&found),
            None => Response::text("no such request here").with_status_code(404),
        },
        _ => Response::text("no such page").with_status_code(404),
    }
}
