//! `status`: what the VMs behind some operators' ports say of themselves.

use crate::core::{OpError, OpResult};
use crate::util::http;
use crate::util::table::Table;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The status of each VM that answers, in the order of the addresses.
pub fn collect(addresses: &[SocketAddr]) -> Vec<(SocketAddr, OpResult<Value>)> {
    let ask = |address: &SocketAddr| -> OpResult<Value> {
        let body = http::get(*address, "/status")?;
        serde_json::from_str(&body).map_err(|err| {
            OpError::failed(format!("status of {address}"), err, "name a control process's port")
        })
    };
    addresses.iter().map(|address| (*address, ask(address))).collect()
}

/// As JSON.
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

/// As a table.
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
            table.row([address.to_string(), "no answer".to_owned()]);
            continue;
        };
        let text = |field: &str| match &status[field] {
            Value::String(text) => text.clone(),
            Value::Null => "-".to_owned(),
            other => other.to_string(),
        };
        let members = status["acting_members"].as_array().cloned().unwrap_or_default();
        let members: Vec<&str> = members.iter().filter_map(Value::as_str).collect();
        table.row([
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
