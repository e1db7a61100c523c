//! A replica is replaced: the new one starts, then the old one drains. Its streams, which may run once, move
//! to the new one, which is cold.

#[path = "../11/standins.rs"]
mod common;

use common::*;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Requests with long prompts, which make the engines so full that no backups are kept.
const LONG_PROMPTS: usize = 28;
/// Streams that may run once.
const STREAMS: usize = 160;
/// Events of 4 tokens each, as many as the caller asks for at most.
const EVENTS: u64 = 25;
/// `warmupPerS`, `warmupOverage` and `warmupSlack`.
const WARMUP_PER_S: u64 = 21;
const BOUND: f64 = WARMUP_PER_S as f64 * 1.5 + 5.0;
/// How long the new replica is cold, in milliseconds.
const COLD_MS: u64 = 1_000;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of the record")));
    let folder = TemporaryFolder::create();
    let (store, engines, ports) = (Store::start(), Engines::new(&record), Ports::find());
    let text = configuration(7, true).replace("\"slots\":32", "\"slots\":64");
    let text = text.replace("\"warmupPerS\":20.0", &format!("\"warmupPerS\":{WARMUP_PER_S}"));
    store.put("op/config", &text);
    let engine = |id: &str, zone: &str| {
        let behaviour = Behaviour {
            events: EVENTS,
            interval_ms: 180,
            is_unframed: false,
            drops_on_close: true,
        };
        Engine::start(&engines, id, zone, "1.4", behaviour)
    };
    let all = [engine("i-1", "a"), engine("i-2", "b"), engine("i-3", "b"), engine("i-4", "b")];
    all.iter().for_each(|engine| engine.register_with(&store, "ready", 64, 0));
    let daemons = [
        Daemon::start(&record, &ports, &folder.0, &store, 1, "a", &[1, 2]),
        Daemon::start(&record, &ports, &folder.0, &store, 2, "b", &[1, 2]),
        Daemon::start(&record, &ports, &folder.0, &store, 3, "a", &[1, 2]),
    ];
    daemons.iter().for_each(Daemon::wait_ready);
    sleep_ms(4_000);
    let long: Vec<_> = (0..LONG_PROMPTS)
        .map(|number| {
            let daemon = daemons[number % 3].callers;
            thread::spawn(move || {
                let id = format!("decade{number:02}");
                let request = stream_request("briefs", &id, 100, 39_000, "");
                let request = request.replace("X-Token-Usage: 300,", "X-Token-Usage: 2000,");
                let request = request.replace(&format!("{id}:220"), &format!("{id}:1920"));
                let Some(mut stream) = CallerStream::open(daemon, &request) else { return };
                while stream.next_chunk() {}
            })
        })
        .collect();
    sleep_ms(500);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, daemon) = (record.clone(), daemons[[0, 2][number % 2]].callers);
            thread::spawn(move || {
                let id = format!("c0ffee{number:03}");
                let request = stream_request("surveys", &id, 100, 39_000, "");
                let request = request.replace("X-Token-Usage: 300,", "X-Token-Usage: 100,");
                let request = request.replace(&format!("{id}:220"), &format!("{id}:20"));
                let Some(mut stream) = CallerStream::open(daemon, &request) else { return false };
                while stream.next_chunk() {}
                let is_whole = stream.is_complete && stream.events().len() as u64 == EVENTS;
                if !is_whole {
                    record.line(&format!(
                        "caller of {id}: status {}, {} of {EVENTS} events, complete {}",
                        stream.head.status(),
                        stream.events().len(),
                        stream.is_complete
                    ));
                }
                is_whole
            })
        })
        .collect();
    sleep_ms(700);
    let added = engine("i-9", "a");
    let cold_from_ms = record.now_ms();
    added.register_with(&store, "ready", 64, COLD_MS);
    sleep_ms(200);
    if has_trouble() {
        all[0].register_with(&store, "draining", 64, 0);
    }
    // A cold replica crashes at a rate well above `warmupPerS`: here if it finds, as it looks twice a second,
    // that it got more than twice as many.
    let is_over = Arc::new(AtomicBool::new(false));
    let watch = {
        let (engines, added, is_over) = (engines.clone(), added.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                if engines.runs().iter().filter(|run| run.engine == "i-9").count() as u64
                    > 2 * WARMUP_PER_S
                {
                    added.crash();
                    return;
                }
                sleep_ms(500);
            }
        })
    };
    let whole =
        callers.into_iter().map(|c| c.join().expect("caller")).filter(|whole| *whole).count();
    long.into_iter().for_each(|caller| caller.join().expect("caller"));
    is_over.store(true, Ordering::Relaxed);
    let _ = watch.join();
    let arrivals: Vec<u64> = engines
        .runs()
        .iter()
        .filter(|run| run.engine == "i-9" && run.began_ms < cold_from_ms + COLD_MS)
        .map(|run| run.began_ms)
        .collect();
    let in_second =
        |start: u64| arrivals.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
    let most = arrivals.iter().map(|start| in_second(*start)).max().unwrap_or(0);
    record.line(&format!(
        "FAILBACK: {most} requests reached the cold replica in a second, {BOUND} are allowed; {} of {STREAMS} \
         streams were not whole",
        STREAMS - whole
    ));
    drop(daemons);
    drop(folder);
    std::process::exit(if most as f64 > BOUND { 1 } else { 0 });
}
