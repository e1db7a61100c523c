//! `explain`: prints the recorded steps of a request, queried from entry processes.

use crate::core::{OpError, OpResult};
use crate::util::http;
use attohttpc::Method;
use serde_json::Value;
use std::net::SocketAddr;

/// Returns the steps of a request as recorded by the first entry process that has a record of it.
///
/// # Errors
///
/// Returns an error if no process at the given addresses has a record of the request.
pub fn explain(request_id: &str, addresses: &[SocketAddr]) -> OpResult<String> {
    for address in addresses {
        let response = http::call(Method::GET, *address, &format!("/requests/{request_id}"));
        let Ok((200, body)) = response else { continue };
        let Ok(record) = serde_json::from_str::<Value>(&body) else { continue };
        return Ok(to_text(&record));
    }
    Err(OpError::failed(
        format!("request {request_id}"),
        "not found at any of the given addresses",
        "pass the operations port of the entry process on the VM that the request id starts with",
    ))
}

/// Formats a request record: the request, and one line per step with the time since the first step.
fn to_text(record: &Value) -> String {
    let text_of = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut lines = vec![
        format!("request   {}", text_of(&record["request"])),
        format!("route     {}", text_of(&record["route"])),
        format!("customer  {}", text_of(&record["customer"])),
    ];
    let steps = record["steps"].as_array().cloned().unwrap_or_default();
    let started_ms = steps.first().and_then(|step| step["at_ms"].as_u64()).unwrap_or(0);
    for step in &steps {
        let elapsed_ms = step["at_ms"].as_u64().unwrap_or(0).saturating_sub(started_ms);
        lines.push(format!("{elapsed_ms:>6} ms  {}", text_of(&step["what"])));
    }
    lines.join("\n")
}
