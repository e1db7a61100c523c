//! An engine leaves; a run of its moves to another one and goes on at both.

#[path = "standins.rs"]
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
    // Most engines drop a run when its connection closes; the first one does not.
    let engine = |id: &str, zone: &str, drops_on_close: bool| {
        let behaviour =
            Behaviour { events: EVENTS, interval_ms: 60, is_unframed: false, drops_on_close };
        Engine::start(&engines, id, zone, "v1", behaviour)
    };
    let all = [
        engine("i-1", "a", false),
        engine("i-2", "a", true),
        engine("i-3", "b", true),
        engine("i-4", "b", true),
    ];
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
                    return;
                };
                while stream.next_chunk() {}
                record.line(&format!(
                    "caller of {id}: status {}, {} events, complete {}",
                    stream.head.status(),
                    stream.events().len(),
                    stream.is_complete
                ));
            })
        })
        .collect();
    sleep_ms(1_500);
    if has_trouble() {
        all[0].register(&store, "draining");
    }
    callers.into_iter().for_each(|caller| caller.join().expect("caller"));
    sleep_ms(1_500);
    let mut broken = 0;
    for number in 0..STREAMS {
        let runs = engines.runs_of(&format!("c0ffee{number:02}"));
        for (earlier, later) in runs.iter().zip(runs.iter().skip(1)) {
            let overlap_ms = earlier.last_work_ms.saturating_sub(later.began_ms);
            record.line(&format!(
                "{}: at {} from {} ms to {} ms, at {} from {} ms: both at work for {overlap_ms} ms",
                earlier.request,
                earlier.engine,
                earlier.began_ms,
                earlier.last_work_ms,
                later.engine,
                later.began_ms
            ));
            broken += usize::from(overlap_ms > 400);
        }
    }
    record.line(&format!(
        "TWICE: {broken} requests went on at another engine while the one before worked on"
    ));
    drop(daemons);
    drop(folder);
    std::process::exit(if broken > 0 { 1 } else { 0 });
}
