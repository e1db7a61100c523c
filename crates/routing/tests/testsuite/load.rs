//! Tests that load reports of peer VMs count until they are replaced or expire.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::load::{Load, Loads, PEER_LOAD_TTL_MS};

fn load(tokens: u64) -> Load {
    Load { requests: 1, tokens, ..Load::default() }
}

#[test]
fn a_load_that_is_not_reported_again_expires_while_its_vm_reports_others() {
    let mut loads = Loads::default();
    let vm = "vm-1".parse().expect("valid id");
    let (not_renewed, renewed) = (endpoint_id("e1"), endpoint_id("e2"));
    loads.set_peer_at(NOW, &vm, not_renewed.clone(), load(1_000));
    for step in 1..=4 {
        let now = NOW + step * PEER_LOAD_TTL_MS / 3;
        loads.set_peer_at(now, &vm, renewed.clone(), load(500));
        loads.expire(now);
    }
    assert_eq!(loads.at(&not_renewed), Load::default());
    assert_eq!(loads.at(&renewed).tokens, 500);
    loads.set_peer(NOW + 2 * PEER_LOAD_TTL_MS, &vm, [(not_renewed.clone(), load(70))]);
    assert_eq!((loads.at(&not_renewed).tokens, loads.at(&renewed).tokens), (70, 0));
}
