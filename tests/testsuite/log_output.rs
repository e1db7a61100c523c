//! The log of a daemon, as a process whose standard output is read late.

use crate::daemons::{DaemonFleet, DaemonProcess};
use crate::support::wait_until;
use gypsumchute_platform_standin::fixtures::{API_KEY, configuration};
use gypsumchute_platform_standin::{CallerRequest, Store};
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// Maximum time for each step of the daemon's start and stop.
const STEP_LIMIT: Duration = Duration::from_secs(15);
/// Number of refused requests. Their lines do not fit into the pipe, and wait in the queue of the log.
const REFUSED_REQUESTS: usize = 600;
/// Number of lines that the queue of the log holds.
const QUEUED_LINES: usize = 4_096;

/// Sends requests that are refused, each of which leaves a line.
fn refuse_requests(daemon: &DaemonProcess, count: usize) {
    for n in 0..count {
        let request = CallerRequest::new("GET /no-such-route/", &format!("r{n}"), API_KEY);
        assert_eq!(request.send_and_read(daemon.callers()).status, 404);
    }
}

/// Guards against a planned stop whose last lines are lost: the process exits while they are queued.
#[test]
fn the_last_lines_before_a_planned_stop_are_written() {
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    let mut fleet = DaemonFleet::start(store.address(), 214, &["a"]);
    let daemon = &mut fleet.daemons[0];
    let mut stdout = daemon.restart_piped();
    assert!(wait_until(STEP_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    refuse_requests(daemon, REFUSED_REQUESTS);
    daemon.process.terminate();
    let readiness = daemon.address("readiness_listen");
    let has_stopped = || TcpStream::connect(readiness).is_err();
    assert!(wait_until(STEP_LIMIT, has_stopped), "the daemon does not stop");
    let mut log = String::new();
    stdout.read_to_string(&mut log).expect("the log is text");
    let refused = log.lines().filter(|line| line.contains("request refused")).count();
    assert_eq!(refused, REFUSED_REQUESTS);
    assert!(log.lines().any(|line| line.contains("daemon stopped")), "no line on the stop");
}

/// Guards against gaps in the log that nothing tells, since the line that counts them was cut short.
#[test]
fn the_metrics_count_the_lines_that_were_dropped() {
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    let mut fleet = DaemonFleet::start(store.address(), 216, &["a"]);
    let daemon = &mut fleet.daemons[0];
    let _stdout = daemon.restart_piped();
    assert!(wait_until(STEP_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    let dropped = |daemon: &DaemonProcess| {
        let page = CallerRequest::new("GET /metrics", "m", "");
        let page = page.send_and_read(daemon.address("metrics_listen")).body;
        let mut lines = page.lines();
        let count = lines.find_map(|l| l.strip_prefix("gypsumchute_log_lines_dropped_total "));
        count.unwrap_or_else(|| panic!("no count: {page}")).parse::<usize>().expect("a number")
    };
    assert_eq!(dropped(daemon), 0);
    refuse_requests(daemon, QUEUED_LINES + REFUSED_REQUESTS);
    assert!((1..REFUSED_REQUESTS).contains(&dropped(daemon)), "{} dropped", dropped(daemon));
}

/// Guards against a planned stop that never ends since nobody reads the log.
#[test]
fn a_daemon_whose_log_is_not_read_stops() {
    let store = Store::start();
    store.configure(&configuration(7, &[API_KEY]));
    let mut fleet = DaemonFleet::start(store.address(), 215, &["a"]);
    let daemon = &mut fleet.daemons[0];
    let _stdout = daemon.restart_piped();
    assert!(wait_until(STEP_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    refuse_requests(daemon, REFUSED_REQUESTS);
    daemon.process.terminate();
    // The grace period is 3 s.
    assert!(daemon.process.exits_within(Duration::from_secs(4)), "the daemon does not exit");
}
