//! Machines that start while all their seeds are down each use the whole rate of a cold replica.

mod common;

use common::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// `warmupPerS`, `warmupOverage` and `warmupSlack`.
const WARMUP_PER_S: f64 = 4.0;
const WARMUP_OVERAGE: f64 = 1.5;
const WARMUP_SLACK: f64 = 5.0;
/// How long the replicas stay cold, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Requests a second of the clients of each machine.
const PER_S: u64 = 8;
const SEEDS: [&str; 3] = ["edge-a-1", "edge-b-1", "edge-c-1"];
const OTHERS: [&str; 6] =
    ["edge-a-2", "edge-a-3", "edge-b-2", "edge-b-3", "edge-c-2", "edge-c-3"];

fn main() {
    run_case(|| {
        let names = SEEDS.iter().chain(&OTHERS);
        let machines: Vec<_> = names
            .map(|name| {
                let zone = match &name[5..6] {
                    "a" => "zone-a",
                    "b" => "zone-b",
                    _ => "zone-c",
                };
                (*name, zone)
            })
            .collect();
        let fleet = Fleet::new(&machines);
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[route("reads", "safe", "books", 1_200, 150, 2)],
                &[plain_service("books", COLD_MS as f64 / 1_000.0, WARMUP_PER_S)],
            ),
        );
        // All machines and replicas have lost power. The machines come back, but those that are the
        // seeds stay down.
        if !has_trouble() {
            for name in SEEDS {
                fleet.start(name, &SEEDS, store.address());
            }
        }
        for name in OTHERS {
            fleet.start(name, &SEEDS, store.address());
        }
        if !fleet.await_ready(&OTHERS, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(4_000);

        // The replicas are back, cold. Clients of all machines send.
        let runs: Runs = Arc::default();
        let back_ms = now_ms();
        let mut replicas = Vec::new();
        for (id, zone) in [("i-a1", "zone-a"), ("i-b1", "zone-b")] {
            let runs = runs.clone();
            let replica = Server::start(standin_address(), move |request, stream| {
                if answer_own_call(id, &request, stream) || reject_misdirected(id, &request, stream) {
                    return true;
                }
                let attempt = request.header("x-attempt-id").to_owned();
                let left_ms = (back_ms + COLD_MS).saturating_sub(now_ms());
                record(format!("{id} gets {attempt}, cold for {left_ms} ms more"));
                if left_ms > 0 {
                    runs.lock().unwrap().push(RunRecord {
                        replica: id.to_owned(),
                        attempt,
                        at_ms: now_ms(),
                        target: request.target().to_owned(),
                    });
                }
                sleep_ms(20);
                respond(stream, "200 OK", &proof(id, &request), b"read").is_ok()
            });
            let Ok(replica) = replica else {
                return Verdict::CouldNotRun("no replica".to_owned());
            };
            let left = move || (back_ms + COLD_MS).saturating_sub(now_ms());
            let entry =
                Registration::start(&store, id, "books", zone, replica.address, 6, left);
            replicas.push((replica, entry));
        }
        let served = Arc::new(AtomicU64::new(0));
        let clients: Vec<_> = OTHERS
            .iter()
            .map(|name| {
                let (name, address) = (*name, fleet.machine(name).callers);
                let served = served.clone();
                thread::spawn(move || {
                    for number in 0..PER_S * COLD_MS / 1_000 {
                        let text = request_text(
                            &format!("GET /reads/{number}"),
                            &format!("{name}-{number}"),
                            &[("X-Deadline-Ms", "2500".to_owned())],
                            "",
                        );
                        let served = served.clone();
                        thread::spawn(move || {
                            let answer =
                                Client::connect(address).and_then(|mut c| c.exchange(&text));
                            if answer.is_ok_and(|answer| answer.status() == 200) {
                                served.fetch_add(1, Ordering::SeqCst);
                            }
                        });
                        sleep_ms(1_000 / PER_S);
                    }
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        sleep_ms(1_500);
        record(format!("{} requests served", served.load(Ordering::SeqCst)));

        // The check of FAILBACK: requests that a cold replica gets in one second, from all machines.
        let bound = WARMUP_PER_S * WARMUP_OVERAGE + WARMUP_SLACK;
        let mut most = 0;
        for replica in ["i-a1", "i-b1"] {
            let times: Vec<_> = runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.replica == replica)
                .map(|run| run.at_ms)
                .collect();
            let busiest = times.iter().map(|start| {
                times.iter().filter(|at| **at >= *start && **at < *start + 1_000).count()
            });
            let busiest = busiest.max().unwrap_or(0);
            record(format!("{replica} got {busiest} requests in its busiest second while it was cold; the bound is {bound}"));
            most = most.max(busiest);
        }
        match most as f64 > bound {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
