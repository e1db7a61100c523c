//! Serves the port for operators: health checks of the load balancer of the platform, metrics,
//! request histories, and draining.

use crate::server::EntryState;
use gypsumchute_serving::operators::{self, Page};
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Starts serving operators, until `stopped` is set.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(entry: Arc<EntryState>, stopped: Arc<AtomicBool>) -> io::Result<()> {
    let address = entry.settings.ops_listen;
    operators::serve(address, stopped, move |method, path| page(method, path, &entry))
}

/// Returns the page for a request.
fn page(method: &str, path: &str, entry: &EntryState) -> Page {
    match (method, path, path.strip_prefix("/requests/")) {
        ("GET", "/metrics", _) => Page::text(200, entry.metrics.to_prometheus_text()),
        ("GET", "/health/live", _) => Page::text(200, "live"),
        ("GET", "/health/ready", _) if entry.is_ready() => Page::text(200, "ready"),
        ("GET", "/health/ready", _) => Page::text(503, "not ready"),
        ("GET", "/status", _) => {
            let status = json!({
                "vm": entry.settings.vm,
                "zone": entry.settings.zone,
                "ready": entry.is_ready(),
                "control_connected": entry.link.is_connected(),
                "requests": entry.in_flight.load(Ordering::Relaxed),
                "connections": entry.connections.open(),
                "request_bytes": entry.request_bytes.used_bytes(),
            });
            Page::json(status.to_string())
        }
        ("POST", "/drain", _) => {
            entry.draining.store(true, Ordering::Relaxed);
            Page::text(200, "draining")
        }
        ("GET", _, Some(request_id)) => match entry.request_history.find(request_id) {
            Some(record) => Page::json(json!(record).to_string()),
            None => Page::text(404, "no such request here"),
        },
        _ => Page::text(404, "no such page"),
    }
}
