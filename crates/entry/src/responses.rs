//! Answers to callers: refusals as JSON, whole bodies, and streams of events.

use crate::callers_http::{ChunkWriter, Request};
use gypsumchute_units::{Refusal, RefusalReason, Verdict};
use serde_json::json;
use std::io;

/// Name of the header that carries the request's id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

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

fn owned(headers: &[(&str, &str)]) -> Vec<(String, String)> {
    headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

/// Refuses a request: its final answer.
pub fn refuse(request: Request<'_>, refusal: &Refusal, detail: &str, request_id: &str) {
    let text = error_json(refusal, detail, request_id).to_string();
    let mut headers =
        owned(&[("Content-Type", "application/json"), (REQUEST_ID_HEADER, request_id)]);
    if let Some(after_ms) = refusal.retry_after_ms {
        let seconds = after_ms.div_ceil(1_000).max(1);
        headers.push(("Retry-After".to_owned(), seconds.to_string()));
    }
    let _ = request.respond(refusal.reason.http_status(), &headers, text.as_bytes());
}

/// Answers with a whole body.
///
/// # Errors
///
/// The caller is gone.
pub fn respond(
    request: Request<'_>,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
    request_id: &str,
) -> io::Result<()> {
    let mut all = headers.to_vec();
    all.extend(owned(&[(REQUEST_ID_HEADER, request_id)]));
    request.respond(status, &all, body)
}

/// A stream of Server-Sent Events, each flushed as it is written.
pub struct EventStream {
    writer: ChunkWriter,
}

impl EventStream {
    /// Sends the head.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn start(request: Request<'_>, request_id: &str) -> io::Result<Self> {
        let headers = owned(&[
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            (REQUEST_ID_HEADER, request_id),
        ]);
        Ok(EventStream { writer: request.stream(&headers)? })
    }

    /// Sends a token.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn send_token(&mut self, generation: &str, index: u64, text: &str) -> io::Result<()> {
        let data = json!({
            "id": generation,
            "object": "text_completion.chunk",
            "choices": [{ "index": 0, "text": text, "finish_reason": null }],
        });
        self.writer.send(&format!("id: {generation}:{index}\ndata: {data}\n\n"))
    }

    /// Sends a sign of life.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn send_keepalive(&mut self) -> io::Result<()> {
        self.writer.send(": waiting\n\n")
    }

    /// Says that the generation is whole, and ends.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn complete(mut self) -> io::Result<()> {
        self.writer.send("data: [DONE]\n\n")?;
        self.writer.end()
    }

    /// Says why the generation is not whole and how many tokens were sent, and ends.
    ///
    /// # Errors
    ///
    /// The caller is gone.
    pub fn fail(mut self, refusal: &Refusal, tokens: u64, request_id: &str) -> io::Result<()> {
        let mut data = error_json(refusal, "", request_id);
        data["error"]["tokens_sent"] = json!(tokens);
        self.writer.send(&format!("event: error\ndata: {data}\n\n"))?;
        self.writer.end()
    }
}

/// The refusal that the control process sent.
pub fn refusal_from_message(refused: &gypsumchute_proto::local::Refused) -> Refusal {
    Refusal {
        reason: refused.reason.parse().unwrap_or(RefusalReason::ControlUnavailable),
        verdict: if refused.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun },
        retry_after_ms: refused.has_retry_after.then_some(refused.retry_after_ms),
    }
}

/// The refusal for a request whose control process is gone before anything was sent.
pub fn control_unavailable() -> Refusal {
    Refusal::not_run_until(RefusalReason::ControlUnavailable, 500)
}
