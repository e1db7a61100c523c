//! A generation that a peer machine has run is answered 503 with `Retry-After`.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `timeoutMs` of the route: less than the clients' time limit.
const ROUTE_TIMEOUT_MS: u64 = 6_000;
/// Time that the clients wait, in milliseconds.
const TIME_LIMIT_MS: u64 = 39_000;
/// How long the replicas of zone-a are down.
const DOWN_MS: u64 = 4_500;
const EVENTS: u64 = 5;
/// Requests that the replica in zone-b answers for the one answer that it loses (`x` of
/// `answer_lost` is 0.03).
const ANSWERS_PER_LOSS: usize = 40;
/// How long a replica is cold after its start, in milliseconds.
const COLD_MS: u64 = 1_000;

fn main() {
    run_case(|| {
        let fleet =
            Fleet::new(&[("edge-a-1", "zone-a"), ("edge-b-1", "zone-b"), ("edge-b-2", "zone-b")]);
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[route("surveys", "streaming", "engines", ROUTE_TIMEOUT_MS, 1_800, 1)],
                &[engine_service("engines")],
            ),
        );
        let runs: Runs = Arc::default();
        let loses: Arc<AtomicBool> = Arc::default();
        let lost: Arc<Mutex<Vec<String>>> = Arc::default();
        let start_engine = {
            let (runs, loses, lost) = (runs.clone(), loses.clone(), lost.clone());
            move |id: &'static str, address| {
                let (runs, loses, lost) = (runs.clone(), loses.clone(), lost.clone());
                Server::start(address, move |request, stream| {
                    if answer_own_call(id, &request, stream)
                        || reject_misdirected(id, &request, stream)
                    {
                        return true;
                    }
                    let attempt = request.header("x-attempt-id").to_owned();
                    let left = request.header("x-deadline-ms").to_owned();
                    record(format!("{id} runs {attempt}, X-Deadline-Ms {left}"));
                    runs.lock().unwrap().push(RunRecord {
                        replica: id.to_owned(),
                        attempt: attempt.clone(),
                        at_ms: now_ms(),
                        target: request.target().to_owned(),
                    });
                    let is_lost =
                        attempt.starts_with("survey") && loses.swap(false, Ordering::SeqCst);
                    if is_lost {
                        // The run goes to its end, and its answer is lost: nothing comes back.
                        lost.lock().unwrap().push(attempt.clone());
                        sleep_ms(300 + EVENTS * 100);
                        record(format!("{id} has run {attempt} to its end; its answer is lost"));
                        let gave_up_ms = now_ms() + 30_000;
                        while now_ms() < gave_up_ms && !is_closed(stream) {
                            sleep_ms(20);
                        }
                        return false;
                    }
                    let (_, whole) = stream_events(stream, id, &request, EVENTS, 100, 50);
                    whole
                })
            }
        };
        let mut engines = Vec::new();
        let all = [("i-a1", "zone-a"), ("i-a2", "zone-a"), ("i-a3", "zone-a"), ("i-b1", "zone-b")];
        for (id, zone) in all {
            let Ok(engine) = start_engine(id, standin_address()) else {
                return Verdict::CouldNotRun("no engine".to_owned());
            };
            let entry = Registration::start(&store, id, "engines", zone, engine.address, 64, || 0);
            engines.push((id, zone, engine, entry));
        }
        let names = ["edge-a-1", "edge-b-1", "edge-b-2"];
        for name in names {
            fleet.start(name, &names, store.address());
        }
        if !fleet.await_ready(&names, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(4_000);

        let headers = || {
            [
                ("X-Deadline-Ms", TIME_LIMIT_MS.to_string()),
                ("X-Model", "m".to_owned()),
                ("X-Token-Usage", format!("1000,{}", EVENTS * 4)),
                ("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:200".to_owned()),
            ]
        };
        // Clients of zone-b are served all the while.
        let (ends, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let others = {
            let (ends, served) = (ends.clone(), served.clone());
            let address = fleet.machine("edge-b-1").callers;
            thread::spawn(move || {
                let mut number = 0;
                while !ends.load(Ordering::SeqCst) {
                    let text = request_text(
                        "POST /surveys/write",
                        &format!("other-{number}"),
                        &headers(),
                        &format!("prompt {number}"),
                    );
                    number += 1;
                    let served = served.clone();
                    thread::spawn(move || {
                        let answer = Client::connect(address).and_then(|mut c| c.exchange(&text));
                        if answer.is_ok_and(|a| a.status() == 200 && a.is_whole) {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                    });
                    sleep_ms(100);
                }
            })
        };
        sleep_ms(1_000);

        // The replicas of zone-a are down for a while, and come back.
        if has_trouble() {
            record("the replicas of zone-a go down; i-b1 loses one answer");
            for (_, _, engine, entry) in engines.iter().filter(|(_, zone, ..)| *zone == "zone-a") {
                engine.kill();
                entry.fall_silent();
            }
            loses.store(true, Ordering::SeqCst);
        }
        let down_ms = now_ms();
        sleep_ms(200);
        let sent_ms = now_ms();
        let text = request_text("POST /surveys/write", "survey-1", &headers(), "a long survey");
        let (address, first) = (fleet.machine("edge-a-1").callers, text);
        let request = thread::spawn(move || Client::connect(address).and_then(|mut c| c.exchange(&first)));
        let mut restarted = Vec::new();
        if has_trouble() {
            sleep_until(down_ms + DOWN_MS);
            record("the replicas of zone-a are back");
            for (id, zone) in [("i-a4", "zone-a"), ("i-a5", "zone-a"), ("i-a6", "zone-a")] {
                if let Ok(engine) = start_engine(id, standin_address()) {
                    let cold_until_ms = now_ms() + COLD_MS;
                    let left = move || cold_until_ms.saturating_sub(now_ms());
                    let entry =
                        Registration::start(&store, id, "engines", zone, engine.address, 64, left);
                    restarted.push((engine, entry));
                }
            }
        }
        let Ok(answer) = request.join().unwrap() else {
            return Verdict::CouldNotRun("edge-a-1 closed the channel without an answer".to_owned());
        };
        record(format!(
            "client: survey-1 got {} after {} ms, Retry-After `{}`, body {}",
            answer.status(),
            now_ms() - sent_ms,
            answer.header("retry-after"),
            answer.body_text().trim().replace('\n', " ")
        ));
        // A client asks again after such a promise, as the pages say.
        if answer.status() == 503 || answer.status() == 429 {
            let wait_s: f64 = answer.header("retry-after").parse().unwrap_or(0.5);
            sleep_ms((wait_s * 1_000.0) as u64);
            let text = request_text("POST /surveys/write", "survey-1-again", &headers(), "a long survey");
            let again = Client::connect(address).and_then(|mut c| c.exchange(&text));
            record(format!("client: the retry got {}", again.map_or(0, |answer| answer.status())));
        }
        while has_trouble() && (served.load(Ordering::SeqCst) as usize) < ANSWERS_PER_LOSS {
            sleep_ms(100);
        }
        ends.store(true, Ordering::SeqCst);
        let _ = others.join();
        sleep_ms(1_000);
        for name in names {
            fleet.record_log(name, "survey-1");
        }
        let at_b1 = runs.lock().unwrap().iter().filter(|run| run.replica == "i-b1").count();
        record(format!(
            "i-b1 has run {at_b1} requests and lost {} answers; {} of the other clients were served",
            lost.lock().unwrap().len(),
            served.load(Ordering::SeqCst)
        ));
        // The check of REFUSED: answered 429, 503, 408 or 421, and has run.
        let has_run = runs.lock().unwrap().iter().any(|run| run.attempt == "survey-1");
        match [429, 503, 408, 421].contains(&answer.status()) && has_run {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
