//! Tests route matching, service weights and API keys.

use gypsumchute_config::KeyHash;
use gypsumchute_routing::{Customer, Priority, Route, RouteKind, RoutingTable, WeightedService};

fn route(id: &str) -> Route {
    Route {
        id: id.parse().expect("valid id"),
        kind: RouteKind::Idempotent,
        response_timeout_ms: 1_000,
        latency_target_ms: 100,
        inter_event_target_ms: 0,
        priority: Priority(1),
        max_endpoints: 2,
        allows_anonymous: false,
        services: vec![],
        regions: [].into(),
    }
}

#[test]
fn the_longest_prefix_that_ends_at_a_slash_wins() {
    let mut table = RoutingTable::default();
    table.add_route("Models.example", "/a/", route("short"));
    table.add_route("models.example", "/a/b/", route("long"));
    let matching = |host: &str, path: &str| {
        table.route(host, path).map_or("-".to_owned(), |route| route.id.to_string())
    };
    let paths = ["/a/b/c", "/a/b/", "/a/b", "/a/bc/d", "/a", "/", "/x/a/b/"];
    let routes: Vec<_> = paths.iter().map(|path| matching("models.example:80", path)).collect();
    assert_eq!(routes, ["long", "long", "short", "short", "-", "-", "-"]);
    assert_eq!(matching("other.example", "/a/b/c"), "-");
}

#[test]
fn requests_are_split_by_weight() {
    let services = [("s1", 90), ("s2", 10), ("s3", 0)].map(|(service, weight)| WeightedService {
        service: service.parse().expect("valid id"),
        weight,
    });
    let route = Route { services: services.into(), ..route("r") };
    let count = |name: &str| {
        let hits = (0..1_000).filter_map(|random_value| route.choose_service(random_value));
        hits.filter(|service| service.as_str() == name).count()
    };
    assert_eq!((count("s1"), count("s2"), count("s3")), (900, 100, 0));
}

#[test]
fn a_customer_may_have_several_keys() {
    let mut table = RoutingTable::default();
    let customer = Customer { id: "acme".parse().expect("valid id"), priority: None };
    table.add_key(KeyHash::of("", "k1"), customer.clone());
    table.add_key(KeyHash::of("", "k2"), customer.clone());
    assert_eq!(table.customer_of_key("k2"), Some(&customer));
    assert_eq!(table.customer_of_key("k3"), None);
}

#[test]
fn a_route_limited_to_regions_allows_only_their_zones() {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(zone, region)| (zone.parse().expect("valid id"), region.parse().expect("valid id")));
    let zones = |region_ids: &[&str]| {
        let region_ids =
            region_ids.iter().map(|region| region.parse().expect("valid id")).collect();
        let route = Route { regions: region_ids, ..route("r") };
        route
            .allowed_zones(&regions.clone().into())
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    assert_eq!(zones(&[]), [""; 0]);
    assert_eq!(zones(&["north"]), ["a", "b"]);
    assert_eq!(
        zones(&["elsewhere"]),
        ["-none-"],
        "a route limited to unknown regions must not allow all zones"
    );
}
