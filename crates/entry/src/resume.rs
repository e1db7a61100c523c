//! Serves `GET /v1/completions/{generation}`: relays the rest of a generation, through any VM.
//!
//! The generation id contains the id of the endpoint that runs the generation, and the engine
//! reports the customer of the generation. A request with the API key of another customer is
//! refused as if the generation did not exist.

use crate::engine::{self, ReadOutcome};
use crate::generation::ID_SEPARATOR;
use crate::link::{ControlEvent, ControlSession};
use crate::responses::{EventStream, refusal_from_event};
use crate::server::{EntryState, RequestContext};
use gypsumchute_proto::local::{Admit, Finished, Granted, RequestKind};
use gypsumchute_serving::http::Request;
use gypsumchute_units::{Refusal, RefusalReason};
use std::net::SocketAddr;

/// Serves a request to resume a generation after `Last-Event-ID`.
pub fn serve(entry: &EntryState, context: RequestContext, request: Request<'_>, generation: &str) {
    let malformed = Refusal::not_run(RefusalReason::Malformed);
    let id_parts =
        generation.split_once(ID_SEPARATOR).filter(|_| is_valid_generation_id(generation));
    let Some((endpoint, _)) = id_parts else {
        let refusal = Refusal::not_run(RefusalReason::NoSuchGeneration);
        return entry.refuse(&context, request, &refusal, "");
    };
    let Some(first_index) = first_missing_index(context.last_event_id.as_deref(), generation)
    else {
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
            return entry.refuse(&context, request, &refusal_from_event(&other), "");
        }
    };
    context.record.set_customer(&granted.customer);
    let relay =
        ResumeRelay { entry, context: &context, session: &session, generation, granted: &granted };
    relay.run(request, first_index);
    session.finish(Finished { stopped: true, ..Finished::default() });
}

/// Reports whether a text contains only characters that are allowed in a generation id. The id
/// becomes part of the path of a request to an engine.
fn is_valid_generation_id(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || c == ID_SEPARATOR;
    text.chars().all(allowed)
}

/// Returns the index after the last token that the caller received, or `None` if `Last-Event-ID`
/// does not fit the generation.
fn first_missing_index(last_event_id: Option<&str>, generation: &str) -> Option<u64> {
    let Some(last) = last_event_id.filter(|last| !last.is_empty()) else { return Some(0) };
    let index = match last.rsplit_once(':') {
        Some((id, index)) if id == generation => index,
        Some(_) => return None,
        None => last,
    };
    Some(index.parse::<u64>().ok()? + 1)
}

/// Relays the rest of one generation to one caller.
struct ResumeRelay<'a> {
    entry: &'a EntryState,
    context: &'a RequestContext,
    session: &'a ControlSession,
    generation: &'a str,
    granted: &'a Granted,
}

impl ResumeRelay<'_> {
    /// Reads the generation from `first_index` on and sends its tokens to the caller. The response
    /// starts with the first token, so that an earlier failure is reported by its status.
    fn run(&self, request: Request<'_>, first_index: u64) {
        let ResumeRelay { entry, context, session, generation, granted } = self;
        let request_id = &context.record.request_id;
        let Ok(address) = granted.address.parse::<SocketAddr>() else {
            let refusal = Refusal::not_run(RefusalReason::NoSuchGeneration);
            return entry.refuse(context, request, &refusal, "");
        };
        let mut reader = engine::resume(address, generation, &granted.customer, first_index);
        let mut unanswered = Some(request);
        let mut stream = None;
        let mut tokens_sent = 0;
        let failure = loop {
            if let Some(stop) = session.stop_requested() {
                break stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn);
            }
            let index = reader.next_index;
            let outcome = reader.read();
            let has_output = matches!(outcome, ReadOutcome::Token(_) | ReadOutcome::Completed);
            if let Some(request) = unanswered.take_if(|_| has_output) {
                match EventStream::start(request, request_id) {
                    Ok(started) => stream = Some(started),
                    Err(_) => return,
                }
            }
            match (outcome, &mut stream) {
                (ReadOutcome::Token(text), Some(stream)) => {
                    if stream.send_token(generation, index, &text).is_err() {
                        return context.record.add_step("caller disconnected");
                    }
                    tokens_sent += 1;
                    entry.metrics.count_delivered_tokens(1);
                }
                (ReadOutcome::Completed, _) => {
                    let _ = stream.map(EventStream::complete);
                    return context.record.add_step(format!("complete: {tokens_sent} more tokens"));
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
        match (unanswered, stream) {
            (Some(request), _) => entry.refuse(context, request, &refusal, ""),
            (None, Some(stream)) => {
                context.record.add_refusal(&refusal);
                let _ = stream.fail(&refusal, tokens_sent, request_id);
            }
            (None, None) => {}
        }
    }
}
