//! A generation that a peer machine has sent to a replica, which runs it, is answered 503 with
//! `Retry-After`.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// `timeoutMs` and `targetLatencyMs` of the route. Clients wait longer.
const ROUTE_TIMEOUT_MS: u64 = 3_000;
const TARGET_MS: u64 = 1_000;
/// Time that the clients wait, in milliseconds.
const TIME_LIMIT_MS: u64 = 39_000;
/// How long the replicas of zone-a are down, and how long they are cold after that.
const DOWN_MS: u64 = 4_500;
const COLD_MS: u64 = 1_000;
/// How long a machine stands still.
const FROZEN_MS: u64 = 4_000;
const EVENTS: u64 = 5;

fn main() {
    run_case(|| {
        let names = ["edge-a-1", "edge-b-1"];
        let fleet = Arc::new(Fleet::new(&[(names[0], "zone-a"), (names[1], "zone-b")]));
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[route("surveys", "streaming", "engines", ROUTE_TIMEOUT_MS, TARGET_MS, 1)],
                &[engine_service("engines")],
            ),
        );
        let runs: Runs = Arc::default();
        let freezes: Arc<AtomicBool> = Arc::default();
        let start_engine = {
            let (runs, freezes, fleet) = (runs.clone(), freezes.clone(), fleet.clone());
            move |id: &'static str| {
                let (runs, freezes, fleet) = (runs.clone(), freezes.clone(), fleet.clone());
                Server::start(standin_address(), move |request, stream| {
                    if answer_own_call(id, &request, stream)
                        || reject_misdirected(id, &request, stream)
                    {
                        return true;
                    }
                    let attempt = request.header("x-attempt-id").to_owned();
                    record(format!(
                        "{id} runs {attempt}, X-Deadline-Ms {}",
                        request.header("x-deadline-ms")
                    ));
                    runs.lock().unwrap().push(RunRecord {
                        replica: id.to_owned(),
                        attempt: attempt.clone(),
                        at_ms: now_ms(),
                        target: request.target().to_owned(),
                    });
                    // The machine that sent the request stands still for a while.
                    if id == "i-b1" && freezes.swap(false, Ordering::SeqCst) {
                        let fleet = fleet.clone();
                        fleet.signal("edge-b-1", "STOP");
                        thread::spawn(move || {
                            sleep_ms(FROZEN_MS);
                            fleet.signal("edge-b-1", "CONT");
                        });
                    }
                    let (sent, whole) = stream_events(stream, id, &request, EVENTS, 200, 100);
                    record(format!("{id} has made {sent} of {EVENTS} events of {attempt}"));
                    whole
                })
            }
        };
        let mut engines = Vec::new();
        let all = [("i-a1", "zone-a"), ("i-a2", "zone-a"), ("i-a3", "zone-a"), ("i-b1", "zone-b")];
        for (id, zone) in all {
            let Ok(engine) = start_engine(id) else {
                return Verdict::CouldNotRun("no engine".to_owned());
            };
            let entry = Registration::start(&store, id, "engines", zone, engine.address, 64, || 0);
            engines.push((zone, engine, entry));
        }
        for name in names {
            fleet.start(name, &names, store.address());
        }
        if !fleet.await_ready(&names, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(4_000);

        let send = |attempt: &str| {
            let headers = [
                ("X-Deadline-Ms", TIME_LIMIT_MS.to_string()),
                ("X-Model", "m".to_owned()),
                ("X-Token-Usage", format!("1000,{}", EVENTS * 4)),
                ("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:200".to_owned()),
            ];
            let text = request_text("POST /surveys/write", attempt, &headers, "a long survey");
            let address = fleet.machine("edge-a-1").callers;
            let sent_ms = now_ms();
            let answer = Client::connect(address).and_then(|mut client| client.exchange(&text));
            record(match &answer {
                Ok(answer) => format!(
                    "client: {attempt} got {} after {} ms, whole: {}, Retry-After `{}` {}",
                    answer.status(),
                    now_ms() - sent_ms,
                    answer.is_whole,
                    answer.header("retry-after"),
                    answer.body_text().lines().next().unwrap_or("")
                ),
                Err(err) => format!("client: {attempt} got no answer: {err}"),
            });
            answer.ok()
        };
        if !send("calm").is_some_and(|answer| answer.status() == 200 && answer.is_whole) {
            return Verdict::CouldNotRun("a request on a calm day was not served".to_owned());
        }

        // The replicas of zone-a are down for a while, and come back cold.
        if has_trouble() {
            record("the replicas of zone-a go down");
            for (_, engine, entry) in engines.iter().filter(|(zone, ..)| *zone == "zone-a") {
                engine.kill();
                entry.fall_silent();
            }
            freezes.store(true, Ordering::SeqCst);
            let (store, start_engine) = (store.clone(), start_engine.clone());
            thread::spawn(move || {
                sleep_ms(DOWN_MS);
                record("the replicas of zone-a are back");
                for id in ["i-a4", "i-a5", "i-a6"] {
                    let Ok(engine) = start_engine(id) else { continue };
                    let cold_until_ms = now_ms() + COLD_MS;
                    let left = move || cold_until_ms.saturating_sub(now_ms());
                    Registration::start(&store, id, "engines", "zone-a", engine.address, 64, left);
                    std::mem::forget(engine);
                }
            });
            sleep_ms(200);
        }
        let Some(answer) = send("survey-1") else {
            return Verdict::CouldNotRun("edge-a-1 closed the channel without an answer".to_owned());
        };
        // A client asks again after such a promise, as the pages say.
        if [429, 503].contains(&answer.status()) {
            let wait_s: f64 = answer.header("retry-after").parse().unwrap_or(0.5);
            sleep_ms((wait_s * 1_000.0) as u64);
            send("survey-1-again");
        }
        sleep_ms(FROZEN_MS);
        for name in names {
            fleet.record_log(name, "survey-1");
        }
        // The check of REFUSED: answered 429, 503, 408 or 421, and has run.
        let has_run = runs.lock().unwrap().iter().any(|run| run.attempt == "survey-1");
        match [429, 503, 408, 421].contains(&answer.status()) && has_run {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
