//! A request that crashes the replicas that run it is never refused, because sound requests differ
//! from it in the query only.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `contactMs` of the small installations.
const CONTACT_MS: u64 = 3_000;
/// How long a crashed replica is away, in milliseconds.
const AWAY_MS: u64 = 2_000;
/// Interval of the sound requests, and of the client that sends the other one, in milliseconds.
const SOUND_GAP_MS: u64 = 100;
const CRASHING_GAP_MS: u64 = 1_500;
/// How long the clients send, in milliseconds.
const PLAYED_MS: u64 = 40_000;
const SOUND_TARGET: &str = "/reads/room";
const CRASHING_TARGET: &str = "/reads/room?day=-1";

struct Replicas {
    store: Arc<Store>,
    runs: Runs,
    /// Crashes, and when they were.
    crashes: Mutex<Vec<u64>>,
    starts: AtomicU64,
}

/// Starts a replica in `zone`. A run of the crashing request ends it; it is back after some seconds
/// as a new incarnation.
fn start_replica(replicas: &Arc<Replicas>, zone: &'static str) {
    let number = replicas.starts.fetch_add(1, Ordering::SeqCst);
    let id = format!("i-{number:04}");
    let has_crashed = Arc::new(AtomicBool::new(false));
    let (shared, own_id, crashed) = (replicas.clone(), id.clone(), has_crashed.clone());
    let server = Server::start(standin_address(), move |request, stream| {
        if answer_own_call(&own_id, &request, stream)
            || reject_misdirected(&own_id, &request, stream)
        {
            return true;
        }
        let attempt = request.header("x-attempt-id").to_owned();
        shared.runs.lock().unwrap().push(RunRecord {
            replica: own_id.clone(),
            attempt: attempt.clone(),
            at_ms: now_ms(),
            target: request.target().to_owned(),
        });
        if request.target() == CRASHING_TARGET {
            record(format!("{own_id} begins to run {attempt} ({CRASHING_TARGET}) and crashes"));
            crashed.store(true, Ordering::SeqCst);
            return false;
        }
        sleep_ms(20);
        let body = format!("read of {}", request.target());
        respond(stream, "200 OK", &proof(&own_id, &request), body.as_bytes()).is_ok()
    });
    let Ok(server) = server else { return };
    let entry = Registration::start(&replicas.store, &id, "books", zone, server.address, 6, || 0);
    let replicas = replicas.clone();
    thread::spawn(move || {
        while !has_crashed.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
        replicas.crashes.lock().unwrap().push(now_ms());
        server.kill();
        entry.fall_silent();
        sleep_ms(AWAY_MS);
        start_replica(&replicas, zone);
    });
}

fn main() {
    run_case(|| {
        let fleet = Fleet::new(&[("edge-a-1", "zone-a"), ("edge-b-1", "zone-b")]);
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[route("reads", "safe", "books", 1_200, 150, 2)],
                &[plain_service("books", 0.0, 0.0)],
            ),
        );
        let replicas = Arc::new(Replicas {
            store: store.clone(),
            runs: Arc::default(),
            crashes: Mutex::default(),
            starts: AtomicU64::new(1),
        });
        for zone in ["zone-a", "zone-b", "zone-a", "zone-b"] {
            start_replica(&replicas, zone);
        }
        let names = ["edge-a-1", "edge-b-1"];
        for name in names {
            fleet.start(name, &names, store.address());
        }
        if !fleet.await_ready(&names, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        // From here on, the machines are in touch: nothing happens to them or to the store.
        sleep_ms(CONTACT_MS + 1_000);

        let begun_ms = now_ms();
        let addresses: Vec<_> = names.iter().map(|name| fleet.machine(name).callers).collect();
        let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let sound = {
            let (addresses, sent, served) = (addresses.clone(), sent.clone(), served.clone());
            thread::spawn(move || {
                let mut number = 0;
                while now_ms() < begun_ms + PLAYED_MS {
                    let line = format!("GET {SOUND_TARGET}?day={number}");
                    let text = request_text(
                        &line,
                        &format!("sound-{number}"),
                        &[("X-Deadline-Ms", "2500".to_owned())],
                        "",
                    );
                    let address = addresses[number as usize % 2];
                    number += 1;
                    let (sent, served) = (sent.clone(), served.clone());
                    thread::spawn(move || {
                        sent.fetch_add(1, Ordering::SeqCst);
                        let answer = Client::connect(address).and_then(|mut c| c.exchange(&text));
                        if answer.is_ok_and(|answer| answer.status() == 200 && answer.is_whole) {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                    });
                    sleep_ms(SOUND_GAP_MS);
                }
            })
        };
        let mut number = 0;
        while has_trouble() && now_ms() < begun_ms + PLAYED_MS {
            let attempt = format!("crashing-{number}");
            let text = request_text(
                &format!("GET {CRASHING_TARGET}"),
                &attempt,
                &[("X-Deadline-Ms", "2500".to_owned())],
                "",
            );
            let address = addresses[number % 2];
            let answer = Client::connect(address).and_then(|mut c| c.exchange(&text));
            let answer = match answer {
                Ok(answer) => format!("{} {}", answer.status(), answer.body_text().trim()),
                Err(err) => format!("no answer: {err}"),
            };
            record(format!("client: {attempt} got {answer}"));
            number += 1;
            sleep_ms(CRASHING_GAP_MS);
        }
        let _ = sound.join();
        sleep_ms(1_500);
        record(format!(
            "sound requests: {} sent, {} served",
            sent.load(Ordering::SeqCst),
            served.load(Ordering::SeqCst)
        ));

        // The check of BUDGET: retries of the crashing request that reach replicas later than
        // `contactMs` after it has crashed the third.
        let crashes = replicas.crashes.lock().unwrap().clone();
        let third_ms = crashes.get(2).copied();
        let runs = replicas.runs.lock().unwrap();
        let late = third_ms.map_or(0, |third_ms| {
            let late = runs.iter().filter(|run| {
                run.target == CRASHING_TARGET && run.at_ms > third_ms + CONTACT_MS
            });
            late.count()
        });
        record(format!(
            "{} crashes, the third at {third_ms:?}; {late} arrivals of the crashing request later than {CONTACT_MS} ms after it",
            crashes.len()
        ));
        match late > 3 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
