//! One exchange with an endpoint of a plain service, and its result.

use super::forward_response;
use crate::context::LoadGuard;
use crate::reply::Reply;
use bytes::Bytes;
use gypsumchute_exchange::{ExchangeError, ResponseStream};
use gypsumchute_platform::ResponseKind;
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::{BootMs, EndpointId, RefusalReason};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Response with its body, or the failure of the connection.
pub(super) type ExchangeResult =
    Result<(ResponseStream, ResponseKind, Result<Bytes, ExchangeError>), ExchangeError>;

/// A request that was sent to an endpoint. Dropping it closes the connection, which ends the run.
pub(super) struct Exchange<'a> {
    /// Endpoint that the request was sent to.
    pub(super) endpoint: EndpointId,
    /// When the request was sent.
    pub(super) sent_ms: BootMs,
    /// Whether the endpoint was late, which is held against it once.
    pub(super) is_late: bool,
    /// Completes with the result.
    pub(super) response: Pin<Box<dyn Future<Output = ExchangeResult> + 'a>>,
    /// Result, once the exchange has ended.
    pub(super) result: Option<ExchangeResult>,
    /// Accounts for the load of the request at the endpoint.
    pub(super) _load_guard: LoadGuard,
}

impl Exchange<'_> {
    /// Reports whether the exchange has ended, after reading what has arrived.
    fn has_ended(&mut self, cx: &mut Context<'_>) -> bool {
        if self.result.is_none()
            && let Poll::Ready(result) = self.response.as_mut().poll(cx)
        {
            self.result = Some(result);
        }
        self.result.is_some()
    }

    /// Reports whether the endpoint has answered with a success.
    fn has_succeeded(&self) -> bool {
        matches!(self.result, Some(Ok((_, ResponseKind::Success, Ok(_)))))
    }
}

/// Waits until one of the exchanges has brought a success.
pub(super) async fn any_success(exchanges: &mut [Exchange<'_>]) {
    poll_fn(|cx| {
        let mut has_success = false;
        for exchange in exchanges.iter_mut() {
            has_success |= exchange.has_ended(cx) && exchange.has_succeeded();
        }
        if has_success { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

/// Waits until one of the exchanges has ended, and returns its index.
pub(super) async fn next_end(exchanges: &mut [Exchange<'_>]) -> usize {
    poll_fn(|cx| {
        let ended = exchanges.iter_mut().position(|exchange| exchange.has_ended(cx));
        ended.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

/// Result of sending a request to one endpoint.
pub(super) enum SendOutcome {
    /// The endpoint returned a complete response that can be forwarded to the caller.
    Answered(Reply),
    /// The endpoint returned an error. An idempotent request may succeed at another endpoint.
    Failed(Reply),
    /// The endpoint did not run the request.
    NotRun,
    /// The endpoint may have run the request, but returned no usable response.
    Lost(RefusalReason),
}

/// Converts an endpoint's response into the result for the request and the outcome for the
/// endpoint.
pub(super) fn classify(
    response: &ResponseStream,
    kind: ResponseKind,
    body: &Bytes,
) -> (SendOutcome, RequestOutcome) {
    match kind {
        ResponseKind::Success => (
            SendOutcome::Answered(forward_response(response, body.clone())),
            RequestOutcome::Success,
        ),
        ResponseKind::Failure => (
            SendOutcome::Failed(forward_response(response, body.clone())),
            RequestOutcome::ServiceError,
        ),
        ResponseKind::NotRun => (SendOutcome::NotRun, RequestOutcome::Rejected),
        ResponseKind::WrongEndpoint => (SendOutcome::NotRun, RequestOutcome::TransportError),
        ResponseKind::Foreign => {
            (SendOutcome::Lost(RefusalReason::EndpointProtocol), RequestOutcome::TransportError)
        }
    }
}
