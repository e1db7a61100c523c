//! Replies to callers: a complete body, a stream or a refusal.

use crate::call::EndedBy;
use crate::caller_input::RequestInProgress;
use crate::caller_limits::RequestGuard;
use bytes::Bytes;
use gypsumchute_exchange::ResponseStream;
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::{Refusal, RefusalReason, promises_not_run};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use log::info;
use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{Sleep, sleep};

/// Header of each refusal that names the reason, so that a VM which handed a request over can tell it.
const REFUSAL_REASON: HeaderName = HeaderName::from_static("refusal-reason");

/// Returns the reason of a refusal of another VM, or `None` if `headers` are not those of a refusal.
pub fn refusal_reason(headers: &HeaderMap) -> Option<RefusalReason> {
    headers.get(REFUSAL_REASON)?.to_str().ok()?.parse().ok()
}

/// Reports whether `reply` is a refusal of another VM which promises that the request has not run.
pub fn is_not_run_refusal(reply: &Reply) -> bool {
    refusal_reason(reply.headers()).is_some() && promises_not_run(reply.status().as_u16())
}

/// Aborts a response stream, so that the caller can tell that the stream is incomplete.
#[derive(Debug, Clone, Copy)]
pub struct StreamAborted;

impl fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the generation stream was aborted")
    }
}

impl std::error::Error for StreamAborted {}

impl From<Infallible> for StreamAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A part of a stream that waits for the caller to read it.
#[derive(Debug)]
pub struct QueuedChunk {
    /// Bytes for the caller.
    pub bytes: Bytes,
    /// Room that the bytes occupy in the stream's buffer.
    pub permit: OwnedSemaphorePermit,
    /// Room that they occupy in the memory that all streams share; `None` if the stream has little
    /// unread.
    pub shared_permit: Option<OwnedSemaphorePermit>,
}

/// Body of a reply.
pub enum ReplyBody {
    /// The complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// Chunks as they arrive. The sender is notified when the caller disconnects.
    Stream(StreamBody),
    /// The response of another VM, as it arrives.
    Relayed(Box<RelayedBody>),
}

/// Body of a stream. Its end is an abort unless the sender has marked it as complete before: a sender
/// may also be gone because its task has panicked.
pub struct StreamBody {
    chunks: mpsc::Receiver<QueuedChunk>,
    completion: StreamCompletion,
}

/// Whether all chunks of a stream have been queued, shared by its sender and its body.
#[derive(Debug, Clone, Default)]
pub struct StreamCompletion(Rc<Cell<bool>>);

impl StreamCompletion {
    /// Marks the stream as complete: nothing follows the chunks that have been queued.
    pub fn set_complete(&self) {
        self.0.set(true);
    }
}

impl StreamBody {
    /// Creates the body of the stream that the sender of `chunks` marks as complete at `completion`.
    pub fn new(chunks: mpsc::Receiver<QueuedChunk>, completion: StreamCompletion) -> Self {
        StreamBody { chunks, completion }
    }

    /// Polls the next frame of the body.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        Poll::Ready(match ready!(self.chunks.poll_recv(cx)) {
            Some(queued) => Some(Ok(Frame::data(queued.bytes))),
            None if self.completion.0.get() => None,
            None => Some(Err(StreamAborted)),
        })
    }
}

/// Body of another VM's response. Its end is logged and counted.
pub struct RelayedBody {
    response: ResponseStream,
    /// Completes when the response must have ended.
    deadline: Pin<Box<Sleep>>,
    request_id: String,
    metrics: Metrics,
    /// Whether the caller's connection has begun to read the body.
    is_read: bool,
    is_ended: bool,
}

impl RelayedBody {
    /// Relays the body of `response` to the request `request_id`, for `limit` at most.
    pub fn new(
        response: ResponseStream,
        limit: Duration,
        request_id: &str,
        metrics: &Metrics,
    ) -> Self {
        let deadline = Box::pin(sleep(limit));
        let (request_id, metrics) = (request_id.to_owned(), metrics.clone());
        RelayedBody { response, deadline, request_id, metrics, is_read: false, is_ended: false }
    }

    /// Logs and counts the end of the response.
    fn log_end(&mut self, outcome: &'static str, ended_by: EndedBy, cause: &str) {
        self.is_ended = true;
        self.metrics.count_request_end(ended_by.into(), outcome);
        info!(request = self.request_id.as_str(), outcome, ended_by:% = ended_by, cause;
            "response of peer VM ended");
    }

    /// Polls the next frame of the body.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        self.is_read = true;
        let Poll::Ready(frame) = self.response.poll_frame(cx) else {
            ready!(self.deadline.as_mut().poll(cx));
            self.log_end("timed_out", EndedBy::Deadline, "-");
            return Poll::Ready(Some(Err(StreamAborted)));
        };
        Poll::Ready(match frame {
            Some(Ok(frame)) => Some(Ok(frame)),
            Some(Err(err)) => {
                self.log_end("endpoint_lost", EndedBy::Peer, &err.to_string());
                Some(Err(StreamAborted))
            }
            None => {
                self.log_end("answered", EndedBy::Peer, "-");
                None
            }
        })
    }
}

/// A body with a known length is dropped at its last byte, before its end is polled.
impl Drop for RelayedBody {
    fn drop(&mut self) {
        match self.response.size_hint().exact() {
            // A response that is not passed on has no end of its own.
            _ if self.is_ended || !self.is_read => {}
            Some(0) => self.log_end("answered", EndedBy::Peer, "-"),
            _ => self.log_end("caller_left", EndedBy::Caller, "-"),
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            ReplyBody::Full(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            ReplyBody::Stream(body) => body.poll_frame(cx),
            ReplyBody::Relayed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Full(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64)
            }
            ReplyBody::Stream(_) => SizeHint::default(),
            ReplyBody::Relayed(body) => body.response.size_hint(),
        }
    }
}

/// A reply to a caller.
pub type Reply = Response<ReplyBody>;

/// Body of a reply whose request counts as in progress until the body is sent or dropped.
pub struct CountedBody {
    body: ReplyBody,
    _request: Option<RequestGuard>,
    _in_progress: RequestInProgress,
}

impl CountedBody {
    /// Keeps the guards of a request until `body` is sent.
    pub fn new(
        body: ReplyBody,
        request: Option<RequestGuard>,
        in_progress: RequestInProgress,
    ) -> Self {
        CountedBody { body, _request: request, _in_progress: in_progress }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Builds a reply with a complete body.
pub fn full_reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Full(Some(body)));
    *reply.status_mut() = status;
    reply
}

/// Builds the reply that carries `refusal`.
pub fn refusal_reply(refusal: Refusal) -> Reply {
    let status = StatusCode::from_u16(refusal.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = format!(
        "{{\"reason\":\"{}\",\"verdict\":\"{}\",\"message\":\"{}\"}}\n",
        refusal.reason,
        refusal.verdict,
        refusal.reason.message()
    );
    let mut reply = full_reply(status, Bytes::from(body));
    let headers = reply.headers_mut();
    headers.insert(REFUSAL_REASON, HeaderValue::from_static(refusal.reason.into()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let seconds = refusal.retry_after_ms.map(|ms| format!("{:.3}", ms as f64 / 1_000.0));
    if let Some(Ok(seconds)) = seconds.map(HeaderValue::try_from) {
        headers.insert(RETRY_AFTER, seconds);
    }
    reply
}
