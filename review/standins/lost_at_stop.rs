//! A planned stop cuts generations that were accepted more than 3 s after SIGTERM.

mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::thread;

/// Channels that clients keep open to the machine.
const CHANNELS: usize = 6;
/// Tokens of an answer, which the client names in `X-Token-Usage`, and events of four tokens each.
const TOKENS: u64 = 144;
const EVENTS: u64 = TOKENS / 4;
/// Time between two events, in milliseconds: 25 ms a token. `targetGapMs` is 180.
const GAP_MS: u64 = 100;
/// Time to the first event, in milliseconds. `targetLatencyMs` is 1,800.
const FIRST_MS: u64 = 1_500;
/// Time from SIGTERM to the requests, in milliseconds.
const SENT_AFTER_MS: u64 = 3_100;

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
                &[route("surveys", "streaming", "engines", 39_000, 1_800, 1)],
                &[engine_service("engines")],
            ),
        );
        let runs: Runs = Arc::default();
        let mut engines = Vec::new();
        for (id, zone) in [("i-a1", "zone-a"), ("i-b1", "zone-b")] {
            let runs = runs.clone();
            let engine = Server::start(standin_address(), move |request, stream| {
                if answer_own_call(id, &request, stream) || reject_misdirected(id, &request, stream) {
                    return true;
                }
                let attempt = request.header("x-attempt-id").to_owned();
                record(format!("{id} runs {attempt}"));
                runs.lock().unwrap().push(RunRecord {
                    replica: id.to_owned(),
                    attempt: attempt.clone(),
                    at_ms: now_ms(),
                    target: request.target().to_owned(),
                });
                let (sent, whole) = stream_events(stream, id, &request, EVENTS, FIRST_MS, GAP_MS);
                let end = if whole { "to its end" } else { "no further: its channel was closed" };
                record(format!("{id} has sent {sent} of {EVENTS} events of {attempt}, {end}"));
                whole
            });
            let Ok(engine) = engine else {
                return Verdict::CouldNotRun("no engine".to_owned());
            };
            engines.push((id, zone, engine));
        }
        let _entries: Vec<_> = engines
            .iter()
            .map(|(id, zone, engine)| {
                Registration::start(&store, id, "engines", zone, engine.address, 64, || 0)
            })
            .collect();
        let seeds = ["edge-a-1", "edge-b-1"];
        for seed in seeds {
            fleet.start(seed, &seeds, store.address());
        }
        if !fleet.await_ready(&seeds, 10_000) {
            return Verdict::CouldNotRun("the daemons did not get ready".to_owned());
        }
        sleep_ms(4_000);

        // Clients open channels and keep them after a first request.
        let address = fleet.machine("edge-a-1").callers;
        let send = |attempt: &str, tokens: u64| {
            let headers = [
                ("X-Deadline-Ms", "39000".to_owned()),
                ("X-Model", "m".to_owned()),
                ("X-Token-Usage", format!("1000,{tokens}")),
                ("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:200".to_owned()),
            ];
            request_text("POST /surveys/write", attempt, &headers, "a prompt")
        };
        let mut channels = Vec::new();
        for channel in 0..CHANNELS {
            let Ok(client) = Client::connect(address) else {
                return Verdict::CouldNotRun("no channel to the daemon".to_owned());
            };
            channels.push((channel, client));
        }
        let first: Vec<_> = channels
            .into_iter()
            .map(|(channel, mut client)| {
                let text = send(&format!("first-{channel}"), TOKENS);
                thread::spawn(move || {
                    let answer = client.exchange(&text);
                    (channel, client, answer.is_ok_and(|a| a.status() == 200 && a.is_whole))
                })
            })
            .collect();
        let mut channels = Vec::new();
        for request in first {
            let (channel, client, served) = request.join().unwrap();
            record(format!("client: first-{channel} served whole: {served}"));
            if !served {
                return Verdict::CouldNotRun("a request on a calm day was not served".to_owned());
            }
            channels.push((channel, client));
        }
        sleep_ms(500);

        // Planned work: the machine is stopped; SIGKILL follows after `gracePeriodS`.
        if has_trouble() {
            fleet.signal("edge-a-1", "TERM");
        }
        let stopped_ms = now_ms();
        sleep_until(stopped_ms + SENT_AFTER_MS);
        let broken: Arc<Mutex<u32>> = Arc::default();
        let requests: Vec<_> = channels
            .into_iter()
            .map(|(channel, mut client)| {
                let (text, broken) = (send(&format!("late-{channel}"), TOKENS), broken.clone());
                thread::spawn(move || {
                    let sent_ms = now_ms() - stopped_ms;
                    let answer = client.exchange(&text);
                    let ended_ms = now_ms() - stopped_ms;
                    let (text, is_cut) = match &answer {
                        Ok(answer) if answer.is_whole => (format!("{}, whole", answer.status()), false),
                        Ok(answer) => {
                            let events = answer.body_text().matches("\n\n").count();
                            (format!("{}, cut after {events} events", answer.status()), true)
                        }
                        Err(err) => (format!("no answer: {err}"), true),
                    };
                    record(format!(
                        "client: late-{channel} sent {sent_ms} ms after SIGTERM, ended at {ended_ms} ms: {text}"
                    ));
                    // The check of LOST: the request was passed on to a replica, was sent later than
                    // 3 s after SIGTERM, and its channel ends without a complete answer.
                    if is_cut && sent_ms > 3_000 {
                        *broken.lock().unwrap() += 1;
                    }
                    format!("late-{channel}")
                })
            })
            .collect();
        if has_trouble() {
            sleep_until(stopped_ms + (fleet.grace_s * 1_000.0) as u64);
            fleet.signal("edge-a-1", "KILL");
        }
        let attempts: Vec<_> = requests.into_iter().map(|request| request.join().unwrap()).collect();
        let ran = runs.lock().unwrap().iter().filter(|run| attempts.contains(&run.attempt)).count();
        let broken = *broken.lock().unwrap();
        record(format!("{ran} late requests were run by a replica, {broken} ended without a complete answer"));
        match broken > 0 && ran > 0 {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    })
}
