//! Tests of the operators' command, `gypsumchute`.

use crate::support::{Fleet, KEY_SALT, base_config_files, customer_config, wait_until};
use gypsumchute_config::KeyHash;
use serde_json::json;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;

/// Runs `gypsumchute` with `args`, and returns the exit code, standard output and standard error.
fn run_gypsumchute(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_gypsumchute")).args(args).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

#[test]
fn check_reports_errors_and_show_hides_keys() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().to_str().unwrap();
    let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
    write("10-zones.json", r#"{ "zones": [{ "id": "umea-b" }] } // one zone"#);
    let customers = json!({ "customers": [customer_config("lens-trust", "secret", 20.0, 40)] });
    write("20-customers.json", &customers.to_string());
    let (exit_code, stdout, _) = run_gypsumchute(&["check", path]);
    assert_eq!(
        (exit_code, stdout.trim()),
        (0, "good: 1 zones, 1 customers, 1 keys, 0 routes, 0 endpoints")
    );

    let (exit_code, stdout, _) = run_gypsumchute(&["show", path]);
    let hash = KeyHash::of(KEY_SALT, "secret").to_string();
    assert_eq!(exit_code, 0);
    assert!(stdout.contains("lens-trust") && stdout.contains(&hash[..8]), "{stdout}");
    assert!(
        !stdout.contains(&hash) && !stdout.contains("secret"),
        "`show` prints a key or a complete key hash"
    );

    write("30-more.json", "{ \"zones\": [\n  { \"id\": \"umea-b\" }\n] }");
    let (exit_code, _, stderr) = run_gypsumchute(&["check", path]);
    insta::assert_snapshot!(format!("{exit_code} {stderr}"), @r#"1 error: 30-more.json:2:3: `umea-b` stands in `zones` at 10-zones.json:1:13 already; rename one, or add "override": true to change the earlier one"#);
}

#[test]
fn hash_key_reads_the_key_from_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumchute"))
        .args(["hash-key", "--salt", KEY_SALT])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"secret\n").unwrap();
    let output = child.wait_with_output().unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(printed.trim(), KeyHash::of(KEY_SALT, "secret").to_string());
}

#[test]
fn demo_prints_both_responses_and_serve_prints_working_commands() {
    let (exit_code, stdout, stderr) = run_gypsumchute(&["demo"]);
    assert_eq!(exit_code, 0, "{stderr}");
    assert!(stdout.contains("token 1 token 2") && stdout.contains("token 24"), "{stdout}");
    assert!(stdout.contains("answer of app-"), "{stdout}");

    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumchute"))
        .args(["demo", "--serve"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    let commands: Vec<String> =
        lines.skip_while(|line| !line.starts_with("curl")).take(3).collect();
    let run_in_shell = |line: &String| {
        let output = Command::new("sh").args(["-c", line]).output().unwrap();
        String::from_utf8(output.stdout).unwrap()
    };
    let responses: Vec<String> = commands.iter().map(run_in_shell).collect();
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(responses[0].contains("data: token 24"), "{responses:?}");
    assert!(responses[1].contains("answer of app-"), "{responses:?}");
    assert!(responses[2].contains("gypsumchute_request_ms"), "{responses:?}");
}

#[test]
fn status_lists_every_vm_that_responds() {
    let zones = ["north", "south"];
    let fleet = Fleet::start(&zones, base_config_files(&zones));
    let addresses: Vec<String> =
        fleet.vms.iter().map(|vm| vm.plan.control_ops_address.to_string()).collect();
    let args = ["status", addresses[0].as_str(), addresses[1].as_str()];
    let listed = wait_until(Duration::from_secs(5), || {
        let (exit_code, table, _) = run_gypsumchute(&args);
        exit_code == 0 && table.contains("vm-1") && table.contains("vm-2")
    });
    assert!(listed, "`status` does not list both VMs");
}

#[test]
fn losses_are_counted_by_cause() {
    let log = [
        r#"message="request placed" request=a endpoint=e needs_tokens=100"#,
        r#"1.2 vm-1 message="request ended" request=a outcome=answered status=200"#,
        r#"message="request placed" request=b endpoint=e needs_tokens=300"#,
        r#"message="run was lost or must move; recovery chosen" request=b loss=leaving next=move"#,
        r#"message="run was lost or must move; recovery chosen" request=b loss=broken next=give_up"#,
        r#"message="request ended" request=b outcome=endpoint_lost status=502"#,
        r#"message="request placed" request=c endpoint=e needs_tokens=200"#,
        r#"message="request ended" request=d outcome=no_room status=503"#,
        r#"message="request placed" request=e needs_tokens=0"#,
        r#"message="request ended" request=e outcome=failed status=500"#,
        r#"message="request ended" request=f outcome=endpoint_lost status=502"#,
        r#"message="request ended" request=g outcome=timed_out status=504"#,
        r#"message="request ended" request=h outcome=caller_left status=200"#,
        r#"message="endpoint registered" endpoint=e"#,
        r#"message="request refused" request=i reason=unknown_key"#,
        "no pairs at all",
        "request= message=\"",
    ];
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("log");
    fs::write(&path, [log.join("\n").as_bytes(), b"\n\xff\xfe"].concat()).unwrap();
    let (exit_code, stdout, _) = run_gypsumchute(&["losses", path.to_str().unwrap()]);
    assert_eq!(exit_code, 0);
    insta::assert_snapshot!(stdout.trim_end(), @r"
    cause                                 requests  tokens  of all tokens
    ended with its VM                     1         200     33.3%
    engine left before the run had moved  1         300     50.0%
    endpoint or its answer lost           1         0       0.0%
    refused: no room                      1         0       0.0%
    time limit                            1         0       0.0%
    the service's own error               1         0       0.0%
    caller left                           1         0       0.0%
    all requests                          8         600
    ");
    let (exit_code, _, stderr) = run_gypsumchute(&["losses", "no-such-file"]);
    assert_eq!(exit_code, 1);
    assert!(stderr.contains("cannot read no-such-file"), "{stderr}");
}
