//! `/apps/{route}/...`: one call of a plain service.
//!
//! A call is sent again only where its route and method allow it, or where certainly nothing of
//! it was sent. The answer is passed on only when it has arrived whole.

use crate::backend::{Answer, ExchangeError, Head, Pending, connect};
use crate::caller::{self, refusal_of};
use crate::callers_http::Request;
use crate::engine::{CONNECT_MS, READ_MS};
use crate::link::{Ticket, Word};
use crate::server::{Arrived, Entry};
use gypsumchute_decide::idempotency::MAX_KEPT_ANSWER_BYTES;
use gypsumchute_proto::local::{Admit, Finished, Granted, Replay, RequestKind};
use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, Refusal, RefusalReason, Verdict};
use std::net::SocketAddr;

/// Largest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Tries that the time for a repeatable call is divided by.
const REPEATABLE_TRIES: u64 = 3;
/// Headers that belong to one connection, or would show a caller's key.
const DROPPED_HEADERS: [&str; 12] = [
    "authorization",
    "proxy-authorization",
    "proxy-authenticate",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
];

/// A call as it goes to an endpoint.
pub struct Call {
    /// The route that the path names.
    pub route: String,
    /// The path behind the route, with query.
    pub target: String,
    /// Method.
    pub method: String,
    /// The caller's headers.
    pub headers: Vec<(String, String)>,
}

/// How one try ended.
enum Tried {
    Answered(WholeAnswer),
    NotSent,
    /// It may have run.
    Lost(RefusalReason),
    Stopped(RefusalReason),
}

struct WholeAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

fn is_dropped(name: &str) -> bool {
    DROPPED_HEADERS.iter().any(|dropped| name.eq_ignore_ascii_case(dropped))
}

/// Serves a call.
pub fn serve(entry: &Entry, arrived: Arrived, request: Request<'_>, call: &Call, body: &[u8]) {
    let record = &arrived.record;
    let ticket = entry.link.admit(admit_of(&arrived, call, body));
    loop {
        let granted = match ticket.wait() {
            Word::Granted(granted) => granted,
            Word::Replay(replay) => {
                ticket.finish(Finished { stopped: true, ..Finished::default() });
                record.step("answered with the kept answer of its idempotency key");
                return replay_to(entry, &arrived, request, replay);
            }
            Word::Refused(refused) => {
                let refusal = refusal_of(&refused);
                let not_run = refusal.verdict == Verdict::NotRun;
                ticket.finish(Finished { not_run, stopped: true, ..Finished::default() });
                return entry.refuse(&arrived, request, &refusal, "");
            }
            other => {
                ticket.finish(Finished { not_run: true, ..Finished::default() });
                return entry.refuse_unsent(&arrived, Some(request), &other);
            }
        };
        record.customer(&granted.customer);
        record.step(format!("granted endpoint {}", granted.endpoint));
        match try_once(&arrived, &granted, call, body, &ticket) {
            Tried::NotSent => {
                record.step("not sent: the endpoint can't be reached in time");
                ticket.retry(false, true);
            }
            Tried::Lost(reason) if granted.repeatable && boot_now().0 < granted.answer_by_ms => {
                record.step(format!("{reason}: repeatable, trying another endpoint"));
                ticket.retry(false, false);
            }
            Tried::Lost(reason) => {
                ticket.finish(Finished::default());
                let refusal = Refusal::may_have_run(reason);
                return entry.refuse(&arrived, request, &refusal, "");
            }
            Tried::Stopped(reason) => {
                ticket.finish(Finished::default());
                let refusal = Refusal::may_have_run(reason);
                return entry.refuse(&arrived, request, &refusal, "");
            }
            Tried::Answered(answer) => {
                ticket.finish(finished_of(&answer));
                record.step(format!("answered with status {}", answer.status));
                let WholeAnswer { status, headers, body } = answer;
                let id = &record.request;
                let _ = caller::answer(request, status, &headers, &body, id);
                entry.metrics.record_request(arrived.elapsed_ms(), "ok");
                return;
            }
        }
    }
}

fn admit_of(arrived: &Arrived, call: &Call, body: &[u8]) -> Admit {
    let text = String::from_utf8_lossy(body);
    Admit {
        key: arrived.key.clone(),
        route: call.route.clone(),
        kind: RequestKind::Application as i32,
        method: call.method.clone(),
        prompt_tokens: 1,
        max_tokens: 1,
        fingerprint: hash64(&["call", &call.route, &call.method, &call.target, &text]),
        idempotency_key: arrived.idempotency_key.clone(),
        body_bytes: body.len() as u64,
        ..Admit::default()
    }
}

fn finished_of(answer: &WholeAnswer) -> Finished {
    let kept = answer.body.len() <= MAX_KEPT_ANSWER_BYTES;
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("Content-Type"))
        .map(|(_, value)| value.clone());
    Finished {
        stopped: true,
        status: u32::from(answer.status),
        content_type: content_type.unwrap_or_default(),
        answer: if kept { answer.body.clone() } else { Vec::new() },
        whole_answer: kept,
        ..Finished::default()
    }
}

fn replay_to(entry: &Entry, arrived: &Arrived, request: Request<'_>, replay: Replay) {
    let headers = [
        ("Content-Type".to_owned(), replay.content_type),
        ("Idempotent-Replayed".to_owned(), "true".to_owned()),
    ];
    let id = &arrived.record.request;
    let _ = caller::answer(request, replay.status as u16, &headers, &replay.answer, id);
    entry.metrics.record_request(arrived.elapsed_ms(), "replayed");
}

fn try_once(
    arrived: &Arrived,
    granted: &Granted,
    call: &Call,
    body: &[u8],
    ticket: &Ticket,
) -> Tried {
    let Ok(address) = granted.address.parse::<SocketAddr>() else { return Tried::NotSent };
    let use_until_ms = BootMs(granted.use_until_ms);
    let answer_by_ms = deadline(granted);
    let timeout_ms = boot_now().until(use_until_ms).min(CONNECT_MS);
    let Ok(connection) = connect(address, timeout_ms, READ_MS) else { return Tried::NotSent };
    let mut head = Head::new(&call.method, call.target.clone());
    let passed = call.headers.iter().filter(|(name, value)| {
        !is_dropped(name) && (arrived.key.is_empty() || !value.contains(&arrived.key))
    });
    head.headers.extend(passed.cloned());
    head.headers.push(("X-Customer".to_owned(), granted.customer.clone()));
    head.headers.push((caller::REQUEST_ID.to_owned(), arrived.record.request.clone()));
    if boot_now() >= use_until_ms {
        return Tried::NotSent;
    }
    let Ok(mut pending) = connection.send(&head, body) else {
        return Tried::Lost(RefusalReason::EndpointLost);
    };
    let answer = await_head(&mut pending, answer_by_ms, ticket);
    match answer.and_then(|answer| read_body(answer, answer_by_ms, ticket)) {
        Ok(answer) => Tried::Answered(answer),
        Err(RefusalReason::KeyWithdrawn) => Tried::Stopped(RefusalReason::KeyWithdrawn),
        Err(reason) => Tried::Lost(reason),
    }
}

fn deadline(granted: &Granted) -> BootMs {
    let last_ms = BootMs(granted.answer_by_ms);
    match granted.repeatable {
        true => boot_now() + boot_now().until(last_ms) / REPEATABLE_TRIES,
        false => last_ms,
    }
}

/// Whether a wait is to end.
fn interrupted(answer_by_ms: BootMs, ticket: &Ticket) -> Option<RefusalReason> {
    match ticket.stop_asked() {
        Some(_) => Some(RefusalReason::KeyWithdrawn),
        None if boot_now() >= answer_by_ms => Some(RefusalReason::EndpointTimeout),
        None => None,
    }
}

fn reason_of(err: &ExchangeError) -> RefusalReason {
    match err {
        ExchangeError::Protocol(_) => RefusalReason::EndpointProtocol,
        ExchangeError::Io(_) | ExchangeError::Quiet => RefusalReason::EndpointLost,
    }
}

fn await_head(
    pending: &mut Pending,
    answer_by_ms: BootMs,
    ticket: &Ticket,
) -> Result<Answer, RefusalReason> {
    loop {
        match pending.head() {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) | Err(ExchangeError::Quiet) => {}
            Err(err) => return Err(reason_of(&err)),
        }
        if let Some(reason) = interrupted(answer_by_ms, ticket) {
            return Err(reason);
        }
    }
}

fn read_body(
    mut answer: Answer,
    answer_by_ms: BootMs,
    ticket: &Ticket,
) -> Result<WholeAnswer, RefusalReason> {
    let mut body = Vec::new();
    loop {
        match answer.piece() {
            Ok(Some(piece)) => body.extend(piece),
            Ok(None) => break,
            Err(ExchangeError::Quiet) => {}
            Err(err) => return Err(reason_of(&err)),
        }
        if body.len() > MAX_ANSWER_BYTES {
            return Err(RefusalReason::EndpointProtocol);
        }
        if let Some(reason) = interrupted(answer_by_ms, ticket) {
            return Err(reason);
        }
    }
    let headers = answer.headers.iter().filter(|(name, _)| !is_dropped(name)).cloned().collect();
    Ok(WholeAnswer { status: answer.status, headers, body })
}
