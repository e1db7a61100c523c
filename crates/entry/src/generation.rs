//! Serves generations at `POST /v1/completions`, streamed or as one response.
//!
//! A generation whose engine is lost may be started again at another engine until the first token
//! has been sent to the caller. After that it is only resumed at the same engine. If resuming
//! fails, the caller receives an error with the number of tokens sent.

use crate::engine::{self, GenerationReader, ReadOutcome, StartError};
use crate::link::{ControlEvent, ControlSession};
use crate::request_history::{RecordHandle, shorten_route};
use crate::responses::{self, EventStream, refusal_from_event};
use crate::server::{EntryState, RequestContext};
use gypsumchute_proto::local::{Admit, Finished, Granted, RequestKind};
use gypsumchute_serving::http::Request;
use gypsumchute_units::rendezvous::hash64;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, Refusal, RefusalReason};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Instant;

/// Estimated size of a token of prompt text, in bytes.
const BYTES_PER_TOKEN: usize = 4;
/// Number of leading characters of a prompt that are hashed, so that prompts with the same prefix
/// can be placed at the same engine.
const PREFIX_CHARS: usize = 64;
/// Interval between keepalive comments on a stream without new tokens, in milliseconds.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;
/// Separator between the endpoint id and the random part of a generation id.
pub const ID_SEPARATOR: char = '~';

/// JSON body of a completion request. The name of the type appears in parse errors that callers
/// receive.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

/// Reason why reading tokens from the engine ended.
enum RunOutcome {
    /// All tokens of the generation have been read.
    Completed,
    /// The engine was lost. `crashed` is set if the engine went down or no longer has the
    /// generation, so that the generation certainly no longer runs.
    EngineLost { crashed: bool },
    /// The control process cancelled the request for this reason.
    Cancelled(RefusalReason),
    /// The caller closed the connection or stopped reading.
    CallerDisconnected,
}

/// Destination of the tokens of a generation.
enum Sink<'c> {
    /// A streamed response before its first token. Nothing has been sent to the caller.
    NotStarted(Request<'c>),
    /// A stream that has been started.
    Stream(EventStream),
    /// A response that is collected and sent when the generation is complete.
    Buffered { request: Request<'c>, text: String },
    /// The caller disconnected before the stream could be started.
    Closed,
}

/// Serves one generation: requests admission, starts the generation at the granted endpoint and
/// relays its tokens, and retries at another endpoint while no token has been sent.
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
    let session = entry.link.request_admission(admit_message(&context, &parsed, body.len() as u64));
    let mut sink = match parsed.stream {
        true => Sink::NotStarted(request),
        false => Sink::Buffered { request, text: String::new() },
    };
    loop {
        let granted = match session.wait_for_decision() {
            ControlEvent::Granted(granted) => granted,
            other => {
                let refusal = session.correct(refusal_from_event(&other));
                session.finish(not_run());
                if let Some(request) = sink.into_request() {
                    entry.refuse(&context, request, &refusal, "");
                }
                return;
            }
        };
        record.set_customer(&granted.customer);
        record.add_step(format!("granted endpoint {}", granted.endpoint));
        let Some(run) = EngineRun::start(entry, &granted, &parsed, record) else {
            session.request_retry(false, true);
            continue;
        };
        match run.relay(entry, &context, &session, sink) {
            RelayResult::Done(finished) => return session.finish(finished),
            RelayResult::Retry { sink: reset_sink, crashed } => {
                record.add_step("engine lost before the first token: retrying at another endpoint");
                sink = reset_sink;
                session.request_retry(crashed, crashed);
            }
        }
    }
}

/// Returns the message that reports that the request was not run.
fn not_run() -> Finished {
    Finished { not_run: true, stopped: true, ..Finished::default() }
}

/// Returns the message that requests admission of a generation. The prefix hash is 0 for a prompt
/// that is shorter than the prefix.
fn admit_message(context: &RequestContext, body: &Body, body_bytes: u64) -> Admit {
    let prefix: String = body.prompt.chars().take(PREFIX_CHARS).collect();
    let has_prefix = prefix.len() >= PREFIX_CHARS;
    let max_tokens = body.max_tokens.to_string();
    Admit {
        key: context.api_key.clone(),
        route: shorten_route(&body.model).to_owned(),
        kind: RequestKind::Generation as i32,
        prompt_tokens: (body.prompt.len() / BYTES_PER_TOKEN + 1) as u32,
        max_tokens: body.max_tokens,
        fingerprint: hash64(&["generation", &body.model, &body.prompt, &max_tokens]),
        prefix_hash: if has_prefix { hash64(&["prefix", &prefix]) } else { 0 },
        body_bytes,
        ..Admit::default()
    }
}

/// Result of relaying one attempt.
enum RelayResult<'c> {
    /// The request has been answered or the caller has disconnected.
    Done(Finished),
    /// The engine was lost before a token was sent, and the sink can be used for the next attempt.
    /// `crashed` has the meaning of [`RunOutcome::EngineLost`].
    Retry { sink: Sink<'c>, crashed: bool },
}

/// One attempt to run a generation at one engine.
struct EngineRun<'a> {
    reader: GenerationReader,
    /// Generation id, which is different for each attempt.
    generation: String,
    address: SocketAddr,
    granted: &'a Granted,
    body: &'a Body,
}

impl<'a> EngineRun<'a> {
    /// Starts the generation at the granted endpoint. Returns `None` if the generation certainly
    /// does not run at this endpoint.
    fn start(
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
            Ok(reader) => Some(EngineRun { reader, generation, address, granted, body }),
            Err(StartError::NotSent) => {
                record.add_step("not sent: connection failed or permit expired");
                None
            }
            Err(StartError::Rejected(status)) => {
                record.add_step(format!(
                    "not run: the engine rejected the request with status {status}"
                ));
                None
            }
        }
    }

    /// Relays the generation to the caller until the end. Cancels the generation at the engine if
    /// the control process cancelled the request, or if the caller disconnected and did not resume.
    fn relay<'c>(
        mut self,
        entry: &EntryState,
        context: &RequestContext,
        session: &ControlSession,
        sink: Sink<'c>,
    ) -> RelayResult<'c> {
        let mut relay = TokenRelay::new(entry, context, &self.generation, sink);
        let outcome = self.relay_tokens(&mut relay, session);
        let tokens = self.reader.next_index as u32;
        let finished = Finished { tokens, stopped: true, ..Finished::default() };
        match outcome {
            RunOutcome::EngineLost { crashed } if relay.tokens_sent == 0 => {
                RelayResult::Retry { sink: relay.into_reset_sink(), crashed }
            }
            RunOutcome::EngineLost { crashed } => {
                let refusal = Refusal::may_have_run(RefusalReason::EndpointLost);
                relay.fail(&refusal);
                RelayResult::Done(Finished { stopped: crashed, crashed, ..finished })
            }
            RunOutcome::Completed => {
                relay.complete(&self, tokens);
                RelayResult::Done(finished)
            }
            RunOutcome::Cancelled(reason) => {
                self.reader.close();
                let stopped = engine::cancel(self.address, &self.generation, false);
                relay.fail(&Refusal::may_have_run(reason));
                RelayResult::Done(Finished { stopped, ..finished })
            }
            RunOutcome::CallerDisconnected => {
                context.record.add_step("caller disconnected");
                let stopped = self.wait_for_resume(entry.settings.resume_grace_ms, session);
                let tokens = self.reader.next_index as u32;
                RelayResult::Done(Finished { tokens, stopped, ..finished })
            }
        }
    }

    /// Relays tokens until the generation ends, the control process cancels the request or the
    /// caller disconnects.
    fn relay_tokens(
        &mut self,
        relay: &mut TokenRelay<'_, '_>,
        session: &ControlSession,
    ) -> RunOutcome {
        loop {
            if let Some(stop) = session.stop_requested() {
                let reason = stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn);
                return RunOutcome::Cancelled(reason);
            }
            let index = self.reader.next_index;
            let connected = match self.reader.read() {
                ReadOutcome::Token(text) => relay.send_token(index, &text),
                ReadOutcome::Idle => relay.keep_alive(),
                ReadOutcome::Completed => return RunOutcome::Completed,
                ReadOutcome::Lost => return RunOutcome::EngineLost { crashed: true },
                ReadOutcome::Unreachable | ReadOutcome::WrongCustomer => {
                    return RunOutcome::EngineLost { crashed: false };
                }
            };
            if !connected {
                return RunOutcome::CallerDisconnected;
            }
        }
    }

    /// Keeps reading a generation whose caller disconnected, so that the caller can resume the
    /// generation within `grace_ms`. Afterwards cancels the generation at the engine, unless it has
    /// another reader. Returns whether the generation has certainly ended.
    fn wait_for_resume(&mut self, grace_ms: u64, session: &ControlSession) -> bool {
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

/// Sends tokens to the caller and records their timing.
struct TokenRelay<'a, 'c> {
    entry: &'a EntryState,
    context: &'a RequestContext,
    generation: String,
    sink: Sink<'c>,
    /// Number of tokens sent on the stream. Stays 0 while tokens are buffered.
    tokens_sent: u64,
    /// Time at which the latest token was sent.
    last_token_at: Option<Instant>,
    /// Time of the latest keepalive.
    last_keepalive_ms: BootMs,
}

impl<'a, 'c> TokenRelay<'a, 'c> {
    fn new(
        entry: &'a EntryState,
        context: &'a RequestContext,
        generation: &str,
        sink: Sink<'c>,
    ) -> Self {
        let generation = generation.to_owned();
        TokenRelay {
            entry,
            context,
            generation,
            sink,
            tokens_sent: 0,
            last_token_at: None,
            last_keepalive_ms: boot_now(),
        }
    }

    /// Sends or buffers one token. Returns whether the caller is still connected.
    fn send_token(&mut self, index: u64, text: &str) -> bool {
        let sink = std::mem::replace(&mut self.sink, Sink::Closed);
        self.sink = match sink {
            Sink::NotStarted(request) => {
                match EventStream::start(request, &self.context.record.request_id) {
                    Ok(stream) => Sink::Stream(stream),
                    Err(_) => Sink::Closed,
                }
            }
            other => other,
        };
        let connected = match &mut self.sink {
            Sink::Stream(stream) => stream.send_token(&self.generation, index, text).is_ok(),
            Sink::Buffered { text: buffered, .. } => {
                buffered.push_str(text);
                return true;
            }
            Sink::NotStarted(_) | Sink::Closed => false,
        };
        if connected {
            self.record_token();
        }
        connected
    }

    /// Counts a sent token and records its latency.
    fn record_token(&mut self) {
        let now = Instant::now();
        let metrics = &self.entry.metrics;
        match self.last_token_at {
            None => metrics.record_first_token_latency(self.context.elapsed_ms()),
            Some(last) => {
                metrics.record_inter_token_latency((now - last).as_secs_f64() * 1_000.0);
            }
        }
        metrics.count_delivered_tokens(1);
        self.last_token_at = Some(now);
        self.tokens_sent += 1;
    }

    /// Sends a keepalive if one is due. Returns whether the caller is still connected.
    fn keep_alive(&mut self) -> bool {
        if boot_now().since(self.last_keepalive_ms) < KEEPALIVE_INTERVAL_MS {
            return true;
        }
        self.last_keepalive_ms = boot_now();
        match &mut self.sink {
            Sink::Stream(stream) => stream.send_keepalive().is_ok(),
            Sink::NotStarted(_) | Sink::Buffered { .. } => true,
            Sink::Closed => false,
        }
    }

    /// Returns the sink without the tokens of the lost attempt, for use by the next attempt.
    fn into_reset_sink(self) -> Sink<'c> {
        match self.sink {
            Sink::Buffered { request, .. } => Sink::Buffered { request, text: String::new() },
            other => other,
        }
    }

    /// Ends the response with an error.
    fn fail(self, refusal: &Refusal) {
        let request_id = &self.context.record.request_id;
        self.context.record.add_refusal(refusal);
        self.entry.count_refusal(refusal);
        match self.sink {
            Sink::Stream(stream) => {
                let _ = stream.fail(refusal, self.tokens_sent, request_id);
            }
            Sink::NotStarted(request) | Sink::Buffered { request, .. } => {
                responses::refuse(request, refusal, "", request_id);
            }
            Sink::Closed => {}
        }
    }

    /// Ends the response of a complete generation.
    fn complete(self, run: &EngineRun<'_>, tokens: u32) {
        let finish_reason = if tokens >= run.granted.max_tokens { "length" } else { "stop" };
        let request_id = &self.context.record.request_id;
        let sent = match self.sink {
            Sink::Stream(stream) => stream.complete(),
            Sink::NotStarted(request) => {
                EventStream::start(request, request_id).and_then(EventStream::complete)
            }
            Sink::Buffered { request, text } => {
                let response = json!({
                    "id": self.generation,
                    "object": "text_completion",
                    "model": run.body.model,
                    "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
                    "usage": { "completion_tokens": tokens },
                });
                self.entry.metrics.count_delivered_tokens(u64::from(tokens));
                let json = ("Content-Type".to_owned(), "application/json".to_owned());
                responses::respond(
                    request,
                    200,
                    &[json],
                    response.to_string().as_bytes(),
                    request_id,
                )
            }
            Sink::Closed => Ok(()),
        };
        let outcome = if sent.is_ok() { "complete" } else { "caller disconnected" };
        self.context.record.add_step(format!("{outcome}: {tokens} tokens"));
        self.entry.metrics.record_request_latency(self.context.elapsed_ms(), "ok");
    }
}

impl<'c> Sink<'c> {
    /// Returns the request, unless the response has been started.
    fn into_request(self) -> Option<Request<'c>> {
        match self {
            Sink::NotStarted(request) | Sink::Buffered { request, .. } => Some(request),
            Sink::Stream(_) | Sink::Closed => None,
        }
    }
}
