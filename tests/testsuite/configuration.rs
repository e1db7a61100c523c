//! An accepted configuration is in force everywhere within seconds and never reverts.

use crate::support::{Fleet, base_files, config_version, customer, customers_file, wait_until};
use gypsumchute_standins::platform::PlatformFaults;
use serde_json::json;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

const ZONES: [&str; 4] = ["north", "north", "south", "south"];
const IN_FORCE: Duration = Duration::from_secs(7);

fn with_rate(rate_per_s: f64) -> BTreeMap<String, String> {
    BTreeMap::from([customers_file(&[customer("lens-trust", "key", rate_per_s, 10)])])
}

fn versions(fleet: &Fleet) -> Vec<Option<u64>> {
    fleet.vms.iter().map(|vm| config_version(vm.plan.control_ops)).collect()
}

#[test]
fn versions_reach_every_vm_and_never_go_back() {
    let mut files = base_files(&ZONES);
    files.extend(with_rate(10.0));
    let mut fleet = Fleet::start(&ZONES, files);

    let second = fleet.publish(with_rate(20.0));
    assert!(fleet.wait_version(second, IN_FORCE), "{:?}", versions(&fleet));

    let bad = BTreeMap::from([("20-customers.json".to_owned(), "{ \"customers\": 7 }".to_owned())]);
    let third = fleet.publish(bad);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(versions(&fleet), vec![Some(second); 4], "a bad version took effect");

    let large = json!({ "fleet": { "key_salt": "s" } }).to_string() + &" ".repeat(900 << 10);
    let many = (0..4).map(|n| {
        (
            format!("0{n}-fleet.json"),
            match n {
                0 => large.clone(),
                _ => "{}".to_owned() + &" ".repeat(900 << 10),
            },
        )
    });
    let fourth = {
        let mut files = with_rate(30.0);
        files.extend(many);
        fleet.publish(files)
    };
    assert!(fourth > third);
    assert!(fleet.wait_version(fourth, IN_FORCE), "{:?}", versions(&fleet));

    let behind = PlatformFaults { stuck_at_version: Some(1), ..PlatformFaults::default() };
    fleet.platform.fault(behind);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(versions(&fleet), vec![Some(fourth); 4], "an older version took effect");

    let plan = fleet.vms[3].plan.clone();
    fleet.vms[3].control.kill();
    fleet.vms[3].control = fleet.start_control(&plan);
    let known = wait_until(IN_FORCE, || config_version(plan.control_ops) == Some(fourth));
    assert!(known, "a restarted VM learns from its peers: {:?}", versions(&fleet));

    fleet.platform.fault(PlatformFaults { down: true, ..PlatformFaults::default() });
    thread::sleep(Duration::from_secs(2));
    let fifth = fleet.publish(with_rate(40.0));
    assert_eq!(versions(&fleet), vec![Some(fourth); 4]);
    fleet.platform.fault(PlatformFaults::default());
    assert!(fleet.wait_version(fifth, IN_FORCE), "{:?}", versions(&fleet));
}

#[test]
fn few_vms_read_the_platform() {
    let calls_per_s = |zones: &[&str]| {
        let mut files = base_files(zones);
        files.extend(with_rate(10.0));
        let fleet = Fleet::start(zones, files);
        thread::sleep(Duration::from_secs(2));
        let before = fleet.platform.calls();
        thread::sleep(Duration::from_secs(6));
        (fleet.platform.calls() - before) as f64 / 6.0
    };
    let two = calls_per_s(&["north", "north"]);
    let six = calls_per_s(&["north"; 6]);
    assert!(six <= two + 1.0, "{six} calls a second by six VMs, {two} by two");
}
