//! What other VMs told counts until they say otherwise, or say nothing more.

use crate::support::{NOW, endpoint_id};
use gypsumchute_routing::load::{Load, Loads, PEER_LOAD_TTL_MS};

fn load(tokens: u64) -> Load {
    Load { requests: 1, tokens, ..Load::default() }
}

#[test]
fn a_load_whose_end_was_not_heard_is_forgotten_although_its_vm_goes_on_telling() {
    let mut loads = Loads::default();
    let vm = "vm-1".parse().expect("an id");
    let (lost, renewed) = (endpoint_id("e1"), endpoint_id("e2"));
    loads.set_peer_at(NOW, &vm, lost.clone(), load(1_000));
    for step in 1..=4 {
        let now = NOW + step * PEER_LOAD_TTL_MS / 3;
        loads.set_peer_at(now, &vm, renewed.clone(), load(500));
        loads.expire(now);
    }
    assert_eq!(loads.at(&lost), Load::default());
    assert_eq!(loads.at(&renewed).tokens, 500);
    loads.set_peer(NOW + 2 * PEER_LOAD_TTL_MS, &vm, [(lost.clone(), load(70))]);
    assert_eq!((loads.at(&lost).tokens, loads.at(&renewed).tokens), (70, 0));
}
