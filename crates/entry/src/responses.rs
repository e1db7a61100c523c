//! Responses to callers: refusals as JSON, complete bodies, and streams of server-sent events.

use crate::link::ControlEvent;
use gypsumchute_serving::http::{ChunkWriter, Request};
use gypsumchute_units::{Refusal, RefusalReason, Verdict};
use serde_json::json;
use std::io;

/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// Returns the JSON body of a refusal.
fn error_json(refusal: &Refusal, detail: &str, request_id: &str) -> serde_json::Value {
    let message = match detail {
        "" => refusal.reason.message().to_owned(),
        detail => format!("{}: {detail}", refusal.reason.message()),
    };
    json!({ "error": {
        "code": refusal.reason,
        "message": message,
        "verdict": refusal.verdict,
        "retry_after_ms": refusal.retry_after_ms,
        "request_id": request_id,
    }})
}

/// Converts header names and values to owned strings.
fn owned_headers(headers: &[(&str, &str)]) -> Vec<(String, String)> {
    headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

/// Refuses a request. `detail` is added to the error message unless it is empty.
pub fn refuse(request: Request<'_>, refusal: &Refusal, detail: &str, request_id: &str) {
    let text = error_json(refusal, detail, request_id).to_string();
    let mut headers =
        owned_headers(&[("Content-Type", "application/json"), (REQUEST_ID_HEADER, request_id)]);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        headers.push(("Retry-After".to_owned(), seconds.to_string()));
    }
    let _ = request.respond(refusal.http_status(), &headers, text.as_bytes());
}

/// Sends a response with a complete body.
///
/// # Errors
///
/// The caller disconnected.
pub fn respond(
    request: Request<'_>,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
    request_id: &str,
) -> io::Result<()> {
    let mut all_headers = headers.to_vec();
    all_headers.extend(owned_headers(&[(REQUEST_ID_HEADER, request_id)]));
    request.respond(status, &all_headers, body)
}

/// A stream of server-sent events. Each event is sent immediately.
pub struct EventStream {
    writer: ChunkWriter,
}

impl EventStream {
    /// Sends the response head.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn start(request: Request<'_>, request_id: &str) -> io::Result<Self> {
        let headers = owned_headers(&[
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            (REQUEST_ID_HEADER, request_id),
        ]);
        Ok(EventStream { writer: request.start_stream(&headers)? })
    }

    /// Sends a token. The event id consists of the generation and the token index, so that the
    /// caller can resume after this token.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn send_token(&mut self, generation: &str, index: u64, text: &str) -> io::Result<()> {
        let data = json!({
            "id": generation,
            "object": "text_completion.chunk",
            "choices": [{ "index": 0, "text": text, "finish_reason": null }],
        });
        self.writer.send(&format!("id: {generation}:{index}\ndata: {data}\n\n"))
    }

    /// Sends a comment, so that the connection does not appear idle.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn send_keepalive(&mut self) -> io::Result<()> {
        self.writer.send(": waiting\n\n")
    }

    /// Reports that the generation is complete, and ends the stream.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn complete(mut self) -> io::Result<()> {
        self.writer.send("data: [DONE]\n\n")?;
        self.writer.end()
    }

    /// Reports why the generation is incomplete and how many tokens were sent, and ends the stream.
    ///
    /// # Errors
    ///
    /// The caller disconnected.
    pub fn fail(mut self, refusal: &Refusal, tokens_sent: u64, request_id: &str) -> io::Result<()> {
        let mut data = error_json(refusal, "", request_id);
        data["error"]["tokens_sent"] = json!(tokens_sent);
        self.writer.send(&format!("event: error\ndata: {data}\n\n"))?;
        self.writer.end()
    }
}

/// Returns the refusal of a request that was granted no endpoint, because the control process refused
/// or cancelled the request or gave no decision. Unexpected events count as no decision.
pub fn refusal_from_event(event: &ControlEvent) -> Refusal {
    match event {
        ControlEvent::Refused(refused) => refusal_from_message(refused),
        ControlEvent::Stop(stop) => {
            Refusal::not_run(stop.reason.parse().unwrap_or(RefusalReason::KeyWithdrawn))
        }
        ControlEvent::Granted(_) | ControlEvent::Replay(_) | ControlEvent::ControlUnavailable => {
            control_unavailable()
        }
    }
}

/// Returns the refusal that a message of the control process describes.
fn refusal_from_message(refused: &gypsumchute_proto::local::Refused) -> Refusal {
    Refusal {
        reason: refused.reason.parse().unwrap_or(RefusalReason::ControlUnavailable),
        verdict: if refused.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun },
        retry_after_ms: refused.has_retry_after.then_some(refused.retry_after_ms),
    }
}

/// Returns the refusal for a request that was not sent because the control process is unavailable.
fn control_unavailable() -> Refusal {
    Refusal::not_run_retry_after(RefusalReason::ControlUnavailable, 500)
}
