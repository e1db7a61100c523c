//! `status`: fetches and prints the status of control processes.

use crate::core::{OpError, OpResult};
use crate::util::http;
use crate::util::table::Table;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Fetches the status of the control process at each address. The result keeps the order of the
/// addresses and contains an error for each process that does not answer.
pub fn collect(addresses: &[SocketAddr]) -> Vec<(SocketAddr, OpResult<Value>)> {
    let fetch = |address: &SocketAddr| -> OpResult<Value> {
        let body = http::get(*address, "/status")?;
        serde_json::from_str(&body).map_err(|err| {
            OpError::failed(
                format!("status of {address}"),
                err,
                "pass the operations port of a control process",
            )
        })
    };
    addresses.iter().map(|address| (*address, fetch(address))).collect()
}

/// Formats the statuses as JSON.
pub fn to_json(statuses: &[(SocketAddr, OpResult<Value>)]) -> String {
    let all: Vec<Value> = statuses
        .iter()
        .map(|(address, status)| match status {
            Ok(status) => json!({ "address": address, "status": status }),
            Err(err) => json!({ "address": address, "error": err.to_string() }),
        })
        .collect();
    format!("{:#}", json!(all))
}

/// Formats the statuses as a table with one row per address.
pub fn to_table(statuses: &[(SocketAddr, OpResult<Value>)]) -> String {
    let mut table = Table::new([
        "ADDRESS",
        "VM",
        "ZONE",
        "READY",
        "CONFIG",
        "AGE",
        "ACTING WITH",
        "WAITING",
        "RUNNING",
    ]);
    for (address, status) in statuses {
        let Ok(status) = status else {
            table.add_row([address.to_string(), "no answer".to_owned()]);
            continue;
        };
        let text = |field: &str| match &status[field] {
            Value::String(text) => text.clone(),
            Value::Null => "-".to_owned(),
            other => other.to_string(),
        };
        let members = status["acting_members"].as_array().cloned().unwrap_or_default();
        let members: Vec<&str> = members.iter().filter_map(Value::as_str).collect();
        table.add_row([
            address.to_string(),
            text("vm"),
            text("zone"),
            text("ready"),
            text("config_version"),
            format!("{} ms", text("config_age_ms")),
            if members.is_empty() { "-".to_owned() } else { members.join(",") },
            text("requests_waiting"),
            text("requests_running"),
        ]);
    }
    table.to_text()
}
