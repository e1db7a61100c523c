//! Requests to plain services: one whole answer each.

use crate::call::{Call, Placed, SendPlan};
use crate::reply::{self, Reply, ReplyBody};
use bytes::Bytes;
use gypsumchute_exchange::{Answer, ExchangeError};
use gypsumchute_platform::{AnswerKind, endpoints};
use gypsumchute_routing::RouteKind;
use gypsumchute_routing::outcomes::Outcome;
use gypsumchute_units::{EndpointId, Refusal, RefusalReason};
use http::Response;
use log::info;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::timeout;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Sends of one request that endpoints may turn down before it is refused.
const MAX_REJECTIONS: u32 = 3;
/// A repeatable request without an answer after so many times its target is tried elsewhere.
const SILENCE_PER_TARGET: u64 = 2;
/// Shortest such time, in ms.
const MIN_SILENCE_MS: u64 = 250;

/// What came of one send.
enum Sent {
    /// A whole answer that may go to the caller.
    Answered(Reply),
    /// The endpoint failed by itself: a repeatable request may fare better elsewhere.
    Failed(Reply),
    /// The endpoint did not run it.
    NotRun,
    /// It may have run; there is no answer.
    Lost(RefusalReason),
}

/// Takes `call` to an endpoint and returns the caller's answer.
pub async fn answer(call: &Call) -> Reply {
    let mut course = Course { call, avoid: BTreeSet::new(), sends: 0, runs: 0, last: None };
    let reply = course.run().await;
    let outcome = if reply.status().is_success() { "answered" } else { "failed" };
    call.log_end(outcome, reply.status().as_u16(), course.last.as_ref(), course.sends);
    reply
}

struct Course<'a> {
    call: &'a Call,
    avoid: BTreeSet<EndpointId>,
    sends: u32,
    /// Endpoints that may have run it.
    runs: u32,
    last: Option<EndpointId>,
}

impl Course<'_> {
    async fn run(&mut self) -> Reply {
        let mut failure: Option<Reply> = None;
        loop {
            let placed = match self.call.find_endpoint(&self.avoid).await {
                Ok(placed) => placed,
                Err(refusal) => return failure.unwrap_or_else(|| self.give_up(refusal)),
            };
            let endpoint = placed.endpoint.clone();
            self.last = Some(endpoint.clone());
            let sent = self.send(placed).await;
            self.avoid.insert(endpoint);
            let retry_reason = match sent {
                Sent::Answered(reply) => return reply,
                Sent::Failed(reply) if !self.may_run_again() => return reply,
                Sent::Failed(reply) => {
                    failure = Some(reply);
                    "endpoint_error"
                }
                Sent::NotRun if self.sends < MAX_REJECTIONS => "not_run",
                Sent::NotRun => {
                    let typical_ms = self.call.route.target_ms;
                    let refusal = self.call.refuse_until(RefusalReason::NoRoom, typical_ms);
                    return failure.unwrap_or_else(|| self.give_up(refusal));
                }
                Sent::Lost(reason) if !self.may_run_again() => return self.lost(reason),
                Sent::Lost(reason) => reason.into(),
            };
            if !self.call.context.take_retry(&self.call.service.id, retry_reason) {
                let refusal = self.call.refuse_until(RefusalReason::NoRoom, 1_000);
                return failure.unwrap_or_else(|| self.give_up(refusal));
            }
            info!(request = self.call.id(), endpoint = self.last.as_ref().map_or("-", EndpointId::as_str),
                reason = retry_reason, left_ms = self.call.left_ms(); "request is sent once more");
        }
    }

    fn may_run_again(&self) -> bool {
        let repeatable = self.call.route.kind == RouteKind::Idempotent;
        repeatable && self.runs < self.call.route.max_endpoints && self.call.left_ms() > 0
    }

    /// How long this send may take: to the end where nothing else can be tried.
    fn limit_ms(&self) -> u64 {
        let left_ms = self.call.left_ms();
        let others = self.runs + 1 < self.call.route.max_endpoints;
        match self.call.route.kind == RouteKind::Idempotent && others {
            true => {
                left_ms.min((self.call.route.target_ms * SILENCE_PER_TARGET).max(MIN_SILENCE_MS))
            }
            false => left_ms,
        }
    }

    async fn send(&mut self, placed: Placed) -> Sent {
        self.sends += 1;
        let limit = Duration::from_millis(self.limit_ms());
        let Placed { endpoint, connection, occupied, .. } = placed;
        let exchange = async {
            let sent = self.call.send(connection, &endpoint, SendPlan::default());
            let (mut answer, kind) = sent.await?;
            let body = answer.read_all(MAX_ANSWER_BYTES).await;
            Ok::<_, ExchangeError>((answer, kind, body))
        };
        let result = timeout(limit, exchange).await;
        drop(occupied);
        let (sent, outcome) = match result {
            Err(_) => (Sent::Lost(RefusalReason::EndpointTimeout), Outcome::Silent),
            Ok(Err(_)) | Ok(Ok((_, _, Err(_)))) => {
                (Sent::Lost(RefusalReason::EndpointLost), Outcome::Broken)
            }
            Ok(Ok((answer, kind, Ok(body)))) => judge(answer, kind, body),
        };
        if !matches!(sent, Sent::NotRun) {
            self.runs += 1;
        }
        if outcome == Outcome::Broken {
            self.call.context.note_crash(self.call.fingerprint, &endpoint);
        }
        self.call.context.observe(&endpoint, outcome);
        sent
    }

    /// Ends a request for which no endpoint is left: with `refusal` only if it has run nowhere.
    fn give_up(&self, refusal: Refusal) -> Reply {
        match self.runs {
            0 => self.refuse(refusal),
            _ => self.lost(RefusalReason::EndpointLost),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        self.call.context.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
        reply::refuse(refusal)
    }

    fn lost(&self, reason: RefusalReason) -> Reply {
        self.refuse(Refusal::may_have_run(reason))
    }
}

fn judge(answer: Answer, kind: AnswerKind, body: Bytes) -> (Sent, Outcome) {
    match kind {
        AnswerKind::Success => (Sent::Answered(pass_on(&answer, body)), Outcome::Answered),
        AnswerKind::Failure => (Sent::Failed(pass_on(&answer, body)), Outcome::Error),
        AnswerKind::NotRun => (Sent::NotRun, Outcome::Rejected),
        AnswerKind::WrongEndpoint => (Sent::NotRun, Outcome::Broken),
        AnswerKind::Foreign => (Sent::Lost(RefusalReason::EndpointProtocol), Outcome::Broken),
    }
}

/// The endpoint's answer with its own status, headers and body.
pub fn pass_on(answer: &Answer, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Some(body)));
    *reply.status_mut() = answer.head.status;
    *reply.headers_mut() = endpoints::answer_headers(&answer.head.headers);
    reply
}
