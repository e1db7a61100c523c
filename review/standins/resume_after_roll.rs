//! After all other machines were restarted in turn, the streams of the last one can't be resumed.

mod common;

use common::*;
use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `contactMs` of the small installations.
const CONTACT_MS: u64 = 3_000;
/// Time limit of the clients and `timeoutMs` of the routes, in milliseconds.
const TIME_LIMIT_MS: u64 = 39_000;
/// Prompt and maximum output of a stream, in tokens.
const USAGE: &str = "2200,1280";
/// Events of a stream, of four tokens each, and the time between two, in milliseconds.
const EVENTS: u64 = 320;
const GAP_MS: u64 = 100;
/// Streams that may not be resumed, which begin first and take memory at the engines.
const SURVEYS: usize = 10;
/// Streams that may be resumed.
const BRIEFS: usize = 16;
/// Time from the end of a client's channel to its next attempt, in milliseconds.
const RETRY_MS: u64 = 700;

type Versions = Arc<Mutex<std::collections::BTreeMap<String, Vec<String>>>>;

/// What a client has received of a stream.
#[derive(Debug, Clone, Default)]
struct Received {
    status: u16,
    last_id: u64,
    events: u64,
    is_whole: bool,
    refusal: String,
}

/// Sends a request and reads its stream to the end, or until the channel breaks.
fn read_stream(address: SocketAddrV4, text: &str, max_ms: u64) -> Received {
    let mut received = Received::default();
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return received };
    let _ = stream.set_read_timeout(Some(std::time::Duration::from_millis(100)));
    if std::io::Write::write_all(&mut stream, text.as_bytes()).is_err() {
        return received;
    }
    let (deadline_ms, mut bytes, mut buffer) = (now_ms() + max_ms, Vec::new(), [0; 4096]);
    while now_ms() < deadline_ms {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(err)
                if [std::io::ErrorKind::WouldBlock, std::io::ErrorKind::TimedOut]
                    .contains(&err.kind()) => {}
            Err(_) => break,
        }
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            received.is_whole = true;
            break;
        }
        let text = String::from_utf8_lossy(&bytes);
        if !text.contains("text/event-stream") && text.contains("}\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    received.status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let whole_events = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = whole_events.lines().filter_map(|line| line.trim().strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    received.last_id = ids.last().copied().unwrap_or(0);
    received.events = ids.len() as u64;
    received.refusal = text.lines().find(|l| l.starts_with('{')).unwrap_or("").to_owned();
    received
}

fn request(route: &str, attempt: &str, more: &[(&str, String)], left_ms: u64) -> String {
    let mut headers = vec![
        ("X-Deadline-Ms", left_ms.to_string()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", USAGE.to_owned()),
        ("X-Prefix-Hash", "5c1e07a2:350,91bd3f06:1850".to_owned()),
    ];
    headers.extend(more.iter().cloned());
    request_text(&format!("POST /{route}/write"), attempt, &headers, &format!("prompt of {attempt}"))
}

fn main() {
    run_case(|| {
        let names = ["edge-a-1", "edge-b-1", "edge-c-1"];
        let fleet =
            Fleet::new(&[(names[0], "zone-a"), (names[1], "zone-b"), (names[2], "zone-c")]);
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[
                    route("surveys", "streaming", "engines", TIME_LIMIT_MS, 1_800, 1),
                    resumable_route("briefs", "engines", TIME_LIMIT_MS, 1_800),
                ],
                &[engine_service("engines")],
            ),
        );
        // Two replicas of each of two software versions serve side by side.
        let runs: Versions = Arc::default();
        let copies: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let mut engines = Vec::new();
        let all = [("i-1", "zone-a", "v1"), ("i-2", "zone-a", "v2"), ("i-3", "zone-b", "v1"), ("i-4", "zone-b", "v2")];
        for (id, zone, version) in all {
            let (runs, copies) = (runs.clone(), copies.clone());
            let own_address: Arc<Mutex<String>> = Arc::default();
            let known_address = own_address.clone();
            let engine = Server::start(standin_address(), move |request, stream| {
                if answer_own_call(id, &request, stream) || reject_misdirected(id, &request, stream) {
                    return true;
                }
                let attempt = request.header("x-attempt-id").to_owned();
                let source = request.header("kv-from").to_owned();
                let has_copy = copies.lock().unwrap().contains(&source)
                    && source.starts_with(known_address.lock().unwrap().as_str());
                if !source.is_empty() && !has_copy {
                    record(format!("{id} has no copy for {attempt}"));
                    let headers =
                        [("X-Attempt-Id", attempt), ("X-Not-Executed", "1".to_owned())];
                    return respond(stream, "503 Service Unavailable", &headers, b"").is_ok();
                }
                // A backup that the request asks for is there as long as the run.
                let backup = request.header("x-kv-backup").to_owned();
                if !backup.is_empty() {
                    copies.lock().unwrap().insert(format!("{backup}/{attempt}"));
                }
                record(format!(
                    "{id} ({version}) runs {attempt} after event `{}`, backup at `{backup}`, from `{source}`",
                    request.header("last-event-id")
                ));
                runs.lock().unwrap().entry(attempt).or_default().push(version.to_owned());
                stream_events(stream, id, &request, EVENTS, 200, GAP_MS).1
            });
            let Ok(engine) = engine else {
                return Verdict::CouldNotRun("no engine".to_owned());
            };
            *own_address.lock().unwrap() = engine.address.to_string();
            let entry = Registration::start_version(
                &store, id, "engines", zone, engine.address, 64, version, || 0,
            );
            engines.push((engine, entry));
        }
        for name in names {
            fleet.start(name, &names, store.address());
        }
        if !fleet.await_ready(&names, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(CONTACT_MS);

        // Clients begin their streams at edge-a-1.
        let address = fleet.machine("edge-a-1").callers;
        for number in 0..SURVEYS {
            let text = request("surveys", &format!("survey-{number}"), &[], TIME_LIMIT_MS);
            thread::spawn(move || read_stream(address, &text, TIME_LIMIT_MS));
            sleep_ms(60);
        }
        sleep_ms(500);
        let begun_ms = now_ms();
        let others =
            [fleet.machine("edge-b-1").callers, fleet.machine("edge-c-1").callers];
        let (taken_up, gone_on, whole) =
            (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let clients: Vec<_> = (0..BRIEFS)
            .map(|number| {
                let (taken_up, gone_on, whole) = (taken_up.clone(), gone_on.clone(), whole.clone());
                let first = format!("brief-{number}");
                sleep_ms(30);
                thread::spawn(move || {
                    let text = request("briefs", &first, &[], TIME_LIMIT_MS);
                    let received = read_stream(address, &text, TIME_LIMIT_MS);
                    record(format!(
                        "client: {first} got {}, {} events, whole: {}",
                        received.status, received.events, received.is_whole
                    ));
                    if received.is_whole {
                        whole.fetch_add(1, Ordering::SeqCst);
                    }
                    if received.is_whole || received.status != 200 || received.events == 0 {
                        return;
                    }
                    sleep_ms(RETRY_MS);
                    let left_ms = (begun_ms + TIME_LIMIT_MS).saturating_sub(now_ms());
                    let again = format!("{first}-again");
                    let more = [
                        ("Resumes", first.clone()),
                        ("Last-Event-Id", received.last_id.to_string()),
                    ];
                    taken_up.fetch_add(1, Ordering::SeqCst);
                    let text = request("briefs", &again, &more, left_ms);
                    let rest = read_stream(others[number % 2], &text, 3_000);
                    let goes_on = rest.status == 200 && rest.last_id > received.last_id;
                    if goes_on {
                        gone_on.fetch_add(1, Ordering::SeqCst);
                    }
                    record(format!(
                        "client: {again} after event {} got {}, goes on: {goes_on} {}",
                        received.last_id, rest.status, rest.refusal
                    ));
                })
            })
            .collect();
        sleep_ms(1_000);

        // Planned work: the machines are stopped and started in turn, edge-a-1 last.
        if has_trouble() {
            for name in ["edge-b-1", "edge-c-1"] {
                fleet.signal(name, "TERM");
                if !fleet.await_exit(name, 9_000) {
                    return Verdict::CouldNotRun(format!("{name} did not end"));
                }
                sleep_ms(300);
                fleet.start(name, &names, store.address());
                if !fleet.await_ready(&[name], 5_000) {
                    return Verdict::CouldNotRun(format!("{name} did not get ready"));
                }
                sleep_ms(1_000);
            }
            sleep_ms(CONTACT_MS);
            fleet.signal("edge-a-1", "TERM");
            fleet.await_exit("edge-a-1", 9_000);
        }
        // New streams begin at the machines at which the others are taken up.
        let begin = Arc::new(AtomicU64::new(0));
        let new: Vec<_> = (0..BRIEFS)
            .map(|number| {
                let begin = begin.clone();
                thread::spawn(move || {
                    let text = request("briefs", &format!("new-{number}"), &[], TIME_LIMIT_MS);
                    if read_stream(others[number % 2], &text, 2_500).events > 0 {
                        begin.fetch_add(1, Ordering::SeqCst);
                    }
                })
            })
            .collect();
        new.into_iter().for_each(|client| drop(client.join()));
        clients.into_iter().for_each(|client| drop(client.join()));
        for name in ["edge-b-1", "edge-c-1"] {
            fleet.record_log(name, "caller resumes a stream");
        }
        let load = |count: &AtomicU64| count.load(Ordering::SeqCst);
        record(format!(
            "{} of {BRIEFS} new streams began; {} streams were taken up again, {} of them went on; {} needed none",
            load(&begin), load(&taken_up), load(&gone_on), load(&whole)
        ));
        // The check of LOST: of 12 or more streams that are taken up again, the share that goes on is
        // under half of the share of new streams that begin.
        let share_new = load(&begin) as f64 / BRIEFS as f64;
        let share_gone_on = load(&gone_on) as f64 / load(&taken_up).max(1) as f64;
        match load(&taken_up) >= 12 && share_gone_on < share_new / 2.0 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
