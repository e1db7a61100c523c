//! Looks for another endpoint, or a peer VM, while an endpoint is late.

use super::exchange::{any_success, next_end};
use super::{MAX_RESPONSE_BYTES, PlainRequest};
use crate::forwarding::{Origin, Placed};
use crate::placing::{EndpointConnection, LinkUse, QueueUse};
use crate::reply::{Reply, ReplyBody};
use gypsumchute_exchange::BodyBuffer;
use gypsumchute_platform::{ResponseKind, classify_response};
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_units::RefusalReason;
use http::Response;
use http_body_util::BodyExt;
use log::info;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two searches for an endpoint besides one that is late, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 250;

/// What a search for another endpoint has found.
enum Found {
    /// An endpoint that has accepted a connection.
    Endpoint(EndpointConnection),
    /// The links to the endpoints are lost, and a peer may reach them.
    LinksLost,
    /// Nothing.
    Nothing,
}

impl PlainRequest<'_> {
    /// Holds against the endpoints of the exchanges that they are late.
    pub(super) fn note_late_exchanges(&mut self) {
        for exchange in self.exchanges.iter_mut().filter(|exchange| !exchange.is_late) {
            exchange.is_late = true;
            self.call.context.record_outcome(&exchange.endpoint, RequestOutcome::Timeout);
            info!(request = self.call.id(), endpoint = exchange.endpoint.as_str(),
                left_ms = self.call.remaining_ms();
                "endpoint is late; another one is looked for");
        }
    }

    /// Looks for another endpoint while the exchanges go on, and sends the request there if a retry is
    /// left. The end of an exchange ends the search.
    ///
    /// # Errors
    ///
    /// Returns the reply of a peer that has served the request in the meantime.
    pub(super) async fn search(&mut self, failure: &mut Option<Reply>) -> Result<(), Reply> {
        self.search_at = Some(Instant::now() + Duration::from_millis(SEARCH_INTERVAL_MS));
        // Without a retry, an endpoint's room would be taken in vain.
        if !self.has_retry && !self.call.context.has_retry(&self.call.service.id) {
            return Ok(());
        }
        let reason = RefusalReason::EndpointTimeout.into();
        match self.find_endpoint().await {
            Some(Found::Endpoint(placed)) if self.take_retry(reason) => {
                self.has_retry = false;
                self.log_retry(reason);
                self.begin(placed);
            }
            Some(Found::LinksLost) if self.take_retry(reason) => {
                return self.ask_peers(failure).await;
            }
            Some(_) | None => {}
        }
        Ok(())
    }

    /// Looks for an endpoint besides those of the exchanges. Returns `None` if an exchange or the time
    /// of the request ended first.
    async fn find_endpoint(&mut self) -> Option<Found> {
        let call = self.call;
        let links = match call.origin {
            Origin::Caller if !self.has_asked_peers => LinkUse::UnlessLost,
            Origin::Caller | Origin::Peer(_) => LinkUse::AfterOffers,
        };
        let mut excluded = self.excluded.clone();
        excluded.extend(self.exchanges.iter().map(|exchange| exchange.endpoint.clone()));
        let left = Duration::from_millis(call.remaining_ms());
        let placed = tokio::select! {
            biased;
            _ = next_end(&mut self.exchanges) => return None,
            placed = call.place_and_connect(&mut excluded, None, links, QueueUse::TryOnce) => placed,
            () = sleep(left) => return None,
        };
        match placed {
            Ok(placed) => Some(Found::Endpoint(placed)),
            Err(unplaced) if unplaced.links_failed && links == LinkUse::UnlessLost => {
                Some(Found::LinksLost)
            }
            Err(_) => Some(Found::Nothing),
        }
    }

    /// Hands the request to a peer while the exchanges go on.
    ///
    /// # Errors
    ///
    /// Returns the reply of the peer if it is usable.
    async fn ask_peers(&mut self, failure: &mut Option<Reply>) -> Result<(), Reply> {
        let call = self.call;
        self.has_asked_peers = true;
        let earlier_runs = call.possible_runs.endpoints();
        let endpoints_left = call.route.max_endpoints.saturating_sub(earlier_runs);
        let left = Duration::from_millis(call.remaining_ms());
        let forwarded = tokio::select! {
            biased;
            () = any_success(&mut self.exchanges) => None,
            forwarded = call.forward(endpoints_left) => forwarded,
            () = sleep(left) => None,
        };
        // The retry is used once the peer may have sent the request to an endpoint.
        if forwarded.is_some() || call.possible_runs.endpoints() > earlier_runs {
            self.has_retry = false;
        }
        let Some(Placed::Forwarded(reply)) = forwarded else { return Ok(()) };
        let request_id = call.caller.request_id.as_ref();
        match classify_response(reply.status(), reply.headers(), request_id) {
            ResponseKind::Success => {
                let Some(reply) = self.read_whole(reply).await else { return Ok(()) };
                self.is_forwarded = true;
                self.drop_exchanges();
                Err(reply)
            }
            ResponseKind::Failure => {
                *failure = Some(reply);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Reads the body of a peer's reply while the exchanges go on. Returns the whole reply, or `None` if
    /// it broke off or one of the exchanges has brought a success first.
    async fn read_whole(&mut self, reply: Reply) -> Option<Reply> {
        let (head, mut body) = reply.into_parts();
        let mut received = BodyBuffer::new(&self.call.context.limits.response_buffers);
        let reading = async {
            while let Some(frame) = body.frame().await {
                let chunk = frame.ok()?.into_data().unwrap_or_default();
                if received.len() + chunk.len() > MAX_RESPONSE_BYTES {
                    return None;
                }
                received.push(&chunk).ok()?;
            }
            Some(())
        };
        tokio::select! {
            biased;
            () = any_success(&mut self.exchanges) => return None,
            whole = reading => whole?,
        }
        Some(Response::from_parts(head, ReplyBody::Full(Some(received.freeze()))))
    }
}
