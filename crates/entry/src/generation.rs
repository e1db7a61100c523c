//! `POST /v1/completions`: one generation, streamed or whole.
//!
//! Until the first token has reached the caller, a generation whose engine is lost may be begun
//! anew at another one. After that it is only resumed; where that fails, the caller is told how
//! far it got.

use crate::callers_http::Request;
use crate::engine::{self, GenerationReader, ReadOutcome, StartError};
use crate::link::{ControlEvent, ControlSession};
use crate::request_history::RecordHandle;
use crate::responses::{self, EventStream, refusal_from_message};
use crate::server::{EntryState, RequestContext};
use gypsumchute_proto::local::{Admit, Finished, Granted, RequestKind};
use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, Refusal, RefusalReason};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Instant;

/// Characters a token, to guess a prompt's length.
const CHARS_PER_TOKEN: usize = 4;
/// Characters that make up the prefix by which prompts are placed together.
const PREFIX_CHARS: usize = 64;
/// Sign of life to a caller whose generation stands still.
const CALLER_BEAT_MS: u64 = 1_000;
/// Separates endpoint and random part in a generation's id.
pub const ID_SEPARATOR: char = '~';

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

/// How a generation ended at this VM.
enum Ended {
    /// It is whole.
    Whole,
    /// Its engine was lost; `crashed`: it went down.
    Lost { crashed: bool },
    /// It was stopped because of this.
    Stopped(RefusalReason),
    /// The caller has gone.
    CallerGone,
}

/// Where tokens go.
enum Sink<'c> {
    /// Nothing has been sent; the stream begins with the first token.
    Unsent(Request<'c>),
    Stream(EventStream),
    /// Kept until the generation is whole.
    Kept {
        request: Request<'c>,
        text: String,
    },
    Gone,
}

/// Serves a generation.
pub fn serve(entry: &EntryState, context: RequestContext, request: Request<'_>, body: &[u8]) {
    let record = &context.record;
    let parsed = match serde_json::from_slice::<Body>(body) {
        Ok(parsed) => parsed,
        Err(err) => {
            let refusal = Refusal::not_run(RefusalReason::Malformed);
            return entry.refuse(&context, request, &refusal, &err.to_string());
        }
    };
    record.set_route(&parsed.model);
    let session = entry.link.request_admission(admit_of(&context, &parsed, body.len() as u64));
    let mut sink = match parsed.stream {
        true => Sink::Unsent(request),
        false => Sink::Kept { request, text: String::new() },
    };
    loop {
        let granted = match session.wait_for_decision() {
            ControlEvent::Granted(granted) => granted,
            other => {
                session.finish(not_run());
                return entry.refuse_not_sent(&context, sink.into_request(), &other);
            }
        };
        record.set_customer(&granted.customer);
        record.add_step(format!("granted endpoint {}", granted.endpoint));
        let Some(run) = Run::begin(entry, &granted, &parsed, record) else {
            session.request_retry(false, true);
            continue;
        };
        match run.carry(entry, &context, &session, sink) {
            Carried::Ended(finished) => return session.finish(finished),
            Carried::Again { sink: unsent, crashed } => {
                record.add_step("engine lost before the first token: trying another one");
                sink = unsent;
                session.request_retry(crashed, crashed);
            }
        }
    }
}

fn not_run() -> Finished {
    Finished { not_run: true, stopped: true, ..Finished::default() }
}

fn admit_of(context: &RequestContext, body: &Body, body_bytes: u64) -> Admit {
    let prefix: String = body.prompt.chars().take(PREFIX_CHARS).collect();
    let has_prefix = prefix.len() >= PREFIX_CHARS;
    let limit = body.max_tokens.to_string();
    Admit {
        key: context.api_key.clone(),
        route: body.model.clone(),
        kind: RequestKind::Generation as i32,
        prompt_tokens: (body.prompt.len() / CHARS_PER_TOKEN + 1) as u32,
        max_tokens: body.max_tokens,
        fingerprint: hash64(&["generation", &body.model, &body.prompt, &limit]),
        prefix_hash: if has_prefix { hash64(&["prefix", &prefix]) } else { 0 },
        body_bytes,
        ..Admit::default()
    }
}

/// What one try led to.
enum Carried<'c> {
    Ended(Finished),
    Again { sink: Sink<'c>, crashed: bool },
}

/// One try at one engine.
struct Run<'a> {
    reader: GenerationReader,
    generation: String,
    address: SocketAddr,
    granted: &'a Granted,
    body: &'a Body,
}

impl<'a> Run<'a> {
    /// Sends the generation; `None` where it certainly does not run.
    fn begin(
        entry: &EntryState,
        granted: &'a Granted,
        body: &'a Body,
        record: &RecordHandle,
    ) -> Option<Self> {
        let address: SocketAddr = granted.address.parse().ok()?;
        let generation = format!("{}{ID_SEPARATOR}{:032x}", granted.endpoint, entry.random_id());
        let text = json!({
            "generation": generation,
            "customer": granted.customer,
            "prompt": body.prompt,
            "max_tokens": granted.max_tokens,
        });
        let use_until_ms = BootMs(granted.use_until_ms);
        let customer = &granted.customer;
        let text = text.to_string();
        match engine::start(address, use_until_ms, &generation, customer, text.as_bytes()) {
            Ok(reader) => Some(Run { reader, generation, address, granted, body }),
            Err(StartError::NotSent) => {
                record.add_step("not sent: the endpoint can't be reached in time");
                None
            }
            Err(StartError::Rejected(status)) => {
                record.add_step(format!("not run: the engine refused with status {status}"));
                None
            }
        }
    }

    fn carry<'c>(
        mut self,
        entry: &EntryState,
        context: &RequestContext,
        session: &ControlSession,
        sink: Sink<'c>,
    ) -> Carried<'c> {
        let mut delivery = Delivery::new(entry, context, &self.generation, sink);
        let ended = self.pump(&mut delivery, session);
        let tokens = self.reader.next as u32;
        let finished = Finished { tokens, stopped: true, ..Finished::default() };
        match ended {
            Ended::Lost { crashed } if delivery.sent == 0 => {
                Carried::Again { sink: delivery.into_unsent(), crashed }
            }
            Ended::Lost { crashed } => {
                let refusal = Refusal::may_have_run(RefusalReason::EndpointLost);
                delivery.fail(&refusal);
                Carried::Ended(Finished { stopped: crashed, crashed, ..finished })
            }
            Ended::Whole => {
                delivery.whole(&self, tokens);
                Carried::Ended(finished)
            }
            Ended::Stopped(reason) => {
                self.reader.close();
                let stopped = engine::cancel(self.address, &self.generation, false);
                delivery.fail(&Refusal::may_have_run(reason));
                Carried::Ended(Finished { stopped, ..finished })
            }
            Ended::CallerGone => {
                context.record.add_step("the caller has gone");
                let stopped = self.linger(entry.settings.resume_grace_ms, session);
                let tokens = self.reader.next as u32;
                Carried::Ended(Finished { tokens, stopped, ..finished })
            }
        }
    }

    fn pump(&mut self, delivery: &mut Delivery<'_, '_>, session: &ControlSession) -> Ended {
        loop {
            if let Some(stop) = session.stop_requested() {
                let reason = stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn);
                return Ended::Stopped(reason);
            }
            let index = self.reader.next;
            let alive = match self.reader.read() {
                ReadOutcome::Token(text) => delivery.token(index, &text),
                ReadOutcome::Idle => delivery.beat(),
                ReadOutcome::Completed => return Ended::Whole,
                ReadOutcome::Lost => return Ended::Lost { crashed: true },
                ReadOutcome::Unreachable | ReadOutcome::WrongCustomer => {
                    return Ended::Lost { crashed: false };
                }
            };
            if !alive {
                return Ended::CallerGone;
            }
        }
    }

    /// Lets a generation without a caller run on for a while, so that it may be resumed, and then
    /// ends it unless somebody reads it; returns whether it has certainly ended.
    fn linger(&mut self, grace_ms: u64, session: &ControlSession) -> bool {
        let until_ms = boot_now() + grace_ms;
        while boot_now() < until_ms && session.stop_requested().is_none() {
            match self.reader.read() {
                ReadOutcome::Token(_) | ReadOutcome::Idle => {}
                ReadOutcome::Completed | ReadOutcome::Lost => return true,
                ReadOutcome::Unreachable | ReadOutcome::WrongCustomer => return false,
            }
        }
        self.reader.close();
        engine::cancel(self.address, &self.generation, true)
    }
}

/// Carries tokens to the caller and measures how they arrive.
struct Delivery<'a, 'c> {
    entry: &'a EntryState,
    context: &'a RequestContext,
    generation: String,
    sink: Sink<'c>,
    /// Tokens that reached the caller.
    sent: u64,
    last: Option<Instant>,
    beat_ms: BootMs,
}

impl<'a, 'c> Delivery<'a, 'c> {
    fn new(
        entry: &'a EntryState,
        context: &'a RequestContext,
        generation: &str,
        sink: Sink<'c>,
    ) -> Self {
        let generation = generation.to_owned();
        Delivery { entry, context, generation, sink, sent: 0, last: None, beat_ms: boot_now() }
    }

    fn token(&mut self, index: u64, text: &str) -> bool {
        let sink = std::mem::replace(&mut self.sink, Sink::Gone);
        self.sink = match sink {
            Sink::Unsent(request) => {
                match EventStream::start(request, &self.context.record.request_id) {
                    Ok(stream) => Sink::Stream(stream),
                    Err(_) => Sink::Gone,
                }
            }
            other => other,
        };
        let alive = match &mut self.sink {
            Sink::Stream(stream) => stream.send_token(&self.generation, index, text).is_ok(),
            Sink::Kept { text: kept, .. } => {
                kept.push_str(text);
                return true;
            }
            Sink::Unsent(_) | Sink::Gone => false,
        };
        if alive {
            self.measure();
        }
        alive
    }

    fn measure(&mut self) {
        let now = Instant::now();
        let metrics = &self.entry.metrics;
        match self.last {
            None => metrics.record_first_token(self.context.elapsed_ms()),
            Some(last) => {
                metrics.record_between_tokens((now - last).as_secs_f64() * 1_000.0);
            }
        }
        metrics.count_tokens(1);
        self.last = Some(now);
        self.sent += 1;
    }

    fn beat(&mut self) -> bool {
        if boot_now().since(self.beat_ms) < CALLER_BEAT_MS {
            return true;
        }
        self.beat_ms = boot_now();
        match &mut self.sink {
            Sink::Stream(stream) => stream.send_keepalive().is_ok(),
            Sink::Unsent(_) | Sink::Kept { .. } => true,
            Sink::Gone => false,
        }
    }

    /// The sink as it was before a generation that is thrown away.
    fn into_unsent(self) -> Sink<'c> {
        match self.sink {
            Sink::Kept { request, .. } => Sink::Kept { request, text: String::new() },
            other => other,
        }
    }

    fn fail(self, refusal: &Refusal) {
        let request_id = &self.context.record.request_id;
        self.context.record.add_refusal(refusal);
        self.entry.count_refusal(refusal);
        match self.sink {
            Sink::Stream(stream) => {
                let _ = stream.fail(refusal, self.sent, request_id);
            }
            Sink::Unsent(request) | Sink::Kept { request, .. } => {
                responses::refuse(request, refusal, "", request_id);
            }
            Sink::Gone => {}
        }
    }

    fn whole(self, run: &Run<'_>, tokens: u32) {
        let finish_reason = if tokens >= run.granted.max_tokens { "length" } else { "stop" };
        let request_id = &self.context.record.request_id;
        let sent = match self.sink {
            Sink::Stream(stream) => stream.complete(),
            Sink::Unsent(request) => {
                EventStream::start(request, request_id).and_then(EventStream::complete)
            }
            Sink::Kept { request, text } => {
                let answer = json!({
                    "id": self.generation,
                    "object": "text_completion",
                    "model": run.body.model,
                    "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
                    "usage": { "completion_tokens": tokens },
                });
                self.entry.metrics.count_tokens(u64::from(tokens));
                let json = ("Content-Type".to_owned(), "application/json".to_owned());
                responses::respond(request, 200, &[json], answer.to_string().as_bytes(), request_id)
            }
            Sink::Gone => Ok(()),
        };
        let outcome = if sent.is_ok() { "whole" } else { "caller gone" };
        self.context.record.add_step(format!("{outcome}: {tokens} tokens"));
        self.entry.metrics.record_request(self.context.elapsed_ms(), "ok");
    }
}

impl<'c> Sink<'c> {
    fn into_request(self) -> Option<Request<'c>> {
        match self {
            Sink::Unsent(request) | Sink::Kept { request, .. } => Some(request),
            Sink::Stream(_) | Sink::Gone => None,
        }
    }
}

impl EntryState {
    /// Passes the control process's final word on a request of which nothing was sent.
    pub fn refuse_not_sent(
        &self,
        context: &RequestContext,
        request: Option<Request<'_>>,
        event: &ControlEvent,
    ) {
        let refusal = match event {
            ControlEvent::Refused(refused) => refusal_from_message(refused),
            ControlEvent::Stop(stop) => {
                let reason = stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn);
                Refusal::not_run(reason)
            }
            ControlEvent::Granted(_)
            | ControlEvent::Replay(_)
            | ControlEvent::ControlUnavailable => responses::control_unavailable(),
        };
        if let Some(request) = request {
            self.refuse(context, request, &refusal, "");
        }
    }
}
