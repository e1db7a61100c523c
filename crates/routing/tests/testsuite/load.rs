//! Tests that load reports of peer VMs count until they are replaced or expire.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::load::{Load, LoadTable, PEER_LOAD_TTL_MS};

fn load(tokens: u64) -> Load {
    Load { requests: 1, reserved_tokens: tokens, ..Load::default() }
}

#[test]
fn a_load_that_is_not_reported_again_expires_while_its_vm_reports_others() {
    let mut loads = LoadTable::default();
    let vm = "vm-1".parse().expect("valid id");
    let (not_renewed, renewed) = (endpoint_id("e1"), endpoint_id("e2"));
    loads.set_peer_load(NOW, &vm, not_renewed.clone(), load(1_000));
    for step in 1..=4 {
        let now = NOW + step * PEER_LOAD_TTL_MS / 3;
        loads.set_peer_load(now, &vm, renewed.clone(), load(500));
        loads.expire(now);
    }
    assert_eq!(loads.total(&not_renewed), Load::default());
    assert_eq!(loads.total(&renewed).reserved_tokens, 500);
    loads.replace_peer_loads(NOW + 2 * PEER_LOAD_TTL_MS, &vm, [(not_renewed.clone(), load(70))]);
    assert_eq!(
        (loads.total(&not_renewed).reserved_tokens, loads.total(&renewed).reserved_tokens),
        (70, 0)
    );
}
