//! `GET /v1/completions/{generation}`: the rest of a generation, through any VM.
//!
//! The generation's id names the endpoint that holds it, and the engine names its customer; a
//! caller whose key is another customer's is told that there is no such generation.

use crate::callers_http::Request;
use crate::engine::{self, ReadOutcome};
use crate::generation::ID_SEPARATOR;
use crate::link::{ControlEvent, ControlSession};
use crate::responses::EventStream;
use crate::server::{EntryState, RequestContext};
use gypsumchute_proto::local::{Admit, Finished, Granted, RequestKind};
use gypsumchute_units::{Refusal, RefusalReason};
use std::net::SocketAddr;

/// Serves a resumption.
pub fn serve(entry: &EntryState, context: RequestContext, request: Request<'_>, generation: &str) {
    let malformed = Refusal::not_run(RefusalReason::Malformed);
    let named = generation.split_once(ID_SEPARATOR).filter(|_| is_id(generation));
    let Some((endpoint, _)) = named else {
        let refusal = Refusal::not_run(RefusalReason::NoSuchGeneration);
        return entry.refuse(&context, request, &refusal, "");
    };
    let Some(next) = next_index(context.last_event_id.as_deref(), generation) else {
        let detail = "Last-Event-ID names another generation or no index";
        return entry.refuse(&context, request, &malformed, detail);
    };
    let admit = Admit {
        key: context.api_key.clone(),
        kind: RequestKind::Resume as i32,
        endpoint: endpoint.to_owned(),
        ..Admit::default()
    };
    let session = entry.link.request_admission(admit);
    let granted = match session.wait_for_decision() {
        ControlEvent::Granted(granted) => granted,
        other => {
            session.finish(Finished { not_run: true, ..Finished::default() });
            return entry.refuse_not_sent(&context, Some(request), &other);
        }
    };
    context.record.set_customer(&granted.customer);
    let rest = Rest { entry, context: &context, session: &session, generation, granted: &granted };
    rest.carry(request, next);
    session.finish(Finished { stopped: true, ..Finished::default() });
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
    entry: &'a EntryState,
    context: &'a RequestContext,
    session: &'a ControlSession,
    generation: &'a str,
    granted: &'a Granted,
}

impl Rest<'_> {
    /// Reads from `next` on and passes everything to the caller.
    fn carry(&self, request: Request<'_>, next: u64) {
        let Rest { entry, context, session, generation, granted } = self;
        let request_id = &context.record.request_id;
        let Ok(address) = granted.address.parse::<SocketAddr>() else {
            let refusal = Refusal::not_run(RefusalReason::NoSuchGeneration);
            return entry.refuse(context, request, &refusal, "");
        };
        let mut reader = engine::resume(address, generation, &granted.customer, next);
        let mut waiting = Some(request);
        let mut stream = None;
        let mut sent = 0;
        let failure = loop {
            if let Some(stop) = session.stop_requested() {
                break stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn);
            }
            let index = reader.next_index;
            let reading = reader.read();
            let begins = matches!(reading, ReadOutcome::Token(_) | ReadOutcome::Completed);
            if let Some(request) = waiting.take_if(|_| begins) {
                match EventStream::start(request, request_id) {
                    Ok(begun) => stream = Some(begun),
                    Err(_) => return,
                }
            }
            match (reading, &mut stream) {
                (ReadOutcome::Token(text), Some(stream)) => {
                    if stream.send_token(generation, index, &text).is_err() {
                        return context.record.add_step("the caller has gone");
                    }
                    sent += 1;
                    entry.metrics.count_tokens(1);
                }
                (ReadOutcome::Completed, _) => {
                    let _ = stream.map(EventStream::complete);
                    return context.record.add_step(format!("whole: {sent} more tokens"));
                }
                (ReadOutcome::Lost | ReadOutcome::WrongCustomer, _) => {
                    break RefusalReason::NoSuchGeneration;
                }
                (ReadOutcome::Unreachable, _) => break RefusalReason::EndpointLost,
                (ReadOutcome::Idle | ReadOutcome::Token(_), _) => {}
            }
        };
        let refusal = match failure {
            RefusalReason::NoSuchGeneration => Refusal::not_run(failure),
            _ => Refusal::may_have_run(failure),
        };
        match (waiting, stream) {
            (Some(request), _) => entry.refuse(context, request, &refusal, ""),
            (None, Some(stream)) => {
                context.record.add_refusal(&refusal);
                let _ = stream.fail(&refusal, sent, request_id);
            }
            (None, None) => {}
        }
    }
}
