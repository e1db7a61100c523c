//! Polls engines for termination notices while the registry is stale.
//!
//! A run is cut off if the termination of the engine goes unnoticed, which happens when the store
//! is unavailable while engines are reclaimed. During such an outage, each VM polls the engines
//! that run its generations and announces termination notices to its peers. At other times, only
//! engines whose registry entry was removed but may merely have expired are polled, since each poll
//! costs as much as a health check.

use crate::context::Context;
use crate::endpoint_access::ControlPermit;
use gypsumchute_platform::endpoints::{EndpointReport, ReportError};
use gypsumchute_units::EndpointId;
use gypsumchute_units::time::boot_now;
use log::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between polls of an engine, in milliseconds. Moving a run takes a few hundred
/// milliseconds, and engines are terminated 1.5 s after their notice.
const POLL_INTERVAL_MS: u64 = 200;
/// Timeout for an engine's report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 180;

/// Polls the engines whose termination the registry may not show. Runs until the process exits.
pub async fn run(context: Rc<Context>) {
    loop {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        for (endpoint, address) in engines_to_poll(&context) {
            if let Some(permit) = context.acquire_control(&endpoint) {
                spawn_local(poll_engine(context.clone(), permit, endpoint, address));
            }
        }
    }
}

/// Returns the engines that run this VM's generations and whose termination the registry may not
/// show.
fn engines_to_poll(context: &Context) -> Vec<(EndpointId, SocketAddr)> {
    context.with(|state| {
        let is_stale = state.registry_is_stale(boot_now());
        let in_use = state
            .loads
            .local_loads()
            .filter(|(_, load)| load.requests > 0 && load.reserved_tokens > 0);
        let staying = in_use.filter(|(id, _)| !state.endpoints.is_terminating_or_gone(id));
        let uncertain = staying.filter(|(id, _)| is_stale || state.endpoints.is_unconfirmed(id));
        let found = uncertain.filter_map(|(id, _)| state.endpoints.get(id));
        found.map(|endpoint| (endpoint.entry.id.clone(), endpoint.entry.address)).collect()
    })
}

/// Polls one engine and records its termination notice, if there is one.
async fn poll_engine(
    context: Rc<Context>,
    permit: ControlPermit,
    endpoint: EndpointId,
    address: SocketAddr,
) {
    let known_start = context.endpoint_start_ms(&endpoint);
    match permit.read_report(&context, address, REPORT_TIMEOUT_MS).await {
        Ok(EndpointReport { ends_in_ms, started_wall_ms, signs }) => {
            let started_wall_ms = started_wall_ms.or(known_start);
            context.record_endpoint_signs(&endpoint, started_wall_ms, signs);
            if let Some(ends_in_ms) = ends_in_ms {
                info!(endpoint = endpoint.as_str(), ends_in_ms;
                    "endpoint reported that it is terminating");
                context.record_termination_notice(&endpoint, started_wall_ms);
            }
        }
        Err(ReportError::Status(status, signs)) => {
            info!(endpoint = endpoint.as_str(), status = status.as_u16();
                "endpoint report refused");
            context.record_endpoint_signs(&endpoint, known_start, signs);
        }
        // No action is needed: the runs at the engine detect on their own whether it is gone.
        Err(err) => info!(endpoint = endpoint.as_str(), error:% = err; "endpoint report failed"),
    }
}
