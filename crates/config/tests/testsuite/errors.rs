//! Checks that configuration errors are reported with file, line, column and a suggested fix.

use gypsumchute_config::{FleetConfig, KeyHash};
use std::collections::BTreeMap;

/// Returns all errors in `files`, or a summary of the configuration if it is valid.
fn check_files(files: &[(&str, &str)]) -> String {
    let files: BTreeMap<String, String> =
        files.iter().map(|(name, text)| ((*name).to_owned(), (*text).to_owned())).collect();
    match FleetConfig::from_files(1, &files) {
        Ok(config) => format!("valid: {} customers", config.customers.len()),
        Err(errors) => errors.to_string(),
    }
}

fn check_file(text: &str) -> String {
    check_files(&[("a.json", text)])
}

#[test]
fn files_are_merged_in_order_of_their_names() {
    let merged = check_files(&[
        ("10-base.json", r#"{ "customers": [{ "id": "a", "rate_per_s": 1, "burst": 1 }] } // c"#),
        ("20-more.json", r#"{ "customers": [{ "id": "b", "rate_per_s": 2, "burst": 2, }] }"#),
        ("30-change.json", r#"{ "customers": [{ "id": "a", "override": true, "burst": 9 }] }"#),
    ]);
    insta::assert_snapshot!(merged, @"valid: 2 customers");
}

#[test]
fn syntax_and_structure_errors() {
    let all = [
        check_file("{ \"zones\": [ }"),
        check_file("[]"),
        check_file("{ \"zoness\": [] }"),
        check_file("{ \"zones\": {} }"),
        check_file("{ \"zones\": [1] }"),
        check_file("{ \"zones\": [{}] }"),
        check_file("{ \"zones\": [], \"zones\": [] }"),
        check_file("{\n  \"zones\": [\n    { \"id\": \"n\", \"id\": \"m\" }\n  ]\n}"),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    a.json:1:14: Unexpected close brace; correct the JSON syntax (comments and trailing commas are allowed)
    a.json:1:1: the file is not a JSON object; enclose the sections in { … }
    a.json:1:3: unknown section `zoness`; write one of fleet, zones, customers, services, routes, model_routes, app_routes, endpoints
    a.json:1:12: section `zones` has the wrong type; write `fleet` as an object, every other section as a list of objects
    a.json:1:13: this item is not an object; write { "id": … }
    a.json:1:13: this item has no `id`; add "id": "a-name"
    a.json:1:16: duplicate section `zones` in this file; move all items into one list
    a.json:3:18: duplicate field `id` in this item; remove one of the two
    "#);
}

#[test]
fn field_errors() {
    let customer = |fields: &str| {
        check_file(&format!("{{ \"customers\": [\n  {{ \"id\": \"a\", {fields} }}\n] }}"))
    };
    let all = [
        customer(r#""rate_per_s": 1, "burst": 1, "ratte": 3"#),
        customer(r#""rate_per_s": 0, "burst": 1"#),
        customer(r#""rate_per_s": 1e300, "burst": 1"#),
        customer(r#""rate_per_s": 1, "burst": 0.5"#),
        customer(r#""rate_per_s": "fast", "burst": 1"#),
        customer(r#""burst": 1"#),
        customer(r#""rate_per_s": 1, "burst": 1, "weight": 0"#),
        customer(r#""rate_per_s": 1, "burst": 1, "keys": [{ "id": "k", "sha256": "12" }]"#),
        customer(r#""rate_per_s": 1, "burst": 1, "keys": [{ "id": "k", "sha": "12" }]"#),
        check_file(r#"{ "zones": [{ "id": "North" }] }"#),
        check_file(r#"{ "zones": [{ "id": "n", "state": "away" }] }"#),
        check_file(r#"{ "fleet": { "cut_off": "maybe" } }"#),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    a.json:2:45: unknown field `ratte`, expected one of `id`, `keys`, `rate_per_s`, `burst`, `weight`, `priority`; remove it or use one of the listed fields
    a.json:2:16: 0.0 is out of range; use a number above 0 and up to 1000000, such as 20; correct `rate_per_s`
    a.json:2:16: 1e300 is out of range; use a number above 0 and up to 1000000, such as 20; correct `rate_per_s`
    a.json:2:33: a burst of 0.5 admits no request; use 1 or more
    a.json:2:16: invalid type: string "fast", expected f64; change `rate_per_s` to the expected type
    a.json:2:3: missing field `rate_per_s`; add it to this item
    a.json:2:45: a weight of 0 gives this customer no share; use 1 or more
    a.json:2:67: a key hash must have 64 hexadecimal digits; create one with `gypsumchute hash-key`; correct `keys[0].sha256`
    a.json:2:67: unknown field `sha`, expected `id` or `sha256`; remove it or use one of the listed fields
    a.json:1:15: an id can contain only a-z, 0-9, '-', '_' and '.', found 'N'; correct `id`
    a.json:1:26: unknown variant `away`, expected `in` or `out`; use one of the listed values
    a.json:1:14: unknown variant `maybe`, expected `serve` or `stop`; use one of the listed values
    "#);
}

#[test]
fn reference_and_duplicate_errors() {
    let hash = KeyHash::of("s", "k");
    let shared = format!(
        r#"{{ "customers": [
  {{ "id": "a", "rate_per_s": 1, "burst": 1, "keys": [{{ "id": "k", "sha256": "{hash}" }}] }},
  {{ "id": "b", "rate_per_s": 1, "burst": 1, "keys": [{{ "id": "l", "sha256": "{hash}" }}] }}
] }}"#
    );
    let endpoint = r#"{ "zones": [{ "id": "n" }], "endpoints": [
  { "id": "e", "zone": "m", "address": "127.0.0.1:1", "routes": ["r"], "cold_limit": 0 },
  { "id": "f", "zone": "n", "address": "127.0.0.1:1", "routes": [] },
  { "id": "g", "zone": "n", "address": "somewhere", "routes": [] }
] }"#;
    let routes = r#"{ "model_routes": [{ "id": "r", "customers": ["c"], "attempts": 0 }],
  "app_routes": [{ "id": "r" }] }"#;
    let all = [
        check_files(&[
            ("a.json", r#"{ "zones": [{ "id": "n" }] }"#),
            ("b.json", "{ \"zones\": [\n  { \"id\": \"n\" }] }"),
        ]),
        check_files(&[("b.json", r#"{ "zones": [{ "id": "n", "override": true }] }"#)]),
        check_files(&[("a.json", r#"{ "fleet": {} }"#), ("b.json", r#"{ "fleet": {} }"#)]),
        check_file(&shared),
        check_file(endpoint),
        check_file(routes),
        check_file(r#"{ "zones": [{ "id": "n", "share_weight": 0 }] }"#),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    b.json:2:3: `n` stands in `zones` at a.json:1:13 already; rename one, or add "override": true to change the earlier one
    b.json:1:13: `n` has "override", but no earlier item in `zones` has this id; remove "override", or use the id of an earlier item
    b.json:1:12: `fleet` is already defined at a.json:1:12; remove one of the two
    a.json:3:67: key `l` of customer `b` has the same hash as key `k` of customer `a`; use a different key for each customer
    a.json:2:16: zone `m` is not defined; use the id of an item in `zones`
    a.json:2:66: route `r` is not defined; use the id of an item in `model_routes` or `app_routes`
    a.json:2:72: a cold_limit of 0 prevents this endpoint from serving requests; use 1 or more
    a.json:3:29: endpoint `e` already has this address; use a different address for each endpoint
    a.json:4:29: invalid socket address syntax; write `address` like "10.0.0.7:8080"
    a.json:1:33: customer `c` is not defined; use the id of an item in `customers`
    a.json:1:53: with 0 attempts, no request is sent; use 1 or more
    a.json:2:18: `r` is both a model route and an application route; rename one of the two
    a.json:1:13: every zone has a `share_weight` of 0; give at least one zone a `share_weight` above 0
    "#);
}

#[test]
fn service_and_path_route_errors() {
    let route = |fields: &str| {
        check_file(&format!(
            "{{ \"services\": [{{ \"id\": \"s\" }}], \"routes\": [\n  {{ \"id\": \"r\", {fields} }}\n] }}"
        ))
    };
    let valid_fields = r#""host": "h", "path_prefix": "/", "services": [{ "service": "s" }]"#;
    let all = [
        route(valid_fields),
        route(r#""host": "http://h", "path_prefix": "/", "services": [{ "service": "s" }]"#),
        route(r#""host": "h", "path_prefix": "/a", "services": [{ "service": "s" }]"#),
        route(r#""host": "h", "path_prefix": "/", "services": []"#),
        route(r#""host": "h", "path_prefix": "/", "services": [{ "service": "t" }]"#),
        route(&format!(r#"{valid_fields}, "carries": "generations""#)),
        route(&format!(r#"{valid_fields}, "carries": "streams""#)),
        route(&format!(r#"{valid_fields}, "max_endpoints": 0"#)),
        route(&format!(r#"{valid_fields}, "regions": ["north"]"#)),
        route(&format!(r#"{valid_fields} }}, {{ "id": "q", {valid_fields}"#)),
        check_file(r#"{ "services": [{ "id": "s", "cold_per_s": -1 }] }"#),
        check_file(r#"{ "services": [{ "id": "s", "engine": { "memory_tokens": 0 } }] }"#),
        check_file(
            r#"{ "zones": [{ "id": "n" }], "endpoints": [
  { "id": "e", "zone": "n", "address": "127.0.0.1:1", "service": "s" }] }"#,
        ),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    valid: 0 customers
    a.json:2:16: "http://h" is not a host name; use a name without port and scheme
    a.json:2:29: "/a" does not start and end with a slash; write it as "/surveys/"
    a.json:2:49: no service of this route has a weight above 0; add a service with a weight above 0
    a.json:2:64: service `t` is not defined; use the id of an item in `services`
    a.json:2:64: service `s` has no engine to run generations; add an `engine` to the service
    a.json:2:83: unknown variant `streams`, expected one of `idempotent`, `non_idempotent`, `generations`, `resumable_generations`; use one of the listed values
    a.json:2:83: with 0 endpoints, no request is run; use 1 or more
    a.json:2:95: no zone is in region `north`; use the `region` of an item in `zones`
    a.json:2:111: route `r` already has this host and path prefix; use a different host or path prefix for each route
    a.json:1:29: -1 is not a request rate; use 0 or more
    a.json:1:41: an engine without memory can't serve requests; use 1 or more
    a.json:2:55: service `s` is not defined; use the id of an item in `services`
    "#);
}

/// A file of another writer must not take the process down.
#[test]
fn a_very_deeply_nested_file_is_refused() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}"), ("[[{\"a\":[", "]}]]")] {
        for depth in [1_000, 200_000] {
            let text = open.repeat(depth);
            assert!(check_file(&text).contains("a.json:1:"), "{open} {depth}, unclosed");
            let text = format!("{{ \"zones\": {}1{} }}", open.repeat(depth), close.repeat(depth));
            assert!(check_file(&text).contains("a.json:1:"), "{open} {depth}");
        }
    }
}
