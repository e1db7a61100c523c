//! Streams are joined from two software versions, after a replica has started again under its id
//! with another version while the store was down.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

const REPLICAS: usize = 6;
const STREAMS: u64 = 36;
const EVENTS: u64 = 20;
const GAP_MS: u64 = 60;
/// How long the store is down.
const DOWN_MS: u64 = 4_500;
/// How long the replica is away.
const AWAY_MS: u64 = 1_000;
/// Event after which the replica falls silent, and for how long: a second or so.
const SILENT_AFTER: u64 = 5;
const SILENT_MS: u64 = 1_200;

/// Streams the events after `Last-Event-Id`, which name the version that wrote them.
fn stream(out: &mut TcpStream, id: &str, version: &str, request: &Message, is_silent: bool) -> bool {
    let first = request.header("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
    record(format!("{id} ({version}) runs {} from event {first}", request.header("x-attempt-id")));
    sleep_ms(100);
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n".to_owned();
    for (name, value) in proof(id, request) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut sent = out.write_all(format!("{head}\r\n").as_bytes()).is_ok();
    for event in first..=EVENTS {
        sleep_ms(GAP_MS);
        if is_silent && event == SILENT_AFTER + 1 {
            sleep_ms(SILENT_MS);
        }
        let text = format!("id: {event}\ndata: {version}-{event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        sent &= !is_closed(out) && out.write_all(chunk.as_bytes()).is_ok();
        if !sent {
            return false;
        }
    }
    out.write_all(b"0\r\n\r\n").is_ok()
}

fn start_replica(
    id: String,
    version: &'static str,
    address: SocketAddrV4,
    is_silent: bool,
) -> std::io::Result<Server> {
    let born = unix_ms();
    Server::start(address, move |request, out| {
        if request.target() == "/api/report" {
            let body = format!("{{\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":34582,\"handles\":0,\"born\":{born}}}");
            let headers = [("Content-Type", "application/json".to_owned())];
            return respond(out, "200 OK", &headers, body.as_bytes()).is_ok();
        }
        if answer_own_call(&id, &request, out) || reject_misdirected(&id, &request, out) {
            return true;
        }
        stream(out, &id, version, &request, is_silent)
    })
}

fn main() {
    run_case(|| {
        let names = ["edge-a-1", "edge-b-1"];
        let fleet = Fleet::new(&[(names[0], "zone-a"), (names[1], "zone-b")]);
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[resumable_route("briefs", "engines", 6_000, 1_500)],
                &[engine_service("engines")],
            ),
        );
        // One service, five replicas of v1 and, after its restart, one of v2.
        let mut replicas = Vec::new();
        for number in 1..=REPLICAS {
            let (id, zone) = (format!("i-{number}"), ["zone-a", "zone-b"][number % 2]);
            let Ok(server) = start_replica(id.clone(), "v1", standin_address(), false) else {
                return Verdict::CouldNotRun("no replica".to_owned());
            };
            let entry = Registration::start(&store, &id, "engines", zone, server.address, 64, || 0);
            replicas.push((id, zone, server, entry));
        }
        for name in names {
            fleet.start(name, &names, store.address());
        }
        if !fleet.await_ready(&names, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(4_000);

        let down_ms = now_ms();
        let mut restarted = None;
        if has_trouble() {
            store.set_silent(true);
            sleep_ms(100);
            let (id, _, server, entry) = &replicas[0];
            record(format!("{id} ends"));
            server.kill();
            entry.end_before_restart();
            sleep_ms(AWAY_MS);
            match start_replica(id.clone(), "v2", server.address, true) {
                Ok(server) => restarted = Some(server),
                Err(err) => return Verdict::CouldNotRun(format!("no restart: {err}")),
            }
            record(format!("{id} has started again with the software version v2"));
        }
        sleep_ms(200);
        let addresses: Vec<_> = names.iter().map(|name| fleet.machine(name).callers).collect();
        let (joined, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let clients: Vec<_> = (0..STREAMS)
            .map(|number| {
                sleep_ms(10);
                let address = addresses[number as usize % 2];
                let (joined, served) = (joined.clone(), served.clone());
                thread::spawn(move || {
                    let attempt = format!("brief-{number}");
                    let headers = [
                        ("X-Deadline-Ms", "6000".to_owned()),
                        ("X-Model", "m".to_owned()),
                        ("X-Token-Usage", format!("500,{}", EVENTS * 4)),
                        ("X-Prefix-Hash", "5c1e07a2:350,91bd3f06:150".to_owned()),
                    ];
                    let text = request_text(
                        "POST /briefs/write",
                        &attempt,
                        &headers,
                        &format!("prompt {number}"),
                    );
                    let answer = Client::connect(address).and_then(|mut c| c.exchange(&text));
                    let Ok(answer) = answer else { return };
                    let body = answer.body_text();
                    let pieces: Vec<_> =
                        body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
                    let has = |version: &str| pieces.iter().any(|piece| piece.starts_with(version));
                    // The check of ORDER: events of replicas of two software versions in one answer.
                    if has("v1") && has("v2") {
                        joined.fetch_add(1, Ordering::SeqCst);
                        record(format!(
                            "client: {attempt} got {}, complete: {}, pieces {}",
                            answer.status(),
                            answer.is_whole,
                            pieces.join(" ")
                        ));
                    }
                    served.fetch_add(u64::from(answer.is_whole), Ordering::SeqCst);
                })
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
        let mut entry = None;
        if has_trouble() {
            sleep_until(down_ms + DOWN_MS);
            store.set_silent(false);
            let (id, zone, server, _) = &replicas[0];
            entry = Some(Registration::start_version(
                &store, id, "engines", zone, server.address, 64, "v2", || 0,
            ));
            sleep_ms(1_000);
        }
        drop((restarted, entry));
        let joined = joined.load(Ordering::SeqCst);
        record(format!(
            "{} of {STREAMS} streams complete, {joined} hold events of two software versions",
            served.load(Ordering::SeqCst)
        ));
        match joined > 2 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
