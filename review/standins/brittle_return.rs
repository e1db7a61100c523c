//! A brittle replica that comes back after a crash is overrun each time it returns.

mod common;

use common::*;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// `contactMs` of the small installations.
const CONTACT_MS: u64 = 3_000;
/// Replicas of the service. One that crashes is 0.17 of them.
const REPLICAS: usize = 6;
const SLOTS: usize = 6;
/// Requests that a brittle replica lets wait.
const WAITING: usize = 2;
/// `Server-Brittle`: requests that a replica can turn away in a second.
const BRITTLE: usize = 5;
/// Requests that a replica lets wait otherwise.
const USUAL_WAITING: usize = 24;
/// How long a replica is partitioned from the store, and the time between two such cuts.
const CUT_MS: u64 = 5_000;
const CUT_GAP_MS: u64 = 3_000;
const CUTS: usize = 4;
const WORK_MS: u64 = 100;
/// How long a replica is away after it has crashed or fallen over, in milliseconds.
const AWAY_MS: u64 = 3_000;
/// Requests a second at each machine.
const PER_S: u64 = 56;
const MACHINES: [&str; 4] = ["edge-a-1", "edge-a-2", "edge-b-1", "edge-b-2"];

struct Service {
    store: Arc<Store>,
    starts: AtomicU64,
    /// Replicas that fell over, and when.
    falls: Mutex<Vec<(String, u64)>>,
    /// Orders that were running when their replica fell over.
    broken_off: AtomicU64,
}

/// What a replica does at the moment.
#[derive(Default)]
struct Work {
    running: usize,
    waiting: usize,
    /// Times of the latest rejections.
    rejections: VecDeque<u64>,
    has_ended: bool,
}

/// Starts a replica. The returned flag cuts it off from the store while it is set.
fn start_replica(service: &Arc<Service>, zone: &'static str) -> Arc<AtomicBool> {
    let started_ms = now_ms();
    let id = format!("i-{:04}", service.starts.fetch_add(1, Ordering::SeqCst));
    let work: Arc<(Mutex<Work>, Condvar)> = Arc::default();
    let ends = Arc::new(AtomicBool::new(false));
    let (own_id, shared, own_work, own_ends) =
        (id.clone(), service.clone(), work.clone(), ends.clone());
    let server = Server::start(standin_address(), move |request, stream| {
        if answer_own_call(&own_id, &request, stream)
            || reject_misdirected(&own_id, &request, stream)
        {
            return true;
        }
        let brittle = ("Server-Brittle", BRITTLE.to_string());
        let mut state = own_work.0.lock().unwrap();
        let is_brittle = now_ms() >= started_ms + CONTACT_MS;
        let room = if is_brittle { WAITING } else { USUAL_WAITING };
        if state.running >= SLOTS && state.waiting >= room {
            let now = now_ms();
            state.rejections.push_back(now);
            while state.rejections.front().is_some_and(|at| now - at >= 1_000) {
                state.rejections.pop_front();
            }
            let falls = is_brittle && state.rejections.len() > BRITTLE && !state.has_ended;
            state.has_ended |= falls;
            let running = state.running;
            drop(state);
            if falls {
                record(format!(
                    "{own_id} has turned {} requests away in a second and falls over; {running} requests were running there",
                    BRITTLE + 1
                ));
                shared.falls.lock().unwrap().push((own_id.clone(), now));
                shared.broken_off.fetch_add(running as u64, Ordering::SeqCst);
                own_ends.store(true, Ordering::SeqCst);
                return false;
            }
            let headers = [
                ("X-Attempt-Id", request.header("x-attempt-id").to_owned()),
                ("X-Not-Executed", "1".to_owned()),
                brittle,
            ];
            return respond(stream, "503 Service Unavailable", &headers, b"").is_ok();
        }
        state.waiting += 1;
        while state.running >= SLOTS {
            state = own_work.1.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        sleep_ms(WORK_MS);
        own_work.0.lock().unwrap().running -= 1;
        own_work.1.notify_one();
        if own_ends.load(Ordering::SeqCst) {
            return false;
        }
        let mut headers = proof(&own_id, &request);
        headers.push(brittle);
        respond(stream, "200 OK", &headers, b"booked").is_ok()
    });
    let server = server.expect("no replica");
    let entry =
        Registration::start(&service.store, &id, "books", zone, server.address, SLOTS as u32, || 0);
    let cut = entry.cut.clone();
    record(format!("{id} is registered in {zone}"));
    let (service, ends) = (service.clone(), ends.clone());
    thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
        server.kill();
        entry.fall_silent();
        sleep_ms(AWAY_MS);
        start_replica(&service, zone);
    });
    cut
}

fn main() {
    run_case(|| {
        let machines: Vec<_> = MACHINES
            .iter()
            .map(|name| (*name, if name.contains("-a-") { "zone-a" } else { "zone-b" }))
            .collect();
        let fleet = Fleet::new(&machines);
        let Ok(store) = Store::start(standin_address()) else {
            return Verdict::CouldNotRun("no store".to_owned());
        };
        store.put(
            "op/config",
            &configuration(
                1,
                &[route("orders", "unsafe", "books", 1_200, 150, 1)],
                &[plain_service("books", 0.0, 0.0)],
            ),
        );
        let service = Arc::new(Service {
            store: store.clone(),
            starts: AtomicU64::new(1),
            falls: Mutex::default(),
            broken_off: AtomicU64::new(0),
        });
        let replicas: Vec<_> = (0..REPLICAS)
            .map(|number| start_replica(&service, ["zone-a", "zone-b"][number % 2]))
            .collect();
        for name in MACHINES {
            fleet.start(name, &MACHINES[..3], store.address());
        }
        if !fleet.await_ready(&MACHINES, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(CONTACT_MS);

        // Clients send orders to all machines. All replicas say that they are brittle.
        let ends = Arc::new(AtomicBool::new(false));
        let counts: Arc<Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
        let begun_ms = now_ms();
        let clients: Vec<_> = MACHINES
            .iter()
            .map(|name| {
                let (name, address) = (*name, fleet.machine(name).callers);
                let (ends, counts) = (ends.clone(), counts.clone());
                thread::spawn(move || {
                    let mut number = 0;
                    while !ends.load(Ordering::SeqCst) {
                        // A few seconds of light load, in which the machines learn that the
                        // replicas are brittle, and then more.
                        let per_s = if now_ms() < begun_ms + 4_000 { PER_S / 4 } else { PER_S };
                        let text = request_text(
                            "POST /orders/book",
                            &format!("{name}-{number}"),
                            &[("X-Deadline-Ms", "2500".to_owned())],
                            &format!("order {number} at {name}"),
                        );
                        number += 1;
                        let counts = counts.clone();
                        thread::spawn(move || {
                            let answer =
                                Client::connect(address).and_then(|mut c| c.exchange(&text));
                            let status = answer.map_or(0, |answer| answer.status());
                            *counts.lock().unwrap().entry(status).or_default() += 1;
                        });
                        thread::sleep(std::time::Duration::from_micros(1_000_000 / per_s));
                    }
                })
            })
            .collect();
        sleep_until(begun_ms + 4_000 + CONTACT_MS + 2_000);
        let before = service.falls.lock().unwrap().len();
        record(format!("{before} falls so far, answers by status: {:?}", counts.lock().unwrap()));
        // One replica after the other is partitioned from the store for a while. The machines still
        // reach it.
        for (number, cut) in replicas.iter().enumerate().take(CUTS) {
            let set = |is_cut: bool| {
                if has_trouble() {
                    record(format!("i-{:04} cut off from the store: {is_cut}", number + 1));
                    cut.store(is_cut, Ordering::SeqCst);
                }
            };
            set(true);
            sleep_ms(CUT_MS);
            set(false);
            sleep_ms(CUT_GAP_MS);
        }
        ends.store(true, Ordering::SeqCst);
        for client in clients {
            let _ = client.join();
        }
        sleep_ms(2_000);
        record(format!("answers by status: {:?}", counts.lock().unwrap()));

        // The check of LIMIT: falls in the time in which the replicas say that they are brittle.
        let falls = service.falls.lock().unwrap().len();
        let bound = 2.0 + REPLICAS as f64 / 10.0;
        record(format!(
            "{falls} falls, the bound is {bound}; {} orders were broken off by them",
            service.broken_off.load(Ordering::SeqCst)
        ));
        match falls as f64 > bound {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
