//! A stream whose first or last event has a wrong byte reaches the client without that event, as
//! complete.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Requests of the clients. Half of them run at `i-b1`, which spoils two of its answers: under 0.02.
const REQUESTS: u64 = 240;
const EVENTS: u64 = 6;
/// Runs of `i-b1` that are spoiled, and the event that has a wrong byte.
const SPOILED_RUNS: [(u64, u64); 2] = [(20, 1), (70, EVENTS)];
const GAP_MS: u64 = 40;

/// Streams all events in chunks. One byte of the event `spoiled` is wrong, if there is such an event.
fn stream(stream: &mut TcpStream, id: &str, request: &Message, spoiled: Option<u64>) -> bool {
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n".to_owned();
    for (name, value) in proof(id, request) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    let mut sent = stream.write_all(format!("{head}\r\n").as_bytes()).is_ok();
    for event in 1..=EVENTS {
        sleep_ms(GAP_MS);
        let mut text = format!("id: {event}\ndata: piece-{event}\n\n");
        if spoiled == Some(event) {
            text = text.replacen("id:", "iD:", 1);
        }
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        sent &= stream.write_all(chunk.as_bytes()).is_ok();
    }
    sent && stream.write_all(b"0\r\n\r\n").is_ok()
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
                &[
                    route("surveys", "streaming", "engines", 39_000, 1_800, 1),
                    resumable_route("briefs", "engines", 6_000, 1_500),
                ],
                &[engine_service("engines")],
            ),
        );
        let runs_at_b = Arc::new(AtomicU64::new(0));
        let spoiled: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut engines = Vec::new();
        for (id, zone) in [("i-a1", "zone-a"), ("i-b1", "zone-b")] {
            let (runs_at_b, spoiled) = (runs_at_b.clone(), spoiled.clone());
            let engine = Server::start(standin_address(), move |request, out| {
                if answer_own_call(id, &request, out) || reject_misdirected(id, &request, out) {
                    return true;
                }
                let attempt = request.header("x-attempt-id").to_owned();
                let mut spoiled_event = None;
                if id == "i-b1" {
                    let run = runs_at_b.fetch_add(1, Ordering::SeqCst);
                    let found = SPOILED_RUNS.iter().find(|(spoiled, _)| *spoiled == run);
                    spoiled_event = found.filter(|_| has_trouble()).map(|(_, event)| *event);
                }
                if let Some(event) = spoiled_event {
                    record(format!("{id} runs {attempt}; a byte of its event {event} is wrong"));
                    spoiled.lock().unwrap().push(attempt);
                }
                stream(out, id, &request, spoiled_event)
            });
            let Ok(engine) = engine else {
                return Verdict::CouldNotRun("no engine".to_owned());
            };
            let entry = Registration::start(&store, id, "engines", zone, engine.address, 64, || 0);
            engines.push((engine, entry));
        }
        for name in names {
            fleet.start(name, &names, store.address());
        }
        if !fleet.await_ready(&names, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(3_000);

        let addresses: Vec<_> = names.iter().map(|name| fleet.machine(name).callers).collect();
        let broken = Arc::new(AtomicU64::new(0));
        let served = Arc::new(AtomicU64::new(0));
        let clients: Vec<_> = (0..REQUESTS)
            .map(|number| {
                sleep_ms(60);
                let address = addresses[number as usize % 2];
                let (broken, served, spoiled) = (broken.clone(), served.clone(), spoiled.clone());
                thread::spawn(move || {
                    let route = if number % 4 < 2 { "surveys" } else { "briefs" };
                    let attempt = format!("{route}-{number}");
                    let headers = [
                        ("X-Deadline-Ms", "6000".to_owned()),
                        ("X-Model", "m".to_owned()),
                        ("X-Token-Usage", format!("500,{}", EVENTS * 4)),
                        ("X-Prefix-Hash", "5c1e07a2:350,91bd3f06:150".to_owned()),
                    ];
                    let line = format!("POST /{route}/write");
                    let text = request_text(&line, &attempt, &headers, &format!("prompt {number}"));
                    let answer = Client::connect(address).and_then(|mut c| c.exchange(&text));
                    let Ok(answer) = answer else { return };
                    let body = answer.body_text();
                    let pieces: Vec<_> =
                        body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
                    let whole: Vec<_> = (1..=EVENTS).map(|n| format!("piece-{n}")).collect();
                    let is_complete = answer.status() == 200 && answer.is_whole;
                    // The check of ORDER: a stream that ends as complete has every piece.
                    if is_complete && pieces != whole {
                        broken.fetch_add(1, Ordering::SeqCst);
                    }
                    served.fetch_add(u64::from(is_complete), Ordering::SeqCst);
                    if (is_complete && pieces != whole) || spoiled.lock().unwrap().contains(&attempt) {
                        record(format!(
                            "client: {attempt} got {}, complete: {is_complete}, {}, pieces {pieces:?}",
                            answer.status(),
                            answer.header("x-response-signature")
                        ));
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
        record(format!(
            "{} of {REQUESTS} streams complete; i-b1 ran {} and spoiled {}; {} complete streams lack a piece",
            served.load(Ordering::SeqCst),
            runs_at_b.load(Ordering::SeqCst),
            spoiled.lock().unwrap().len(),
            broken.load(Ordering::SeqCst)
        ));
        match broken.load(Ordering::SeqCst) > 0 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
