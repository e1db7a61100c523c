//! One request of a caller on its way to an endpoint.

use crate::context::{Context, LoadGuard};
use bytes::Bytes;
use gypsumchute_exchange::{Answer, Connection, ExchangeError, Patience};
use gypsumchute_platform::{AnswerKind, CallerHead, Forwarding, RunSource, endpoints, read_answer};
use gypsumchute_routing::admission::{Ticket, patience_ms, return_after_ms};
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::Outcome;
use gypsumchute_routing::placement::{Demand, Placement, place};
use gypsumchute_routing::{Customer, Priority, Route, RouteKind, Service};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, Refusal, RefusalReason, RequestId, ZoneId};
use http::{HeaderMap, Method, Uri};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for a connection to an endpoint. It takes a few ms, and a lost packet is sent again
/// only after 1 s: another endpoint is tried before that.
const CONNECT_TIMEOUT_MS: u64 = 150;
/// Connections that fail before a request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;
/// What a generation is taken to need beyond the caller's estimate of its output.
const OUTPUT_ESTIMATE_MARGIN: f64 = 1.25;
/// Part of the longest output that is expected where the caller gives no estimate.
const DEFAULT_OUTPUT_FRACTION: f64 = 0.5;

/// A request that was read whole and may go to an endpoint.
pub struct Call {
    /// All that the daemon shares.
    pub context: Rc<Context>,
    /// What its head says.
    pub caller: CallerHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// The service it goes to.
    pub service: Service,
    /// Zones in which it may run; none named means all.
    pub zones: BTreeSet<ZoneId>,
    /// Whose key came with it.
    pub customer: Option<Customer>,
    /// When its head was read.
    pub arrived_ms: BootMs,
    /// When the caller, or the operator, wants it answered.
    pub deadline_ms: BootMs,
    /// Path, customer and body: the same for each try of a caller.
    pub fingerprint: u64,
    /// A number that is spread evenly over requests.
    pub draw: u64,
}

/// A request that has an endpoint: it may be sent there once.
pub struct EndpointConnection {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// An open connection.
    pub connection: Connection,
    /// Counts the load there.
    pub load_guard: LoadGuard,
}

/// A place in the waiting room that is given up with its owner.
struct QueueEntry {
    context: Rc<Context>,
    ticket: Ticket,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.context.with(|state| state.admission_queue.leave(self.ticket));
        self.context.notify_changed();
    }
}

impl Call {
    /// The id for log lines.
    pub fn id(&self) -> &str {
        self.caller.request_id.as_ref().map_or("-", RequestId::as_str)
    }

    /// Time left, in ms.
    pub fn remaining_ms(&self) -> u64 {
        boot_now().until(self.deadline_ms)
    }

    /// Its urgency: the customer's, where it has one.
    pub fn priority(&self) -> Priority {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }

    /// What it will take at an endpoint.
    pub fn load(&self) -> Load {
        let tokens = match self.service.engine {
            Some(_) => self.caller.prompt_tokens + self.expected_output_tokens(),
            None => 0,
        };
        Load { requests: 1, tokens, backup_tokens: 0, unread_tokens: 0 }
    }

    /// What it takes at an engine that has yet to read its prompt.
    pub fn load_before_prefill(&self) -> Load {
        let unread_tokens = match self.service.engine {
            Some(_) => self.caller.prompt_tokens,
            None => 0,
        };
        Load { unread_tokens, ..self.load() }
    }

    /// How many tokens a generation is likely to make.
    pub fn expected_output_tokens(&self) -> u64 {
        let longest = self.caller.max_output_tokens.unwrap_or_default();
        let hinted = self.caller.expected_output_tokens;
        let expected = match hinted {
            Some(hint) => hint as f64 * OUTPUT_ESTIMATE_MARGIN,
            None => longest as f64 * DEFAULT_OUTPUT_FRACTION,
        };
        (expected as u64).min(longest)
    }

    /// How many tokens a generation makes at most, as far as its caller says.
    pub fn max_output_tokens(&self) -> u64 {
        let longest = self.caller.max_output_tokens;
        longest.or(self.caller.expected_output_tokens).unwrap_or_default()
    }

    /// A refusal of a request that has not run, with a time to return.
    pub fn retryable_refusal(&self, reason: RefusalReason, typical_wait_ms: u64) -> Refusal {
        let after_ms = return_after_ms(self.remaining_ms(), typical_wait_ms, self.draw);
        Refusal::not_run_until(reason, after_ms)
    }

    /// Finds an endpoint with room and connects to it. Waits where all are full, if the answer
    /// can still be of full use.
    ///
    /// # Errors
    ///
    /// The refusal: nothing was sent.
    pub async fn find_endpoint(
        &self,
        excluded: &BTreeSet<EndpointId>,
    ) -> Result<EndpointConnection, Refusal> {
        let mut excluded = excluded.clone();
        let mut failures = 0;
        loop {
            let (endpoint, address) = self.wait_for_capacity(&excluded).await?;
            self.log_placement(&endpoint);
            let load_guard = self.context.reserve_load(&endpoint, self.load_before_prefill());
            let limit_ms = CONNECT_TIMEOUT_MS.min(self.remaining_ms());
            match Connection::open(address, limit_ms, Patience::Long).await {
                // The endpoint may have been taken out while the connection was made.
                Ok(_) if !self.context.with(|state| state.endpoints.takes_work(&endpoint)) => {
                    excluded.insert(endpoint);
                }
                Ok(connection) => {
                    return Ok(EndpointConnection { endpoint, address, connection, load_guard });
                }
                Err(err) => {
                    self.context.record_outcome(&endpoint, Outcome::Broken);
                    self.context.metrics.count_retry("no_connection");
                    info!(request = self.id(), endpoint = endpoint.as_str(), error:% = err;
                        "endpoint can't be reached");
                    excluded.insert(endpoint);
                    failures += 1;
                }
            }
            if failures >= MAX_CONNECT_FAILURES || self.remaining_ms() == 0 {
                return Err(self.retryable_refusal(RefusalReason::NoEndpoint, self.route.target_ms));
            }
        }
    }

    async fn wait_for_capacity(
        &self,
        excluded: &BTreeSet<EndpointId>,
    ) -> Result<(EndpointId, SocketAddr), Refusal> {
        let mut changes = self.context.changes();
        let max_wait_ms = patience_ms(&self.route, self.remaining_ms());
        let queue_deadline_ms = self.arrived_ms + max_wait_ms;
        let priority = self.priority();
        let tokens = self.load().tokens;
        let ticket = self.context.with(|state| state.admission_queue.enter(priority, tokens));
        let _queue_entry = QueueEntry { context: self.context.clone(), ticket };
        loop {
            let placement = self.try_place(ticket, excluded);
            let reason = match placement {
                Placement::At(endpoint) => {
                    let found = self.context.with(|state| {
                        state.endpoints.get(&endpoint).map(|found| found.entry.address)
                    });
                    match found {
                        Some(address) => return Ok((endpoint, address)),
                        None => RefusalReason::NoEndpoint,
                    }
                }
                Placement::Full => RefusalReason::NoRoom,
                Placement::Nowhere => RefusalReason::NoEndpoint,
            };
            let left_ms = boot_now().until(queue_deadline_ms);
            if left_ms == 0 {
                return Err(self.retryable_refusal(reason, self.route.target_ms));
            }
            // Whether a change came or the time is over shows in the next round.
            let wait = timeout(Duration::from_millis(left_ms), changes.changed());
            drop(wait.await);
        }
    }

    fn try_place(&self, ticket: Ticket, excluded: &BTreeSet<EndpointId>) -> Placement {
        let now = boot_now();
        let mut excluded = excluded.clone();
        self.context.with(|state| {
            if !state.admission_queue.may_try(ticket) {
                return Placement::Full;
            }
            loop {
                let demand = Demand {
                    service: &self.service,
                    load: self.load(),
                    avoid: &excluded,
                    zones: &self.zones,
                    draw: self.draw,
                };
                let placement = place(now, state.fleet(&self.context.settings), demand);
                let Placement::At(endpoint) = &placement else {
                    return match (placement, excluded.is_empty()) {
                        (Placement::Nowhere, false) => Placement::Full,
                        (other, _) => other,
                    };
                };
                let found = state.endpoints.get(endpoint);
                let is_cold = found.is_some_and(|found| found.cold_until_ms > now);
                let per_s = self.service.cold_per_s;
                if !is_cold || per_s <= 0.0 {
                    return placement;
                }
                let vms = state.members.all_vms();
                if state.warmups.take(now, endpoint, per_s, &self.context.settings.vm, &vms) {
                    return placement;
                }
                excluded.insert(endpoint.clone());
            }
        })
    }

    /// Writes the line that tells why the request goes to `endpoint`.
    fn log_placement(&self, endpoint: &EndpointId) {
        let now = boot_now();
        let (load, suspicion, revision) = self.context.with(|state| {
            let suspicion = state.outcomes.suspicion(now, endpoint);
            (state.loads.at(endpoint), suspicion, state.store_copy.revision())
        });
        info!(
            request = self.id(),
            endpoint = endpoint.as_str(),
            waited_ms = now.since(self.arrived_ms),
            needs_tokens = self.load().tokens,
            requests_there = load.requests,
            memory_tokens_there = load.memory_tokens(),
            unread_tokens_there = load.unread_tokens,
            suspicion,
            store_revision = revision;
            "request placed"
        );
    }

    /// Sends the request on `connection` and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// It may have arrived.
    pub async fn send(
        &self,
        connection: Connection,
        endpoint: &EndpointId,
        plan: SendOptions<'_>,
    ) -> Result<(Answer, AnswerKind), ExchangeError> {
        let forwarding = Forwarding {
            endpoint,
            customer: self.customer.as_ref().map(|customer| &customer.id),
            left_ms: self.remaining_ms(),
            priority: self.service.engine.map(|_| self.priority()),
            backup_at: plan.backup_at,
            source: plan.source,
            last_event: plan.last_event,
        };
        let request = endpoints::forward(
            &self.method,
            &self.uri,
            &self.headers,
            self.body.clone(),
            forwarding,
        );
        let answer = connection.send(request).await?;
        let request_id = self.caller.request_id.as_ref();
        let kind = read_answer(answer.head.status, &answer.head.headers, request_id);
        Ok((answer, kind))
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent | RouteKind::Generation { resumable: true } => true,
            RouteKind::NonIdempotent | RouteKind::Generation { resumable: false } => false,
        }
    }

    /// Writes the line that tells how the request ended.
    pub fn log_completion(
        &self,
        outcome: &str,
        status: u16,
        endpoint: Option<&EndpointId>,
        tries: u32,
    ) {
        let elapsed_ms = boot_now().since(self.arrived_ms);
        info!(
            request = self.id(),
            route = self.route.id.as_str(),
            customer = self.customer.as_ref().map_or("-", |customer| customer.id.as_str()),
            endpoint = endpoint.map_or("-", EndpointId::as_str),
            outcome,
            status,
            tries,
            elapsed_ms,
            prompt_tokens = self.caller.prompt_tokens;
            "request ended"
        );
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.context.notify_changed();
    }
}

/// How one send differs from the others of its request.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendOptions<'a> {
    /// Where the run's memory is backed up.
    pub backup_at: Option<SocketAddr>,
    /// The copy from which it goes on.
    pub source: Option<&'a RunSource>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}
