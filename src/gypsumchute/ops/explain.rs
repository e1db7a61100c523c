//! `explain`: what became of a request, asked of the entry processes that may have served it.

use crate::core::{OpError, OpResult};
use crate::util::http;
use attohttpc::Method;
use serde_json::Value;
use std::net::SocketAddr;

/// What the first VM that knows the request says of it.
///
/// # Errors
///
/// None of the addresses knows it.
pub fn explain(request: &str, addresses: &[SocketAddr]) -> OpResult<String> {
    for address in addresses {
        let asked = http::call(Method::GET, *address, &format!("/requests/{request}"));
        let Ok((200, body)) = asked else { continue };
        let Ok(found) = serde_json::from_str::<Value>(&body) else { continue };
        return Ok(to_text(&found));
    }
    Err(OpError::failed(
        format!("request {request}"),
        "no VM asked knows it",
        "name the operators' port of the entry process whose name the id begins with",
    ))
}

fn to_text(found: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut lines = vec![
        format!("request   {}", text(&found["request"])),
        format!("route     {}", text(&found["route"])),
        format!("customer  {}", text(&found["customer"])),
    ];
    let steps = found["steps"].as_array().cloned().unwrap_or_default();
    let first = steps.first().and_then(|step| step["at_ms"].as_u64()).unwrap_or(0);
    for step in &steps {
        let after = step["at_ms"].as_u64().unwrap_or(0).saturating_sub(first);
        lines.push(format!("{after:>6} ms  {}", text(&step["what"])));
    }
    lines.join("\n")
}
