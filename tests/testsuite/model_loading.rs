//! Tests of load commands to engines: an engine loads the configured model version, and the
//! configuration versions that the commands carry never decrease.

use crate::support::{
    Fleet, base_config_files, endpoint_config, endpoints_file, get_standin_json, start_engine,
    wait_until,
};
use gypsumchute::util::ports::free_address;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const VM_ZONES: [&str; 3] = ["north", "north", "north"];
/// Maximum time until an engine has loaded the model version of the first configuration.
const LOADING_LIMIT: Duration = Duration::from_secs(5);
/// Maximum time until a published configuration version is in force on every VM.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(7);

/// Returns the routes file with this model version.
fn routes_file(model_version: &str) -> (String, String) {
    let content = json!({
        "model_routes": [{ "id": "survey", "model_version": model_version }],
        "app_routes": [],
    });
    ("30-routes.json".to_owned(), content.to_string())
}

/// Returns the model version that the engine reports as loaded, or an empty string.
fn loaded_model(engine: SocketAddr) -> String {
    get_standin_json(engine, "/-/load")["loaded"].as_str().unwrap_or("").to_owned()
}

#[test]
fn engines_load_the_configured_model_version_and_never_an_older_one() {
    let engine = free_address().unwrap();
    // The engine accepts every command, so that an outdated one would take effect.
    let _engine = start_engine(engine, json!({ "checks_order_number": false }));
    let mut files = base_config_files(&VM_ZONES);
    files.extend([
        routes_file("lens-7"),
        endpoints_file(&[endpoint_config("engine-1", "north", engine, &["survey"])]),
    ]);
    let mut fleet = Fleet::start(&VM_ZONES, files);
    assert!(
        wait_until(LOADING_LIMIT, || loaded_model(engine) == "lens-7"),
        "{}",
        loaded_model(engine)
    );

    // Each control process in turn is suspended during a change. One of them owns the engine, so
    // another VM must send the command, and the former owner must not send an older one later.
    for vm in 0..3 {
        let configured_version = format!("lens-{}", vm + 8);
        fleet.vms[vm].control.suspend();
        fleet.publish(BTreeMap::from([routes_file(&configured_version)]));
        let in_time = wait_until(ROLLOUT_LIMIT, || loaded_model(engine) == configured_version);
        fleet.vms[vm].control.resume();
        std::thread::sleep(Duration::from_secs(3));
        assert!(
            in_time && loaded_model(engine) == configured_version,
            "engine loaded {}, configured {configured_version}",
            loaded_model(engine)
        );
    }
    let load_orders = get_standin_json(engine, "/-/orders");
    let versions: Vec<u64> = load_orders
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|command: &Value| command[0].as_u64())
        .collect();
    assert!(
        versions.is_sorted(),
        "a command with an older version followed a newer one: {versions:?}"
    );
    fleet.vms[0].control.kill();
}
