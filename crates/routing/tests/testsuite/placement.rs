//! Tests placement under the load patterns that the module documentation lists.

use crate::support::{
    FleetState, MEMORY_TOKENS, NOW, endpoint_id, engine_service, generation_load, plain_service,
};
use gypsumchute_routing::RouteKind;
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_routing::placement::{
    Placement, choose_backup_engine, choose_endpoint, choose_migration_target, needs_backup,
};
use std::collections::BTreeMap;

fn placed_at(name: &str) -> Placement {
    Placement::Endpoint(endpoint_id(name))
}

#[test]
fn long_generations_spread_over_engines_until_all_are_full() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("e2", "a"), ("e3", "b")]);
    let service = engine_service();
    let mut placed: BTreeMap<String, u32> = BTreeMap::new();
    for random_value in 0.. {
        let load = generation_load(4_000);
        match choose_endpoint(NOW, state.fleet(), state.request(&service, load, random_value)) {
            Placement::Endpoint(endpoint) => {
                *placed.entry(endpoint.to_string()).or_default() += 1;
                state.loads.add_local(&endpoint, load);
            }
            other => {
                assert_eq!(other, Placement::AtCapacity);
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
fn requests_stay_in_the_local_zone_while_it_has_capacity() {
    let mut state = FleetState::with_endpoints(&[("near", "a"), ("far", "b")]);
    let service = engine_service();
    let load = generation_load(2_500);
    for random_value in 0..2 {
        let placed =
            choose_endpoint(NOW, state.fleet(), state.request(&service, load, random_value));
        assert_eq!(placed, placed_at("near"));
        state.loads.add_local(&endpoint_id("near"), load);
    }
    state.loads.add_local(&endpoint_id("near"), generation_load(10_000));
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 9)),
        placed_at("far")
    );
}

#[test]
fn loads_of_peer_vms_count() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("e2", "a")]);
    let vm = "vm-2".parse().expect("valid id");
    state.loads.replace_peer_loads(NOW, &vm, [(endpoint_id("e1"), generation_load(20_000))]);
    let service = engine_service();
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, generation_load(3_000), 1)),
        placed_at("e2")
    );
}

#[test]
fn a_failed_endpoint_is_avoided_until_the_suspicion_decays() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("e2", "b")]);
    let service = plain_service();
    state.outcomes.record_outcome(NOW, &endpoint_id("e1"), RequestOutcome::TransportError);
    let load = generation_load(0);
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("e2")
    );
    let later = NOW + 10_000;
    assert_eq!(
        choose_endpoint(later, state.fleet(), state.request(&service, load, 1)),
        placed_at("e1")
    );
}

#[test]
fn a_service_without_endpoints_is_not_reported_as_full() {
    let state = FleetState::with_endpoints(&[]);
    let service = engine_service();
    let placed =
        choose_endpoint(NOW, state.fleet(), state.request(&service, generation_load(1), 1));
    assert_eq!(placed, Placement::NoEndpoint);
}

#[test]
fn a_generation_migrates_within_the_zone_of_its_engine_if_possible() {
    let state = FleetState::with_endpoints(&[("e1", "b"), ("e2", "b"), ("e3", "a")]);
    let service = engine_service();
    let mut state = state;
    state.excluded_endpoints.insert(endpoint_id("e1"));
    let request = state.request(&service, generation_load(4_000), 3);
    assert_eq!(
        choose_migration_target(NOW, state.fleet(), request, &endpoint_id("e1")),
        placed_at("e2")
    );
    assert_eq!(choose_endpoint(NOW, state.fleet(), request), placed_at("e3"));
    state.loads.add_local(&endpoint_id("e2"), generation_load(20_000));
    let migration_target = |state: &FleetState| {
        choose_migration_target(
            NOW,
            state.fleet(),
            state.request(&service, generation_load(4_000), 3),
            &endpoint_id("e1"),
        )
    };
    assert_eq!(
        migration_target(&state),
        placed_at("e2"),
        "a fuller engine in the same zone is preferred to another zone"
    );
    state.loads.add_local(&endpoint_id("e2"), generation_load(8_000));
    assert_eq!(migration_target(&state), placed_at("e3"));
}

#[test]
fn backups_use_only_spare_memory() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("e2", "a")]);
    let service = engine_service();
    let load = generation_load(4_000);
    let current_engine = endpoint_id("e1");
    let backup_target = |state: &FleetState| {
        choose_backup_engine(
            NOW,
            state.fleet(),
            state.request(&service, load, 1),
            &current_engine,
            None,
        )
    };
    assert_eq!(backup_target(&state), Some(endpoint_id("e2")));
    let used = Load { backup_tokens: MEMORY_TOKENS * 4 / 10, ..Load::default() };
    state.loads.add_local(&endpoint_id("e2"), used);
    assert_eq!(backup_target(&state), None);
}

#[test]
fn no_backup_goes_to_an_engine_with_unreported_load() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("far", "b")]);
    let service = engine_service();
    let current_engine = endpoint_id("e1");
    let backup_target = |state: &FleetState| {
        choose_backup_engine(
            NOW,
            state.fleet(),
            state.request(&service, generation_load(4_000), 1),
            &current_engine,
            None,
        )
    };
    assert_eq!(backup_target(&state), Some(endpoint_id("far")));
    state.has_all_zone_loads = false;
    assert_eq!(backup_target(&state), None);
}

#[test]
fn short_resumable_generations_get_no_backup() {
    assert!(needs_backup(RouteKind::Generation { resumable: false }, 10));
    assert!(!needs_backup(RouteKind::Generation { resumable: true }, 20));
    assert!(needs_backup(RouteKind::Generation { resumable: true }, 1_000));
    assert!(!needs_backup(RouteKind::Idempotent, 1_000));
}

#[test]
fn zones_with_unreported_load_do_not_look_empty() {
    let mut state = FleetState::with_endpoints(&[("near", "a"), ("far", "b")]);
    state.loads.add_local(&endpoint_id("near"), generation_load(15_000));
    let service = engine_service();
    let load = generation_load(3_000);
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("far")
    );
    state.has_all_zone_loads = false;
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("near")
    );
    state.loads.add_local(&endpoint_id("near"), generation_load(13_000));
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("far")
    );
}

#[test]
fn concurrent_prompts_are_prefilled_by_different_engines() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    // Engine e1 uses little memory but has a prompt to prefill; e2 is decoding long outputs.
    let prefilling = Load { pending_prefill_tokens: 3_000, ..generation_load(3_200) };
    state.loads.add_local(&endpoint_id("e1"), prefilling);
    state.loads.add_local(&endpoint_id("e2"), generation_load(6_000));
    state.loads.add_local(&endpoint_id("e3"), generation_load(20_000));
    let service = engine_service();
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, generation_load(3_200), 1)),
        placed_at("e2")
    );
}

#[test]
fn a_loaded_fleet_makes_no_backups_on_its_free_engines() {
    let mut state = FleetState::with_endpoints(&[("e1", "a"), ("e2", "a"), ("empty", "a")]);
    let service = engine_service();
    let load = generation_load(4_000);
    let current_engine = endpoint_id("e1");
    let backup_target = |state: &FleetState| {
        choose_backup_engine(
            NOW,
            state.fleet(),
            state.request(&service, load, 1),
            &current_engine,
            None,
        )
    };
    state.loads.add_local(&endpoint_id("e1"), generation_load(12_000));
    state.loads.add_local(&endpoint_id("e2"), generation_load(6_000));
    assert_eq!(backup_target(&state), Some(endpoint_id("empty")));
    state.loads.add_local(&endpoint_id("e2"), generation_load(15_000));
    assert_eq!(backup_target(&state), None);
}

#[test]
fn an_unreachable_zone_ranks_last() {
    let mut state = FleetState::with_endpoints(&[("near", "a"), ("cut", "b"), ("far", "c")]);
    state.loads.add_local(&endpoint_id("near"), generation_load(22_000));
    state.loads.add_local(&endpoint_id("far"), generation_load(10_000));
    let service = engine_service();
    let load = generation_load(4_000);
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("cut")
    );
    state.unreachable_zones.insert("b".parse().expect("valid id"));
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("far")
    );
    state.excluded_endpoints.extend([endpoint_id("near"), endpoint_id("far")]);
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("cut")
    );
}

#[test]
fn endpoints_with_delayed_load_rank_after_endpoints_with_current_load() {
    let mut state = FleetState::with_endpoints(&[("own", "a"), ("late", "a")]);
    state.delayed_load_endpoints.insert(endpoint_id("late"));
    state.loads.add_local(&endpoint_id("own"), generation_load(6_000));
    let service = engine_service();
    let load = generation_load(3_000);
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("own")
    );
    // All VMs with delayed reports see the same engine as the least loaded one and would all
    // choose it at the same time.
    state.loads.add_local(&endpoint_id("own"), generation_load(10_000));
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("own")
    );
    state.loads.add_local(&endpoint_id("own"), generation_load(4_000));
    assert_eq!(
        choose_endpoint(NOW, state.fleet(), state.request(&service, load, 1)),
        placed_at("late")
    );
}

#[test]
fn a_request_limited_to_zones_runs_and_is_backed_up_only_there() {
    let mut state = FleetState::with_endpoints(&[("near", "a"), ("home-1", "b"), ("home-2", "b")]);
    state.allowed_zones.insert("b".parse().expect("valid id"));
    let service = engine_service();
    let load = generation_load(3_000);
    let request = state.request(&service, load, 1);
    let Placement::Endpoint(first) = choose_endpoint(NOW, state.fleet(), request) else {
        panic!("the request was not placed")
    };
    let backup =
        choose_backup_engine(NOW, state.fleet(), request, &first, None).expect("a backup target");
    let permitted = [endpoint_id("home-1"), endpoint_id("home-2")];
    assert!(first != backup && permitted.contains(&first) && permitted.contains(&backup));
    state.allowed_zones = ["c".parse().expect("valid id")].into();
    let request = state.request(&service, load, 1);
    assert_eq!(choose_endpoint(NOW, state.fleet(), request), Placement::NoEndpoint);
}
