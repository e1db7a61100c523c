//! `demo`: a small fleet on loopback, one generation and one booking through it.

use crate::core::{OpError, OpResult};
use crate::ops::embedded::{EmbeddedFleet, EngineWish, FleetWish, ServiceWish};
use attohttpc::{Method, ProxySettings, RequestBuilder};
use gypsumchute_config::KeyHash;
use gypsumchute_standins::engine::EngineSpec;
use gypsumchute_standins::service::ServiceSpec;
use gypsumchute_units::ZoneId;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const SALT: &str = "demo-salt";
/// The key of the demonstration's first customer.
pub const SURVEY_KEY: &str = "demo-key-lens-trust";
/// The key of the demonstration's second customer.
pub const BOOKING_KEY: &str = "demo-key-flottbad";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn zone(name: &str) -> ZoneId {
    name.parse().expect("the demonstration's zones have valid ids")
}

fn files() -> BTreeMap<String, String> {
    let key = |id: &str, key: &str| json!([{ "id": id, "sha256": KeyHash::of(SALT, key) }]);
    let fleet = json!({ "fleet": { "key_salt": SALT } });
    let customers = json!({ "customers": [
        { "id": "lens-trust", "rate_per_s": 20, "burst": 20, "keys": key("first", SURVEY_KEY) },
        { "id": "flottbad", "rate_per_s": 20, "burst": 20, "keys": key("first", BOOKING_KEY) },
    ]});
    let routes = json!({
        "model_routes": [{ "id": "survey", "max_tokens": 512 }],
        "app_routes": [{ "id": "bookings" }],
    });
    BTreeMap::from([
        ("00-fleet.json".to_owned(), fleet.to_string()),
        ("20-customers.json".to_owned(), customers.to_string()),
        ("30-routes.json".to_owned(), routes.to_string()),
    ])
}

/// Starts the demonstration's fleet.
///
/// # Errors
///
/// As [`EmbeddedFleet::start`].
pub fn start() -> OpResult<EmbeddedFleet> {
    let zones = vec![zone("umea-b"), zone("pitea-d")];
    let engines = zones.iter().map(|zone| EngineWish {
        id: format!("engine-{zone}"),
        zone: zone.clone(),
        spec: EngineSpec { step_ms: 30, ..EngineSpec::default() },
        routes: vec!["survey".to_owned()],
        warm_limit: 16,
    });
    let services = zones.iter().map(|zone| ServiceWish {
        id: format!("bookings-{zone}"),
        zone: zone.clone(),
        spec: ServiceSpec::default(),
        routes: vec!["bookings".to_owned()],
    });
    let (engines, services) = (engines.collect(), services.collect());
    EmbeddedFleet::start(FleetWish { zones, vms: 2, engines, services, files: files() })
}

fn call(method: Method, address: SocketAddr, path: &str, key: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .header("Authorization", format!("Bearer {key}"))
        .read_timeout(CALL_TIMEOUT)
}

fn failed(what: &str, reason: impl ToString) -> OpError {
    OpError::failed(what, reason, "run the demonstration again, and report it if it fails again")
}

/// Sends one generation and one booking, and writes what comes to `out`.
///
/// # Errors
///
/// An answer is not what it should be.
pub fn run(fleet: &EmbeddedFleet, out: &mut impl Write) -> OpResult<()> {
    let callers = fleet.callers();
    writeln!(out, "generation through {}:", callers[0])?;
    stream(callers[0], out)?;
    writeln!(out, "booking through {}:", callers[1])?;
    let booking = call(Method::POST, callers[1], "/apps/bookings/rafts", BOOKING_KEY)
        .header("Idempotency-Key", "demo-booking-1")
        .text(r#"{"raft":"Njord","weekend":"2027-01-09"}"#)
        .send()
        .map_err(|err| failed("booking", err))?;
    let status = booking.status().as_u16();
    let text = booking.text().map_err(|err| failed("booking", err))?;
    writeln!(out, "  {text}")?;
    match status {
        200 => Ok(()),
        status => Err(failed("booking", format!("status {status}"))),
    }
}

fn stream(address: SocketAddr, out: &mut impl Write) -> OpResult<()> {
    let body = json!({
        "model": "survey",
        "prompt": "Describe the state of the second-order lens at Hoburg. <len=24>",
        "max_tokens": 64,
        "stream": true,
    });
    let response = call(Method::POST, address, "/v1/completions", SURVEY_KEY)
        .text(body.to_string())
        .send()
        .map_err(|err| failed("generation", err))?;
    if !response.is_success() {
        let text = response.text().unwrap_or_default();
        return Err(failed("generation", text));
    }
    write!(out, "  ")?;
    for line in BufReader::new(response.split().2).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            writeln!(out, "[DONE]")?;
            return Ok(());
        }
        let event: Value = serde_json::from_str(data).map_err(|err| failed("generation", err))?;
        let text = event["choices"][0]["text"].as_str().unwrap_or_default();
        write!(out, "{text}")?;
        out.flush()?;
    }
    Err(failed("generation", "the stream ended without [DONE]"))
}

/// Stays up until the process is ended, after printing how to try it.
///
/// # Errors
///
/// Writing fails.
pub fn serve(fleet: &EmbeddedFleet, out: &mut impl Write) -> OpResult<()> {
    let address = fleet.callers()[0];
    writeln!(out, "serving; try:")?;
    writeln!(
        out,
        "curl -N http://{address}/v1/completions -H 'Authorization: Bearer {SURVEY_KEY}' \
         -d '{{\"model\":\"survey\",\"prompt\":\"Describe the lens.\",\"stream\":true}}'"
    )?;
    writeln!(
        out,
        "curl http://{address}/apps/bookings/rafts -H 'Authorization: Bearer {BOOKING_KEY}' \
         -H 'Idempotency-Key: try-1' -d '{{\"raft\":\"Njord\"}}'"
    )?;
    let ops: Vec<String> = fleet.plan.vms.iter().map(|vm| vm.control_ops.to_string()).collect();
    writeln!(out, "gypsumchute status {}", ops.join(" "))?;
    out.flush()?;
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}
