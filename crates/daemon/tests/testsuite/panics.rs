//! Tasks of the daemon that panic.

use crate::links::{Cut, Links};
use crate::support::{Daemon, configured_store, eventually, generation_request, register_endpoint};
use gypsumchute_config::ConfigSource;
use gypsumchute_daemon::supervision::{
    TaskPanicked, catch_panic, keep_running, log_panics, panic_message,
};
use gypsumchute_platform_standin::fixtures::API_KEY;
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, Endpoint, KeptConnection, SharedEndpointState, Store,
};
use gypsumchute_telemetry::Metrics;
use gypsumchute_telemetry::logs::init_bounded_stdout;
use std::cell::Cell;
use std::env;
use std::process::{self, Command};
use tokio::runtime::Builder;

/// Environment variable of a process that this test program starts to panic.
const PANICKING_PROCESS: &str = "GYPSUMCHUTE_TEST_PANICS";
/// An engine that streams for 4 s.
const STREAM: Behaviour = Behaviour::Streams { events: 200, event_interval_ms: 20 };

/// A daemon whose tasks panic as they open connections, once `links` are cut accordingly.
struct PanickyDaemon {
    store: Store,
    endpoint_state: SharedEndpointState,
    links: Links,
    daemon: Daemon,
}

impl PanickyDaemon {
    fn start() -> Self {
        let (store, links) = (configured_store(), Links::default());
        let source = ConfigSource::Store(store.address());
        let daemon = Daemon::start_behind(&links, source, "vm-1", "a", &[]);
        daemon.wait_ready(true);
        PanickyDaemon { store, endpoint_state: SharedEndpointState::default(), links, daemon }
    }

    /// Starts endpoints and waits until `request` is answered, by which time they are known.
    fn start_endpoints(
        &self,
        ids: &[&str],
        service: &str,
        behaviour: Behaviour,
        request: &CallerRequest,
    ) -> Vec<Endpoint> {
        let start = |id: &&str| Endpoint::start(&self.endpoint_state, id, behaviour);
        let endpoints: Vec<_> = ids.iter().map(start).collect();
        endpoints.iter().for_each(|e| register_endpoint(&self.store, e, service, "a", "ready"));
        let address = self.daemon.address();
        eventually("an answer", || request.try_send(address).is_ok_and(|r| r.status == 200));
        endpoints
    }

    /// Waits until the metrics count this number of panics of `task`.
    fn wait_for_panics(&self, task: &str, count: u64) {
        let expected = format!("gypsumchute_panics_total{{task=\"{task}\"}} {count}");
        eventually(&expected, || self.daemon.metrics().lines().any(|line| line == expected));
    }
}

/// Runs `work` to its end.
fn block_on<T>(work: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(work)
}

/// Guards against ORDER: a stream whose task panics ends as if it were complete.
#[test]
fn a_stream_whose_task_panics_is_aborted() {
    let env = PanickyDaemon::start();
    let probe = generation_request("briefs", "probe");
    let mut engines = env.start_endpoints(&["engine-1", "engine-2"], "engines", STREAM, &probe);
    let request = generation_request("briefs", "r1").output_tokens(100, 80);
    let mut stream = request.send(env.daemon.address());
    stream.next_chunk().expect("open stream").expect("next event");
    env.links.cut(Cut::Panics);
    engines.iter_mut().for_each(Endpoint::kill);
    assert!(!stream.read_to_end().complete, "a stream that broke off looks complete");
    env.wait_for_panics("generation", 1);
}

/// Guards against LOST: a connection that is closed without an answer since its task panics.
#[test]
fn a_request_whose_task_panics_is_answered() {
    let env = PanickyDaemon::start();
    let read = CallerRequest::new("GET /reads/x", "r1", API_KEY);
    let _books = env.start_endpoints(&["book-1"], "books", Behaviour::Succeeds, &read);
    env.links.cut(Cut::Panics);
    let connection = KeptConnection::open(env.daemon.address()).expect("the daemon listens");
    let (reply, _) = connection.send(&read).expect("an answer");
    assert_eq!(reply.status, 502);
    assert!(reply.body.contains("may_have_run"), "{}", reply.body);
    env.wait_for_panics("request", 1);
    let metrics = env.daemon.metrics();
    assert!(metrics.contains("{ended_by=\"vm\",outcome=\"panicked\"} 1"), "{metrics}");
    assert!(!metrics.contains("caller_left"), "{metrics}");
    env.links.restore();
    assert_eq!(read.send_and_read(env.daemon.address()).status, 200);
}

/// Guards against tasks that end for good at a panic, while the process counts as ready.
#[test]
fn a_task_that_panics_is_started_again() {
    let (metrics, runs) = (Metrics::new(), Cell::new(0));
    block_on(keep_running(&metrics, "test", async || {
        runs.set(runs.get() + 1);
        assert!(runs.get() > 2, "the first two runs fail");
    }));
    assert_eq!(runs.get(), 3);
    let text = metrics.to_prometheus_text();
    assert!(text.contains("gypsumchute_panics_total{task=\"test\"} 2"), "{text}");
}

/// Guards against panics that leave no line in the log of a process.
#[test]
fn a_panic_is_a_line_in_the_log() {
    if env::var_os(PANICKING_PROCESS).is_some() {
        init_bounded_stdout().expect("a log thread");
        log_panics();
        let panicking = async { panic!("a plain reason: {}", "secret") };
        assert_eq!(
            block_on(catch_panic(&Metrics::new(), "test", panicking)),
            Err::<(), _>(TaskPanicked)
        );
        log::logger().flush();
        // The log thread keeps standard output locked.
        process::exit(0);
    }
    let program = env::current_exe().expect("the path of this program");
    let test = "panics::a_panic_is_a_line_in_the_log";
    let mut command = Command::new(program);
    command.args(["--exact", test, "--nocapture"]).env(PANICKING_PROCESS, "1");
    let output = command.output().expect("the process runs");
    let log = String::from_utf8_lossy(&output.stdout);
    let line = log.lines().find(|line| line.contains("message=panicked"));
    let line = line.unwrap_or_else(|| panic!("no line of the panic: {log}"));
    assert!(line.contains("panics.rs") && line.contains("a plain reason"), "{line}");
    assert!(log.lines().any(|line| line.contains("task panicked")), "{log}");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("panicked"), "{errors}");
    assert!(!log.contains("secret") && !errors.contains("secret"), "{log}{errors}");
}

/// Guards against parts of requests in the log: messages of panics may quote values.
#[test]
fn the_message_of_a_panic_has_no_values() {
    let text = String::from("a prompt that is secret é");
    let quotes: [Box<dyn Fn() + Send + std::panic::UnwindSafe>; 4] = [
        Box::new({
            let text = text.clone();
            move || drop(text[..text.len() - 1].to_owned())
        }),
        Box::new({
            let text = text.clone();
            move || assert_eq!(text.parse::<u8>().expect("a number"), 1)
        }),
        Box::new({
            let text = text.clone();
            move || assert_eq!(text.parse::<u8>().map_err(|_| text.clone()).unwrap(), 1)
        }),
        Box::new({
            let text = text.clone();
            move || assert_eq!(text, "another")
        }),
    ];
    for quote in quotes {
        let payload = std::panic::catch_unwind(quote).expect_err("a panic");
        let message = panic_message(&*payload);
        assert!(!message.contains("secret"), "{message}");
    }
    let payload = std::panic::catch_unwind(|| panic!("a plain reason")).expect_err("a panic");
    assert_eq!(panic_message(&*payload), "a plain reason");
    let metrics = Metrics::new();
    let caught = block_on(catch_panic(&metrics, "test", async { panic!("a plain reason") }));
    assert_eq!(caught, Err::<(), _>(TaskPanicked));
}
