//! Where requests go, under the load patterns that the module names.

use crate::support::{
    Knowledge, MEMORY_TOKENS, NOW, endpoint_id, engine_service, plain_service, run_of,
};
use gypsumchute_routing::RouteKind;
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::Outcome;
use gypsumchute_routing::placement::{Placement, deserves_backup, place, place_backup, place_copy};
use std::collections::BTreeMap;

fn at(name: &str) -> Placement {
    Placement::At(endpoint_id(name))
}

#[test]
fn long_generations_spread_over_engines_until_all_are_full() {
    let mut known = Knowledge::of(&[("e1", "a"), ("e2", "a"), ("e3", "b")]);
    let service = engine_service();
    let mut placed: BTreeMap<String, u32> = BTreeMap::new();
    for draw in 0.. {
        let load = run_of(4_000);
        match place(NOW, known.fleet(), known.demand(&service, load, draw)) {
            Placement::At(endpoint) => {
                *placed.entry(endpoint.to_string()).or_default() += 1;
                known.loads.add(&endpoint, load);
            }
            other => {
                assert_eq!(other, Placement::Full);
                break;
            }
        }
    }
    insta::assert_debug_snapshot!(placed, @r#"
    {
        "e1": 6,
        "e2": 6,
        "e3": 6,
    }
    "#);
}

#[test]
fn requests_stay_in_their_zone_while_it_has_room() {
    let mut known = Knowledge::of(&[("near", "a"), ("far", "b")]);
    let service = engine_service();
    let load = run_of(2_500);
    for draw in 0..2 {
        let placed = place(NOW, known.fleet(), known.demand(&service, load, draw));
        assert_eq!(placed, at("near"));
        known.loads.add(&endpoint_id("near"), load);
    }
    known.loads.add(&endpoint_id("near"), run_of(10_000));
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 9)), at("far"));
}

#[test]
fn requests_of_other_vms_count() {
    let mut known = Knowledge::of(&[("e1", "a"), ("e2", "a")]);
    let vm = "vm-2".parse().expect("an id");
    known.loads.set_peer(NOW, &vm, [(endpoint_id("e1"), run_of(20_000))]);
    let service = engine_service();
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, run_of(3_000), 1)), at("e2"));
}

#[test]
fn an_endpoint_that_fails_is_left_alone_until_it_is_forgotten() {
    let mut known = Knowledge::of(&[("e1", "a"), ("e2", "b")]);
    let service = plain_service();
    known.outcomes.observe(NOW, &endpoint_id("e1"), Outcome::Broken);
    let load = run_of(0);
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("e2"));
    let later = NOW + 10_000;
    assert_eq!(place(later, known.fleet(), known.demand(&service, load, 1)), at("e1"));
}

#[test]
fn no_endpoint_differs_from_no_room() {
    let known = Knowledge::of(&[]);
    let service = engine_service();
    let placed = place(NOW, known.fleet(), known.demand(&service, run_of(1), 1));
    assert_eq!(placed, Placement::Nowhere);
}

#[test]
fn a_run_that_leaves_is_copied_within_its_engines_zone() {
    let known = Knowledge::of(&[("e1", "b"), ("e2", "b"), ("e3", "a")]);
    let service = engine_service();
    let mut known = known;
    known.avoid.insert(endpoint_id("e1"));
    let demand = known.demand(&service, run_of(4_000), 3);
    assert_eq!(place_copy(NOW, known.fleet(), demand, &endpoint_id("e1")), at("e2"));
    assert_eq!(place(NOW, known.fleet(), demand), at("e3"));
    known.loads.add(&endpoint_id("e2"), run_of(20_000));
    let copy = |known: &Knowledge| {
        place_copy(NOW, known.fleet(), known.demand(&service, run_of(4_000), 3), &endpoint_id("e1"))
    };
    assert_eq!(copy(&known), at("e2"), "a fuller engine of the zone is reached in time");
    known.loads.add(&endpoint_id("e2"), run_of(8_000));
    assert_eq!(copy(&known), at("e3"));
}

#[test]
fn backups_take_only_memory_that_runs_do_not_need() {
    let mut known = Knowledge::of(&[("e1", "a"), ("e2", "a")]);
    let service = engine_service();
    let load = run_of(4_000);
    let run_at = endpoint_id("e1");
    let backup = |known: &Knowledge| {
        place_backup(NOW, known.fleet(), known.demand(&service, load, 1), &run_at)
    };
    assert_eq!(backup(&known), Some(endpoint_id("e2")));
    let taken = Load { backup_tokens: MEMORY_TOKENS * 4 / 10, ..Load::default() };
    known.loads.add(&endpoint_id("e2"), taken);
    assert_eq!(backup(&known), None);
}

#[test]
fn no_backup_goes_where_the_load_is_not_seen() {
    let mut known = Knowledge::of(&[("e1", "a"), ("far", "b")]);
    let service = engine_service();
    let run_at = endpoint_id("e1");
    let backup = |known: &Knowledge| {
        place_backup(NOW, known.fleet(), known.demand(&service, run_of(4_000), 1), &run_at)
    };
    assert_eq!(backup(&known), Some(endpoint_id("far")));
    known.sees_all_zones = false;
    assert_eq!(backup(&known), None);
}

#[test]
fn short_generations_that_may_run_again_leave_backups_to_the_others() {
    assert!(deserves_backup(RouteKind::Generation { resumable: false }, 10));
    assert!(!deserves_backup(RouteKind::Generation { resumable: true }, 20));
    assert!(deserves_backup(RouteKind::Generation { resumable: true }, 1_000));
    assert!(!deserves_backup(RouteKind::Idempotent, 1_000));
}

#[test]
fn other_zones_whose_load_is_not_seen_do_not_look_empty() {
    let mut known = Knowledge::of(&[("near", "a"), ("far", "b")]);
    known.loads.add(&endpoint_id("near"), run_of(15_000));
    let service = engine_service();
    let load = run_of(3_000);
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("far"));
    known.sees_all_zones = false;
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("near"));
    known.loads.add(&endpoint_id("near"), run_of(13_000));
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("far"));
}

#[test]
fn prompts_that_arrive_together_are_read_by_different_engines() {
    let mut known = Knowledge::of(&[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    // The first holds little but has a prompt to read; the second works on long outputs.
    let reading = Load { unread_tokens: 3_000, ..run_of(3_200) };
    known.loads.add(&endpoint_id("e1"), reading);
    known.loads.add(&endpoint_id("e2"), run_of(6_000));
    known.loads.add(&endpoint_id("e3"), run_of(20_000));
    let service = engine_service();
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, run_of(3_200), 1)), at("e2"));
}

#[test]
fn a_crowded_fleet_keeps_its_empty_engines_for_runs() {
    let mut known = Knowledge::of(&[("e1", "a"), ("e2", "a"), ("empty", "a")]);
    let service = engine_service();
    let load = run_of(4_000);
    let run_at = endpoint_id("e1");
    let backup = |known: &Knowledge| {
        place_backup(NOW, known.fleet(), known.demand(&service, load, 1), &run_at)
    };
    known.loads.add(&endpoint_id("e1"), run_of(12_000));
    known.loads.add(&endpoint_id("e2"), run_of(6_000));
    assert_eq!(backup(&known), Some(endpoint_id("empty")));
    known.loads.add(&endpoint_id("e2"), run_of(15_000));
    assert_eq!(backup(&known), None);
}

#[test]
fn a_zone_that_seems_cut_off_comes_last() {
    let mut known = Knowledge::of(&[("near", "a"), ("cut", "b"), ("far", "c")]);
    known.loads.add(&endpoint_id("near"), run_of(22_000));
    known.loads.add(&endpoint_id("far"), run_of(10_000));
    let service = engine_service();
    let load = run_of(4_000);
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("cut"));
    known.silent_zones.insert("b".parse().expect("an id"));
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("far"));
    known.avoid.extend([endpoint_id("near"), endpoint_id("far")]);
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("cut"));
}

#[test]
fn endpoints_whose_load_is_heard_late_come_after_those_that_are_known() {
    let mut known = Knowledge::of(&[("own", "a"), ("late", "a")]);
    known.heard_late.insert(endpoint_id("late"));
    known.loads.add(&endpoint_id("own"), run_of(6_000));
    let service = engine_service();
    let load = run_of(3_000);
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("own"));
    // All VMs that hear late see the same engine as the emptiest, and would go there together.
    known.loads.add(&endpoint_id("own"), run_of(10_000));
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("own"));
    known.loads.add(&endpoint_id("own"), run_of(4_000));
    assert_eq!(place(NOW, known.fleet(), known.demand(&service, load, 1)), at("late"));
}

#[test]
fn a_request_with_homes_runs_and_is_backed_up_there_only() {
    let mut known = Knowledge::of(&[("near", "a"), ("home-1", "b"), ("home-2", "b")]);
    known.zones.insert("b".parse().expect("an id"));
    let service = engine_service();
    let load = run_of(3_000);
    let demand = known.demand(&service, load, 1);
    let Placement::At(first) = place(NOW, known.fleet(), demand) else { panic!("a place") };
    let backup = place_backup(NOW, known.fleet(), demand, &first).expect("a backup");
    let homes = [endpoint_id("home-1"), endpoint_id("home-2")];
    assert!(first != backup && homes.contains(&first) && homes.contains(&backup));
    known.zones = ["c".parse().expect("an id")].into();
    let demand = known.demand(&service, load, 1);
    assert_eq!(place(NOW, known.fleet(), demand), Placement::Nowhere);
}
