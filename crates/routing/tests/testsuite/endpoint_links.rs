//! Detection of lost links to endpoints.

use gypsumchute_routing::endpoint_links::{ConnectFailure, EndpointLinks};
use gypsumchute_units::{BootMs, EndpointId, ServiceId};

fn service() -> ServiceId {
    "books".parse().expect("valid id")
}

fn endpoint(n: u32) -> EndpointId {
    format!("book-{n}").parse().expect("valid id")
}

/// Records failed connections to the endpoints of these numbers, out of ten, 100 ms apart. Returns
/// whether the links count as lost after each.
fn fail(links: &mut EndpointLinks, start_ms: u64, numbers: &[u32]) -> Vec<bool> {
    let times = (0..).map(|n| BootMs(start_ms + 100 * n));
    let failures = numbers.iter().zip(times).map(|(n, now)| {
        links.on_connect_failed(now, &service(), &endpoint(*n), 10);
        links.are_lost(&service())
    });
    failures.collect()
}

#[test]
fn links_are_lost_once_three_endpoints_fail_in_a_row() {
    let mut links = EndpointLinks::default();
    assert_eq!(fail(&mut links, 0, &[1, 1, 1, 2, 3, 4]), [false, false, false, false, true, true]);
    let work = links.on_connected(BootMs(900), &service());
    assert!(work.were_lost);
    assert_eq!(work.unreachable, [], "the links were at fault, not the endpoints");
    assert!(!links.are_lost(&service()));
}

#[test]
fn an_established_connection_shows_that_the_failures_before_it_are_the_endpoints_own() {
    let mut links = EndpointLinks::default();
    fail(&mut links, 0, &[1, 2]);
    let work = links.on_connected(BootMs(300), &service());
    assert_eq!((work.were_lost, work.unreachable), (false, vec![endpoint(1), endpoint(2)]));
    assert_eq!(fail(&mut links, 400, &[3, 4, 5]), [false, false, true]);
}

#[test]
fn old_failures_do_not_count() {
    let mut links = EndpointLinks::default();
    assert_eq!(fail(&mut links, 0, &[1, 2]), [false, false]);
    assert_eq!(fail(&mut links, 3_100, &[3]), [false]);
    assert!(links.on_connected(BootMs(7_000), &service()).unreachable.is_empty());
}

#[test]
fn a_service_with_few_endpoints_needs_fewer_failures_but_more_than_one() {
    let now = BootMs(0);
    let mut links = EndpointLinks::default();
    let first = links.on_connect_failed(now, &service(), &endpoint(1), 1);
    assert_eq!(first, ConnectFailure::Unexplained);
    let second = links.on_connect_failed(now, &service(), &endpoint(2), 2);
    assert_eq!(second, ConnectFailure::LinksLost { failed_endpoints: 2 });
    let third = links.on_connect_failed(now, &service(), &endpoint(1), 2);
    assert_eq!(third, ConnectFailure::LinksStillLost);
}

#[test]
fn services_are_told_apart() {
    let mut links = EndpointLinks::default();
    let other: ServiceId = "engines".parse().expect("valid id");
    fail(&mut links, 0, &[1, 2]);
    links.on_connected(BootMs(250), &other);
    assert_eq!(fail(&mut links, 300, &[3]), [true]);
    assert!(!links.are_lost(&other));
    links.retain(|service| *service == other);
    assert!(!links.are_lost(&service()));
}
