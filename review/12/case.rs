//! An engine leaves whose streams end with their connection, and the engine that is to go on with them
//! is silent for a second.

#[path = "../11/standins.rs"]
mod common;

use common::*;
use std::path::Path;
use std::thread;

const STREAMS: usize = 8;
const EVENTS: u64 = 120;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("path of the record")));
    let folder = TemporaryFolder::create();
    let (store, engines, ports) = (Store::start(), Engines::new(&record), Ports::find());
    store.put("op/config", &configuration(7, true));
    let engine = |id: &str, zone: &str| {
        let behaviour =
            Behaviour { events: EVENTS, interval_ms: 60, is_unframed: true, drops_on_close: true };
        Engine::start(&engines, id, zone, "v1", behaviour)
    };
    let all = [engine("i-1", "a"), engine("i-2", "a"), engine("i-3", "b"), engine("i-4", "b")];
    all.iter().for_each(|engine| engine.register(&store, "ready"));
    let daemons = [
        Daemon::start(&record, &ports, &folder.0, &store, 1, "a", &[1, 2]),
        Daemon::start(&record, &ports, &folder.0, &store, 2, "b", &[1, 2]),
    ];
    daemons.iter().for_each(Daemon::wait_ready);
    // All daemons are in touch from now on.
    sleep_ms(4_000);
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, daemon) = (record.clone(), daemons[0].callers);
            thread::spawn(move || {
                let id = format!("c0ffee{number:02}");
                let request = stream_request("surveys", &id, 480, 39_000, "");
                record.line(&format!("caller sends {id}"));
                let Some(mut stream) = CallerStream::open(daemon, &request) else {
                    record.line(&format!("caller of {id}: no answer"));
                    return false;
                };
                while stream.next_chunk() {}
                let (events, is_complete) = (stream.events(), stream.is_complete);
                let in_order = events.iter().zip(1..).all(|((event, _), expected)| *event == expected);
                record.line(&format!(
                    "caller of {id}: status {}, {} of {EVENTS} events, in order {in_order}, ends as \
                     complete {is_complete}",
                    stream.head.status(),
                    events.len()
                ));
                let is_whole = events.len() as u64 == EVENTS && in_order;
                stream.head.status() == 200 && is_complete && !is_whole
            })
        })
        .collect();
    sleep_ms(1_200);
    if has_trouble() {
        // The engine that holds the backups: that in the zone of the leaving one, which is the nearest.
        all[1].fall_silent(1_000);
    }
    sleep_ms(300);
    all[0].register(&store, "draining");
    let ends: Vec<bool> =
        callers.into_iter().map(|caller| caller.join().expect("caller")).collect();
    let broken = ends.iter().filter(|is_cut| **is_cut).count();
    record.line(&format!("ORDER: {broken} streams ended as complete before their last event"));
    drop(daemons);
    drop(folder);
    std::process::exit(if broken > 0 { 1 } else { 0 });
}
