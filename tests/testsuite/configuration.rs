//! Tests of the configuration rollout: an accepted version comes into force on every VM within
//! seconds and is never replaced by an older one.

use crate::support::{
    Fleet, base_config_files, config_version, customer_config, customers_file, wait_until,
};
use gypsumchute_standins::platform::PlatformFaults;
use serde_json::json;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

const VM_ZONES: [&str; 4] = ["north", "north", "south", "south"];
/// Maximum time until a published configuration version is in force on every VM.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(7);

/// Returns the configuration files in which the only customer has this rate.
fn customer_rate_files(rate_per_s: f64) -> BTreeMap<String, String> {
    BTreeMap::from([customers_file(&[customer_config("lens-trust", "key", rate_per_s, 10)])])
}

/// Returns the configuration version in force on each VM.
fn versions(fleet: &Fleet) -> Vec<Option<u64>> {
    fleet.vms.iter().map(|vm| config_version(vm.plan.control_ops_address)).collect()
}

#[test]
fn versions_reach_every_vm_and_never_revert() {
    let mut files = base_config_files(&VM_ZONES);
    files.extend(customer_rate_files(10.0));
    let mut fleet = Fleet::start(&VM_ZONES, files);

    let second = fleet.publish(customer_rate_files(20.0));
    assert!(fleet.wait_for_version(second, ROLLOUT_LIMIT), "{:?}", versions(&fleet));

    let invalid_files =
        BTreeMap::from([("20-customers.json".to_owned(), "{ \"customers\": 7 }".to_owned())]);
    let third = fleet.publish(invalid_files);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(versions(&fleet), vec![Some(second); 4], "an invalid version came into force");

    // Four files of 900 KiB each do not fit into one page of the platform's response, which has at
    // most 1 MiB.
    let large_fleet_file =
        json!({ "fleet": { "key_salt": "s" } }).to_string() + &" ".repeat(900 << 10);
    let large_files = (0..4).map(|index| {
        (
            format!("0{index}-fleet.json"),
            match index {
                0 => large_fleet_file.clone(),
                _ => "{}".to_owned() + &" ".repeat(900 << 10),
            },
        )
    });
    let fourth = {
        let mut files = customer_rate_files(30.0);
        files.extend(large_files);
        fleet.publish(files)
    };
    assert!(fourth > third);
    assert!(fleet.wait_for_version(fourth, ROLLOUT_LIMIT), "{:?}", versions(&fleet));

    let stale_platform = PlatformFaults { stuck_at_version: Some(1), ..PlatformFaults::default() };
    fleet.platform.set_faults(stale_platform);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(versions(&fleet), vec![Some(fourth); 4], "an older version came into force");

    let plan = fleet.vms[3].plan.clone();
    fleet.vms[3].control.kill();
    fleet.vms[3].control = fleet.start_control(&plan);
    let recovered =
        wait_until(ROLLOUT_LIMIT, || config_version(plan.control_ops_address) == Some(fourth));
    assert!(
        recovered,
        "the restarted VM did not get the version from a peer: {:?}",
        versions(&fleet)
    );

    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    thread::sleep(Duration::from_secs(2));
    let fifth = fleet.publish(customer_rate_files(40.0));
    assert_eq!(versions(&fleet), vec![Some(fourth); 4]);
    fleet.platform.set_faults(PlatformFaults::default());
    assert!(fleet.wait_for_version(fifth, ROLLOUT_LIMIT), "{:?}", versions(&fleet));
}

#[test]
fn few_vms_read_the_platform() {
    let calls_per_s = |zones: &[&str]| {
        let mut files = base_config_files(zones);
        files.extend(customer_rate_files(10.0));
        let fleet = Fleet::start(zones, files);
        thread::sleep(Duration::from_secs(2));
        let before = fleet.platform.read_count();
        thread::sleep(Duration::from_secs(6));
        (fleet.platform.read_count() - before) as f64 / 6.0
    };
    let two_vms_per_s = calls_per_s(&["north", "north"]);
    let six_vms_per_s = calls_per_s(&["north"; 6]);
    assert!(
        six_vms_per_s <= two_vms_per_s + 1.0,
        "platform calls per second: {six_vms_per_s} from six VMs, {two_vms_per_s} from two"
    );
}
