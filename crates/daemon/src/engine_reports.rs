//! Asks engines themselves whether they leave, while the registry can't tell.
//!
//! Answers the pattern "the store is away while engines are reclaimed": a run whose engine leaves
//! unseen is cut, so that for as long as nothing tells of the registry a VM asks the engines that
//! run its generations, and tells the other VMs. At other times it asks nobody, since each question
//! costs.

use crate::context::Context;
use gypsumchute_platform::endpoints::{EndpointReport, read_report};
use gypsumchute_units::EndpointId;
use gypsumchute_units::time::boot_now;
use log::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How often engines are asked, in ms: a run gets away in a few hundred, engines leave 1.5 s after
/// their notice.
const POLL_INTERVAL_MS: u64 = 200;
/// Longest wait for a report, in ms.
const REPORT_TIMEOUT_MS: u64 = 180;

/// Asks for as long as the process lives.
pub async fn run(context: Rc<Context>) {
    loop {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        for (endpoint, address) in engines_to_poll(&context) {
            spawn_local(poll_engine(context.clone(), endpoint, address));
        }
    }
}

/// Engines that run this VM's generations and of which the registry can't tell whether they leave.
fn engines_to_poll(context: &Context) -> Vec<(EndpointId, SocketAddr)> {
    context.with(|state| {
        let is_silent = state.registry_is_stale(boot_now());
        let used = state.loads.own().filter(|(_, load)| load.requests > 0 && load.tokens > 0);
        let staying = used.filter(|(id, _)| !state.endpoints.is_leaving(id));
        let staying = staying.filter(|(id, _)| is_silent || state.endpoints.is_in_doubt(id));
        let found = staying.filter_map(|(id, _)| state.endpoints.get(id));
        found.map(|endpoint| (endpoint.entry.id.clone(), endpoint.entry.address)).collect()
    })
}

async fn poll_engine(context: Rc<Context>, endpoint: EndpointId, address: SocketAddr) {
    match read_report(address, REPORT_TIMEOUT_MS).await {
        Ok(EndpointReport { ends_in_ms: Some(ends_in_ms) }) => {
            info!(endpoint = endpoint.as_str(), ends_in_ms; "endpoint says that it leaves");
            context.record_termination_notice(&endpoint);
        }
        Ok(EndpointReport { ends_in_ms: None }) => {}
        // Its runs notice for themselves whether it is gone.
        Err(err) => info!(endpoint = endpoint.as_str(), error:% = err; "endpoint gives no report"),
    }
}
