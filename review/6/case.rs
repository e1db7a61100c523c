//! Streams that may run once move off a leaving engine while the links to the other engine break.

use standins::*;
use std::io;
use std::thread;

const STREAMS: usize = 6;
/// Time of an engine until its first token, in milliseconds.
const FIRST_MS: u64 = 80;
/// Time after which two replicas must not work on one request, in milliseconds.
const TWICE_MS: u64 = 400;
/// Time for which the links are cut, in milliseconds.
const CUT_MS: u64 = 4_000;

fn main() {
    run_case(case);
}

fn case(record: &Record) -> io::Result<Outcome> {
    let routes = [RouteText {
        prefix: "/survey/",
        kind: "streaming",
        service: "lensmodel",
        timeout_ms: 39_000,
        target_ms: 1_800,
        max_attempts: 1,
        resume: false,
    }];
    let configuration = configuration(7, &routes, 0.0);
    let deployment = Deployment::new(&configuration, &["jm-south-a", "jm-south-b"], record)?;
    let kind = ReplicaKind {
        service: "lensmodel".into(),
        zone: "jm-south-a".into(),
        slots: 64,
        work: Work::Stream { first_ms: FIRST_MS, event_ms: 50 },
        cold_ms: 0,
        cold_crash_per_s: usize::MAX,
    };
    let first = deployment.replica("i-engine-1", &kind)?;
    let (second, proxy) = deployment.replica_behind_proxy("i-engine-2", &kind)?;
    first.start("v1", false)?;
    if !deployment.start_daemons()? {
        return Err(io::Error::other("the daemons are not ready"));
    }
    sleep_ms(4_000);
    let mut callers = Vec::new();
    for n in 0..STREAMS {
        let (address, record) = (deployment.daemons[n % 2].callers(), record.clone());
        callers.push(thread::spawn(move || {
            let attempt = format!("{:016x}", 0xa000 + n);
            let prompt = format!("5c1e07a2:79,{n:08x}:1921");
            let headers = [
                ("X-Model", "m"),
                ("X-Token-Usage", "2000,480"),
                ("X-Prefix-Hash", prompt.as_str()),
            ];
            let body = format!("survey {n}");
            let request =
                request_text("POST", "/survey/2f", &attempt, 39_000, &headers, body.as_bytes());
            let answer = ask(address, &request, 39_000);
            record.add(format!(
                "requester {n}: attempt {attempt}, status {}, {} events, complete: {}",
                answer.status,
                answer.events().len(),
                answer.complete
            ));
        }));
    }
    sleep_ms(800);
    second.start("v1", false)?;
    sleep_ms(700);
    if has_trouble() {
        proxy.cut_after("POST /survey/");
    }
    first.leave();
    sleep_ms(CUT_MS);
    if proxy.is_cut() {
        proxy.heal();
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));

    let arrivals = deployment.floor.arrivals();
    let mut twice = 0;
    for other in arrivals.iter().filter(|arrival| arrival.ran && arrival.from_copy) {
        let late_ms = other.at_ms + FIRST_MS + TWICE_MS;
        let works_late =
            |arrival: &Arrival| arrival.ended_ms.is_none_or(|ended_ms| ended_ms > late_ms);
        let earlier = arrivals.iter().find(|earlier| {
            earlier.ran
                && earlier.attempt == other.attempt
                && earlier.replica != other.replica
                && earlier.at_ms < other.at_ms
                && works_late(earlier)
        });
        if let Some(earlier) = earlier.filter(|_| works_late(other)) {
            twice += 1;
            record.add(format!(
                "attempt {}: at work at {} from {} to {} ms, at {} from {} to {} ms",
                other.attempt,
                earlier.replica,
                earlier.at_ms,
                earlier.ended_ms.unwrap_or(0),
                other.replica,
                other.at_ms + FIRST_MS,
                other.ended_ms.unwrap_or(0)
            ));
        }
    }
    record.add(format!("TWICE: {twice} of {STREAMS} streams were at work at two replicas"));
    Ok(if twice > 0 { Outcome::Broken } else { Outcome::Held })
}
