//! Orders to endpoints: what the configuration asks for is loaded, numbered by its version.

use crate::support::{
    Fleet, base_files, endpoint, endpoints_file, standin_page, start_engine, wait_until,
};
use gypsumchute::util::ports::free_address;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const ZONES: [&str; 3] = ["north", "north", "north"];
const SECONDS: Duration = Duration::from_secs(5);
/// When a change of the configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

fn routes(model_version: &str) -> (String, String) {
    let routes = json!({
        "model_routes": [{ "id": "survey", "model_version": model_version }],
        "app_routes": [],
    });
    ("30-routes.json".to_owned(), routes.to_string())
}

fn loaded(engine: SocketAddr) -> String {
    standin_page(engine, "/-/load")["loaded"].as_str().unwrap_or("").to_owned()
}

#[test]
fn engines_load_what_the_configuration_asks_for_and_never_an_older_version() {
    let engine = free_address().unwrap();
    let _engine = start_engine(engine, json!({ "checks_order_number": false }));
    let mut files = base_files(&ZONES);
    files.extend([
        routes("lens-7"),
        endpoints_file(&[endpoint("engine-1", "north", engine, &["survey"])]),
    ]);
    let mut fleet = Fleet::start(&ZONES, files);
    assert!(wait_until(SECONDS, || loaded(engine) == "lens-7"), "{}", loaded(engine));

    // Each VM in turn sleeps through a change and wakes: one of them was the owner.
    for vm in 0..3 {
        let wanted = format!("lens-{}", vm + 8);
        fleet.vms[vm].control.freeze();
        fleet.publish(BTreeMap::from([routes(&wanted)]));
        let in_time = wait_until(IN_FORCE, || loaded(engine) == wanted);
        fleet.vms[vm].control.thaw();
        std::thread::sleep(Duration::from_secs(3));
        assert!(in_time && loaded(engine) == wanted, "{} of {wanted}", loaded(engine));
    }
    let log = standin_page(engine, "/-/orders");
    let numbers: Vec<u64> =
        log.as_array().unwrap().iter().filter_map(|order: &Value| order[0].as_u64()).collect();
    assert!(numbers.is_sorted(), "an older order came after a newer one: {numbers:?}");
    fleet.vms[0].control.kill();
}
