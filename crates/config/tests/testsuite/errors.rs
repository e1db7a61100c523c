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
    insta::assert_snapshot!(merged, @"");
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
    insta::assert_snapshot!(all.join("\n"), @"");
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
    insta::assert_snapshot!(all.join("\n"), @"");
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
    insta::assert_snapshot!(all.join("\n"), @"");
}
