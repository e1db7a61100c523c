//! Every mistake that operators can make is named with file, line, column and a fix.

use gypsumchute_config::{FleetConfig, KeyHash};
use std::collections::BTreeMap;

fn outcome(files: &[(&str, &str)]) -> String {
    let files: BTreeMap<String, String> =
        files.iter().map(|(name, text)| ((*name).to_owned(), (*text).to_owned())).collect();
    match FleetConfig::from_files(1, &files) {
        Ok(config) => format!("good: {} customers", config.customers.len()),
        Err(errors) => errors.to_string(),
    }
}

fn in_one_file(text: &str) -> String {
    outcome(&[("a.json", text)])
}

#[test]
fn a_good_folder_merges_in_name_order() {
    let merged = outcome(&[
        ("10-base.json", r#"{ "customers": [{ "id": "a", "rate_per_s": 1, "burst": 1 }] } // c"#),
        ("20-more.json", r#"{ "customers": [{ "id": "b", "rate_per_s": 2, "burst": 2, }] }"#),
        ("30-change.json", r#"{ "customers": [{ "id": "a", "override": true, "burst": 9 }] }"#),
    ]);
    insta::assert_snapshot!(merged, @"good: 2 customers");
}

#[test]
fn syntax_and_shape() {
    let all = [
        in_one_file("{ \"zones\": [ }"),
        in_one_file("[]"),
        in_one_file("{ \"zoness\": [] }"),
        in_one_file("{ \"zones\": {} }"),
        in_one_file("{ \"zones\": [1] }"),
        in_one_file("{ \"zones\": [{}] }"),
        in_one_file("{ \"zones\": [], \"zones\": [] }"),
        in_one_file("{\n  \"zones\": [\n    { \"id\": \"n\", \"id\": \"m\" }\n  ]\n}"),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    a.json:1:14: Unexpected close brace; write JSON with comments
    a.json:1:1: the file is not an object; write { … }
    a.json:1:3: unknown section `zoness`; write one of fleet, zones, customers, services, routes, model_routes, app_routes, endpoints
    a.json:1:12: section `zones` has the wrong type; write `fleet` as an object, every other section as a list of objects
    a.json:1:13: this item is not an object; write { "id": … }
    a.json:1:13: this item has no `id`; add "id": "a-name"
    a.json:1:16: section `zones` stands twice in this file; write its items into one list
    a.json:3:18: field `id` stands twice in this item; keep one of the two
    "#);
}

#[test]
fn fields() {
    let customer = |fields: &str| {
        in_one_file(&format!("{{ \"customers\": [\n  {{ \"id\": \"a\", {fields} }}\n] }}"))
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
        in_one_file(r#"{ "zones": [{ "id": "North" }] }"#),
        in_one_file(r#"{ "zones": [{ "id": "n", "state": "away" }] }"#),
        in_one_file(r#"{ "fleet": { "cut_off": "maybe" } }"#),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    a.json:2:45: unknown field `ratte`, expected one of `id`, `keys`, `rate_per_s`, `burst`, `weight`, `priority`; remove it or write one of the fields named here
    a.json:2:16: 0.0 is not above 0 and at most 1000000; write a number such as 20; correct `rate_per_s`
    a.json:2:16: 1e300 is not above 0 and at most 1000000; write a number such as 20; correct `rate_per_s`
    a.json:2:33: a burst of 0.5 admits no request; write 1 or more
    a.json:2:16: invalid type: string "fast", expected f64; write `rate_per_s` in the type expected here
    a.json:2:3: missing field `rate_per_s`; add it to this item
    a.json:2:45: a weight of 0 gives this customer no share; write 1 or more
    a.json:2:67: a key hash is 64 hexadecimal digits; `gypsumchute hash-key` prints one; correct `keys[0].sha256`
    a.json:2:67: unknown field `sha`, expected `id` or `sha256`; remove it or write one of the fields named here
    a.json:1:15: an id has only a-z, 0-9, '-', '_' and '.', not 'N'; correct `id`
    a.json:1:26: unknown variant `away`, expected `in` or `out`; write one of the values named here
    a.json:1:14: unknown variant `maybe`, expected `serve` or `stop`; write one of the values named here
    "#);
}

#[test]
fn references_and_duplicates() {
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
        outcome(&[
            ("a.json", r#"{ "zones": [{ "id": "n" }] }"#),
            ("b.json", "{ \"zones\": [\n  { \"id\": \"n\" }] }"),
        ]),
        outcome(&[("b.json", r#"{ "zones": [{ "id": "n", "override": true }] }"#)]),
        outcome(&[("a.json", r#"{ "fleet": {} }"#), ("b.json", r#"{ "fleet": {} }"#)]),
        in_one_file(&shared),
        in_one_file(endpoint),
        in_one_file(routes),
        in_one_file(r#"{ "zones": [{ "id": "n", "share_weight": 0 }] }"#),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    b.json:2:3: `n` stands in `zones` at a.json:1:13 already; rename one, or add "override": true to change the earlier one
    b.json:1:13: `n` overrides nothing in `zones`; remove "override", or name an id of an earlier file
    b.json:1:12: `fleet` stands at a.json:1:12 already; keep one of the two
    a.json:3:67: key `l` of customer `b` is also key `k` of customer `a`; give each customer a key of its own
    a.json:2:16: no zone is called `m`; name one of `zones`
    a.json:2:66: no route is called `r`; name one of `model_routes` or `app_routes`
    a.json:2:72: a cold_limit of 0 lets this endpoint serve nothing; write 1 or more
    a.json:3:29: endpoint `e` has this address already; give each endpoint its own address
    a.json:4:29: invalid socket address syntax; write `address` as "10.0.0.7:8080"
    a.json:1:33: no customer is called `c`; name one of `customers`
    a.json:1:53: 0 attempts never send a request; write 1 or more
    a.json:2:18: `r` is a model route and an application route; rename one of the two
    a.json:1:13: no zone has a share of the customers' rates; give at least one zone a `share_weight` above 0
    "#);
}

#[test]
fn services_and_routes_by_path() {
    let route = |fields: &str| {
        in_one_file(&format!(
            "{{ \"services\": [{{ \"id\": \"s\" }}], \"routes\": [\n  {{ \"id\": \"r\", {fields} }}\n] }}"
        ))
    };
    let good = r#""host": "h", "path_prefix": "/", "services": [{ "service": "s" }]"#;
    let all = [
        route(good),
        route(r#""host": "http://h", "path_prefix": "/", "services": [{ "service": "s" }]"#),
        route(r#""host": "h", "path_prefix": "/a", "services": [{ "service": "s" }]"#),
        route(r#""host": "h", "path_prefix": "/", "services": []"#),
        route(r#""host": "h", "path_prefix": "/", "services": [{ "service": "t" }]"#),
        route(&format!(r#"{good}, "carries": "generations""#)),
        route(&format!(r#"{good}, "carries": "streams""#)),
        route(&format!(r#"{good}, "max_endpoints": 0"#)),
        route(&format!(r#"{good}, "regions": ["north"]"#)),
        route(&format!(r#"{good} }}, {{ "id": "q", {good}"#)),
        in_one_file(r#"{ "services": [{ "id": "s", "cold_per_s": -1 }] }"#),
        in_one_file(r#"{ "services": [{ "id": "s", "engine": { "memory_tokens": 0 } }] }"#),
        in_one_file(
            r#"{ "zones": [{ "id": "n" }], "endpoints": [
  { "id": "e", "zone": "n", "address": "127.0.0.1:1", "service": "s" }] }"#,
        ),
    ];
    insta::assert_snapshot!(all.join("\n"), @r#"
    good: 0 customers
    a.json:2:16: "http://h" is no host name; write a name without port or scheme
    a.json:2:29: "/a" does not begin and end with a slash; write it as "/surveys/"
    a.json:2:49: no service gets any of its requests; name one with a weight above 0
    a.json:2:64: no service is called `t`; name one of `services`
    a.json:2:64: `s` has no engines for generations; give the service an `engine`
    a.json:2:83: unknown variant `streams`, expected one of `idempotent`, `non_idempotent`, `generations`, `resumable_generations`; write one of the values named here
    a.json:2:83: 0 endpoints never run a request; write 1 or more
    a.json:2:95: no zone lies in region `north`; name the `region` of one of `zones`
    a.json:2:111: route `r` has this host and path already; give each route its own path
    a.json:1:29: -1 is no rate of requests; write 0 or more
    a.json:1:41: an engine without memory serves nothing; write 1 or more
    a.json:2:55: no service is called `s`; name one of `services`
    "#);
}
