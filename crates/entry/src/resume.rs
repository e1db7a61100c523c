//! `GET /v1/completions/{generation}`: the rest of a generation, through any VM.
//!
//! The generation's id names the endpoint that holds it, and the engine names its customer; a
//! caller whose key is another customer's is told that there is no such generation.

use crate::caller::EventStream;
use crate::callers_http::Request;
use crate::engine::{self, Reading};
use crate::generation::ID_SEPARATOR;
use crate::link::{Ticket, Word};
use crate::server::{Arrived, Entry};
use gypsumchute_proto::local::{Admit, Finished, Granted, RequestKind};
use gypsumchute_units::{Refusal, RefusalReason};
use std::net::SocketAddr;

/// Serves a resumption.
pub fn serve(entry: &Entry, arrived: Arrived, request: Request<'_>, generation: &str) {
    let malformed = Refusal::not_run(RefusalReason::Malformed);
    let named = generation.split_once(ID_SEPARATOR).filter(|_| is_id(generation));
    let Some((endpoint, _)) = named else {
        let refusal = Refusal::not_run(RefusalReason::NoSuchGeneration);
        return entry.refuse(&arrived, request, &refusal, "");
    };
    let Some(next) = next_index(arrived.last_event_id.as_deref(), generation) else {
        let detail = "Last-Event-ID names another generation or no index";
        return entry.refuse(&arrived, request, &malformed, detail);
    };
    let admit = Admit {
        key: arrived.key.clone(),
        kind: RequestKind::Resume as i32,
        endpoint: endpoint.to_owned(),
        ..Admit::default()
    };
    let ticket = entry.link.admit(admit);
    let granted = match ticket.wait() {
        Word::Granted(granted) => granted,
        other => {
            ticket.finish(Finished { not_run: true, ..Finished::default() });
            return entry.refuse_unsent(&arrived, Some(request), &other);
        }
    };
    arrived.record.customer(&granted.customer);
    let rest = Rest { entry, arrived: &arrived, ticket: &ticket, generation, granted: &granted };
    rest.carry(request, next);
    ticket.finish(Finished { stopped: true, ..Finished::default() });
}

/// Whether a text can be a generation's id; it goes into the path of a call to an engine.
fn is_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || c == ID_SEPARATOR;
    text.chars().all(allowed)
}

/// The index behind the last one that the caller has.
fn next_index(last_event_id: Option<&str>, generation: &str) -> Option<u64> {
    let Some(last) = last_event_id.filter(|last| !last.is_empty()) else { return Some(0) };
    let index = match last.rsplit_once(':') {
        Some((id, index)) if id == generation => index,
        Some(_) => return None,
        None => last,
    };
    Some(index.parse::<u64>().ok()? + 1)
}

/// The rest of one generation for one caller.
struct Rest<'a> {
    entry: &'a Entry,
    arrived: &'a Arrived,
    ticket: &'a Ticket,
    generation: &'a str,
    granted: &'a Granted,
}

impl Rest<'_> {
    /// Reads from `next` on and passes everything to the caller.
    fn carry(&self, request: Request<'_>, next: u64) {
        let Rest { entry, arrived, ticket, generation, granted } = self;
        let request_id = &arrived.record.request;
        let Ok(address) = granted.address.parse::<SocketAddr>() else {
            let refusal = Refusal::not_run(RefusalReason::NoSuchGeneration);
            return entry.refuse(arrived, request, &refusal, "");
        };
        let mut reader = engine::resume(address, generation, &granted.customer, next);
        let mut waiting = Some(request);
        let mut stream = None;
        let mut sent = 0;
        let failure = loop {
            if let Some(stop) = ticket.stop_asked() {
                break stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn);
            }
            let index = reader.next;
            let reading = reader.read();
            let begins = matches!(reading, Reading::Token(_) | Reading::Done);
            if let Some(request) = waiting.take_if(|_| begins) {
                match EventStream::begin(request, request_id) {
                    Ok(begun) => stream = Some(begun),
                    Err(_) => return,
                }
            }
            match (reading, &mut stream) {
                (Reading::Token(text), Some(stream)) => {
                    if stream.token(generation, index, &text).is_err() {
                        return arrived.record.step("the caller has gone");
                    }
                    sent += 1;
                    entry.metrics.count_tokens(1);
                }
                (Reading::Done, _) => {
                    let _ = stream.map(EventStream::done);
                    return arrived.record.step(format!("whole: {sent} more tokens"));
                }
                (Reading::Gone | Reading::Foreign, _) => break RefusalReason::NoSuchGeneration,
                (Reading::Unreachable, _) => break RefusalReason::EndpointLost,
                (Reading::Quiet | Reading::Token(_), _) => {}
            }
        };
        let refusal = match failure {
            RefusalReason::NoSuchGeneration => Refusal::not_run(failure),
            _ => Refusal::may_have_run(failure),
        };
        match (waiting, stream) {
            (Some(request), _) => entry.refuse(arrived, request, &refusal, ""),
            (None, Some(stream)) => {
                arrived.record.refused(&refusal);
                let _ = stream.fail(&refusal, sent, request_id);
            }
            (None, None) => {}
        }
    }
}
