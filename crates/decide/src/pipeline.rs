//! Handling of requests by the node, from admission to completion.

use crate::admission::{Recheck, Request, Stage, answer_by_ms, authorize, is_in_service, recheck};
use crate::context::Context;
use crate::event::{
    Action, AdmitRequest, Counter, FinishedRequest, Grant, RequestKey, RequestKind, RetryReason,
    RetryRequest, StoredAnswer,
};
use crate::idempotency::ClaimOutcome;
use crate::node::{MAX_RETRY_BUDGET, Node, context};
use crate::placement::{HeldPermit, PlacementOutcome, PlacementRequest};
use crate::shares::TokenOutcome;
use gypsumchute_config::{Route, RouteKind};
use gypsumchute_units::{BootMs, CustomerId, Fingerprint, Refusal, RefusalReason};
use rand::RngExt;
use std::collections::BTreeSet;

/// Number of retries that each admitted request adds to the retry budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.2;
/// Delay before a caller may retry on another VM while this VM drains, in milliseconds.
const DRAINING_RETRY_AFTER_MS: u64 = 100;
/// Delay before a caller may retry while no VM can account for the rate of the customer, in
/// milliseconds.
const SHARE_RETRY_AFTER_MS: u64 = 1_000;
/// Delay before a caller may retry after the endpoint of the request was lost, in milliseconds.
const LOST_ENDPOINT_RETRY_AFTER_MS: u64 = 500;

impl Node {
    /// Takes over a request that started before this process did. If no configuration has arrived
    /// yet, the request is checked against the first one that does.
    pub(crate) fn on_adopt(&mut self, admit: AdmitRequest, customer: CustomerId) {
        let key = admit.key;
        let Ok(route) = admit.route.parse() else { return };
        let request = Request {
            customer,
            route,
            stage: Stage::Running(None),
            is_rate_limited: false,
            claim: None,
            exclude: BTreeSet::new(),
            attempts_left: 0,
            may_have_run: true,
            answer_by_ms: BootMs(u64::MAX),
            is_stopping: false,
            admit,
        };
        self.requests.by_key.insert(key, request);
        if self.adoption.config().version > 0 {
            self.recheck_requests();
        }
    }

    /// Refuses a new request, or starts processing it.
    pub(crate) fn on_admit(&mut self, admit: AdmitRequest) {
        let key = admit.key;
        match self.check_admission(&admit) {
            Err(refusal) => self.refuse(key, refusal),
            Ok(request) => self.start_request(key, request),
        }
    }

    /// Runs the admission checks that need no other VM.
    fn check_admission(&mut self, admit: &AdmitRequest) -> Result<Request, Refusal> {
        if self.membership.is_draining() {
            return Err(Refusal::not_run_retry_after(
                RefusalReason::Draining,
                DRAINING_RETRY_AFTER_MS,
            ));
        }
        if !self.adoption.may_serve(self.now) {
            return Err(Refusal::not_run_retry_after(RefusalReason::NoConfiguration, 1_000));
        }
        let config = self.adoption.config();
        let authorized = authorize(config, admit).map_err(Refusal::not_run)?;
        let route = &config.routes[&authorized.route];
        if admit.body_bytes > route.max_body_bytes {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
        }
        if let Some(after_ms) = self.poison.refused_for_ms(self.now, Fingerprint(admit.fingerprint))
        {
            return Err(Refusal::not_run_retry_after(RefusalReason::PoisonRequest, after_ms));
        }
        Ok(Request {
            customer: authorized.customer,
            is_rate_limited: authorized.is_rate_limited && admit.kind != RequestKind::Resume,
            attempts_left: route.attempts,
            route: authorized.route,
            stage: Stage::Charging,
            claim: None,
            exclude: BTreeSet::new(),
            may_have_run: false,
            answer_by_ms: BootMs(0),
            is_stopping: false,
            admit: admit.clone(),
        })
    }

    /// Stores an accepted request and charges the rate of its customer, if that rate applies.
    fn start_request(&mut self, key: RequestKey, request: Request) {
        let customer = request.customer.clone();
        let is_rate_limited = request.is_rate_limited;
        self.requests.by_key.insert(key, request);
        match is_rate_limited {
            true => self.shares.request_token(&mut context!(self), &customer, key),
            false => self.on_rate_charged(key),
        }
    }

    /// Applies the outcomes that the components have produced; returns whether any existed.
    pub(crate) fn apply_outcomes(&mut self) -> bool {
        let shares = self.shares.take_outcomes();
        let claims = self.idempotency.take_outcomes();
        let placements = self.placement.take_outcomes();
        let has_outcomes = !(shares.is_empty() && claims.is_empty() && placements.is_empty());
        for outcome in shares {
            match outcome {
                TokenOutcome::Admitted(key) => {
                    if let Some(request) = self.requests.by_key.get(&key) {
                        let charged = Counter::Charged(request.customer.clone());
                        self.actions.push(Action::Count(charged));
                    }
                    self.on_rate_charged(key);
                }
                TokenOutcome::Unavailable(key) => {
                    let reason = RefusalReason::ShareUnavailable;
                    self.end_refused(
                        key,
                        Refusal::not_run_retry_after(reason, SHARE_RETRY_AFTER_MS),
                    );
                }
                TokenOutcome::OverRate { key, retry_after_ms } => {
                    let reason = RefusalReason::OverRate;
                    self.end_refused(key, Refusal::not_run_retry_after(reason, retry_after_ms));
                }
            }
        }
        for outcome in claims {
            match outcome {
                ClaimOutcome::Claimed(key) => self.on_claimed(key),
                ClaimOutcome::Replay(key, answer) => self.replay(key, answer),
                ClaimOutcome::Refused(key, refusal) => {
                    self.clear_claim(key);
                    self.end_refused(key, refusal);
                }
            }
        }
        for outcome in placements {
            match outcome {
                PlacementOutcome::Granted(key, permit) => self.on_permitted(key, permit),
                PlacementOutcome::Refused(key, refusal) => self.end_refused(key, refusal),
            }
        }
        has_outcomes
    }

    /// Continues a request whose rate is charged: claims the idempotency key if the request needs
    /// one, otherwise places the request.
    fn on_rate_charged(&mut self, key: RequestKey) {
        let now = self.now;
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        if request.admit.kind == RequestKind::Resume {
            return self.grant_resume(key);
        }
        let config = self.adoption.config();
        request.answer_by_ms = answer_by_ms(config, &request.route, now);
        let claims = !request.admit.idempotency_key.is_empty() && !request.is_repeatable(config);
        if !claims {
            return self.place(key);
        }
        request.stage = Stage::Claiming;
        let scope =
            format!("{}/{}/{}", request.customer, request.route, request.admit.idempotency_key);
        let max_run_ms = max_run_ms(config.routes.get(&request.route));
        let fingerprint = request.admit.fingerprint;
        let mut ctx = context!(self);
        let id = self.idempotency.claim(&mut ctx, key, scope.clone(), fingerprint, max_run_ms);
        if let Some(request) = self.requests.by_key.get_mut(&key) {
            request.claim = Some((id, scope));
        }
    }

    /// Continues a request whose idempotency key is claimed.
    fn on_claimed(&mut self, key: RequestKey) {
        self.place(key);
    }

    /// Removes the claim from a request whose idempotency key was not granted.
    fn clear_claim(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.by_key.get_mut(&key) {
            request.claim = None;
        }
    }

    /// Starts the search for an endpoint that can take the request.
    fn place(&mut self, key: RequestKey) {
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        request.stage = Stage::Placing;
        let route = self.adoption.config().routes.get(&request.route);
        let wait_ms = route.map_or(0, |route| route.queue_wait_ms);
        let placement_request = PlacementRequest {
            key,
            customer: request.customer.clone(),
            route: request.route.clone(),
            prompt_tokens: request.admit.prompt_tokens,
            max_tokens: request.admit.max_tokens,
            prefix_hash: request.admit.prefix_hash,
            excluded_endpoints: request.exclude.clone(),
            is_crash_suspect: self
                .poison
                .is_suspect(self.now, Fingerprint(request.admit.fingerprint)),
            deadline_ms: self.now + wait_ms,
        };
        self.placement.start_search(&mut context!(self), placement_request);
    }

    /// Grants the request under the permit. If the request has ended, the permit has expired or the
    /// endpoint is no longer in service, ends the permit; a request that has not ended is placed
    /// again.
    fn on_permitted(&mut self, key: RequestKey, permit: HeldPermit) {
        let config = self.adoption.config();
        let usable = is_in_service(config, &permit.endpoint) && self.now < permit.use_until_ms;
        let is_known = self.requests.by_key.contains_key(&key);
        if !usable || !is_known {
            self.placement.end_permit(&mut context!(self), &permit, 0, true);
            return self.place(key);
        }
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        let spec = &config.endpoints[&permit.endpoint];
        let grant = Grant {
            key,
            customer: request.customer.clone(),
            endpoint: permit.endpoint.clone(),
            address: spec.address,
            use_until_ms: permit.use_until_ms,
            answer_by_ms: request.answer_by_ms,
            repeatable: request.is_repeatable(config),
            max_tokens: max_tokens(config.routes.get(&request.route), request.admit.max_tokens),
        };
        let admitted = Counter::Admitted(request.route.clone());
        request.stage = Stage::Running(Some(permit));
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.actions.push(Action::Count(admitted));
        self.actions.push(Action::Granted(grant));
    }

    /// Grants a resume request. The generation is running already, so it needs neither a rate
    /// token nor a permit.
    fn grant_resume(&mut self, key: RequestKey) {
        let config = self.adoption.config();
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        let endpoint = request.admit.endpoint.parse().ok();
        let spec = endpoint.and_then(|endpoint| config.endpoints.get(&endpoint));
        let Some(spec) = spec else {
            return self.end_refused(key, Refusal::not_run(RefusalReason::NoSuchGeneration));
        };
        request.stage = Stage::Running(None);
        let grant = Grant {
            key,
            customer: request.customer.clone(),
            endpoint: spec.id.clone(),
            address: spec.address,
            use_until_ms: BootMs(u64::MAX),
            answer_by_ms: BootMs(u64::MAX),
            repeatable: true,
            max_tokens: u32::MAX,
        };
        self.actions.push(Action::Granted(grant));
    }

    /// Places a request again after its endpoint was lost. The request is refused if it is a poison
    /// request, if it is not repeatable and may have run, or if no attempt or retry budget is left.
    pub(crate) fn on_retry(&mut self, retry: RetryRequest) {
        let key = retry.key;
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        let permit = match std::mem::replace(&mut request.stage, Stage::Placing) {
            Stage::Running(permit) => permit,
            other => {
                request.stage = other;
                return;
            }
        };
        let may_have_been_sent = retry.crashed || !retry.stopped;
        request.may_have_run |= may_have_been_sent;
        request.attempts_left = request.attempts_left.saturating_sub(1);
        request.exclude.extend(permit.iter().map(|permit| permit.endpoint.clone()));
        let fingerprint = Fingerprint(request.admit.fingerprint);
        let may_retry = request.attempts_left > 0 && self.retry_budget >= 1.0;
        let repeatable = !request.may_have_run || request.is_repeatable(self.adoption.config());
        if let Some(permit) = &permit {
            self.placement.end_permit(&mut context!(self), permit, 0, retry.stopped);
            if retry.crashed {
                self.record_crash(fingerprint, permit);
            }
        }
        if self.poison.refused_for_ms(self.now, fingerprint).is_some() {
            return self.refuse_poisoned(fingerprint);
        }
        if !may_retry || !repeatable {
            let reason = RefusalReason::EndpointLost;
            return self.end_refused(
                key,
                Refusal::not_run_retry_after(reason, LOST_ENDPOINT_RETRY_AFTER_MS),
            );
        }
        self.retry_budget -= 1.0;
        let reason = match (retry.crashed, may_have_been_sent) {
            (true, _) => RetryReason::EndpointCrashed,
            (false, true) => RetryReason::EndpointLost,
            (false, false) => RetryReason::NotSent,
        };
        self.actions.push(Action::Count(Counter::Retried(reason)));
        self.place(key);
    }

    /// Records that the endpoint of the permit crashed on this request, and tells the other VMs.
    fn record_crash(&mut self, fingerprint: Fingerprint, permit: &HeldPermit) {
        let id = self.rng.random::<u64>();
        let keep_ms = self.adoption.config().fleet.poison_keep_ms;
        let crash = [(id, permit.endpoint.clone())];
        self.poison.record_crashes(self.now, fingerprint, crash, keep_ms);
        self.broadcast_crash(fingerprint);
    }

    /// Refuses the pending requests with this fingerprint if it is a known poison request.
    pub(crate) fn refuse_poisoned(&mut self, fingerprint: Fingerprint) {
        let Some(after_ms) = self.poison.refused_for_ms(self.now, fingerprint) else { return };
        let pending: Vec<RequestKey> = self
            .requests
            .by_key
            .iter()
            .filter(|(_, r)| Fingerprint(r.admit.fingerprint) == fingerprint)
            .filter(|(_, r)| !matches!(r.stage, Stage::Running(_)))
            .map(|(key, _)| *key)
            .collect();
        for key in pending {
            let refusal = Refusal::not_run_retry_after(RefusalReason::PoisonRequest, after_ms);
            self.end_refused(key, refusal);
        }
    }

    /// Ends a request: ends the permit, reports the outcome to the owner of the idempotency key and
    /// refunds the charge if the request did not run.
    pub(crate) fn on_finished(&mut self, finished: FinishedRequest) {
        let Some(request) = self.requests.by_key.remove(&finished.key) else { return };
        if let Stage::Running(Some(permit)) = &request.stage {
            let mut ctx = context!(self);
            self.placement.end_permit(&mut ctx, permit, finished.tokens, finished.stopped);
            if finished.crashed {
                self.record_crash(Fingerprint(request.admit.fingerprint), permit);
            }
        }
        let not_run = finished.not_run && !request.may_have_run;
        if let Some((id, scope)) = request.claim {
            self.idempotency.report(&mut context!(self), id, scope, finished.answer, not_run);
        }
        if not_run && request.is_rate_limited {
            self.refund(&request.customer);
        }
    }

    /// Ends all requests of an entry process whose connection was lost.
    pub(crate) fn on_entry_gone(&mut self, entry: u64) {
        let belongs_to_entry = |key: &&RequestKey| key.entry == entry;
        let keys: Vec<RequestKey> =
            self.requests.by_key.keys().filter(belongs_to_entry).copied().collect();
        for key in keys {
            let running = match &self.requests.by_key[&key].stage {
                Stage::Running(permit) => Some(permit.clone()),
                _ => None,
            };
            match running {
                None => {
                    self.cancel_pending(key);
                    self.requests.by_key.remove(&key);
                }
                Some(_) => self.on_finished(FinishedRequest {
                    key,
                    tokens: 0,
                    stopped: false,
                    not_run: false,
                    crashed: false,
                    answer: None,
                }),
            }
        }
    }

    /// Cancels what a request is waiting for and releases what it holds.
    fn cancel_pending(&mut self, key: RequestKey) {
        let Some(request) = self.requests.by_key.get(&key).cloned() else { return };
        match &request.stage {
            Stage::Charging => self.shares.cancel_token_request(&request.customer, key),
            Stage::Claiming => self.idempotency.cancel(&context!(self), key),
            Stage::Placing | Stage::Running(_) => {
                self.placement.cancel_search(key);
                if let Some((id, scope)) = request.claim.clone() {
                    let not_run = !request.may_have_run;
                    self.idempotency.report(&mut context!(self), id, scope, None, not_run);
                }
            }
        }
        let was_charged = request.is_rate_limited && !matches!(request.stage, Stage::Charging);
        if was_charged && !request.may_have_run {
            self.refund(&request.customer);
        }
    }

    /// Refunds the charge for a request that did not run.
    fn refund(&mut self, customer: &CustomerId) {
        self.shares.refund_token(&mut context!(self), customer);
        self.actions.push(Action::Count(Counter::Refunded(customer.clone())));
    }

    /// Ends a pending request with a refusal, which is the final answer to the caller.
    fn end_refused(&mut self, key: RequestKey, refusal: Refusal) {
        if !self.requests.by_key.contains_key(&key) {
            return;
        }
        self.cancel_pending(key);
        let Some(request) = self.requests.by_key.remove(&key) else { return };
        self.refuse(key, request.adjust_verdict(refusal));
    }

    /// Emits the refusal of a request and counts it.
    fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        self.actions.push(Action::Count(Counter::Refused(refusal.reason, refusal.verdict)));
        self.actions.push(Action::Refused(key, refusal));
    }

    /// Ends a request with the stored answer of an earlier request with the same idempotency key.
    fn replay(&mut self, key: RequestKey, answer: StoredAnswer) {
        let Some(request) = self.requests.by_key.remove(&key) else { return };
        if request.is_rate_limited {
            self.refund(&request.customer);
        }
        self.actions.push(Action::Replay(key, answer));
    }

    /// Checks all requests against a new configuration; refuses or stops those that it no longer
    /// allows.
    pub(crate) fn recheck_requests(&mut self) {
        let config = self.adoption.config().clone();
        let to_end: Vec<(RequestKey, RefusalReason)> = self
            .requests
            .by_key
            .iter()
            .filter(|(_, request)| !request.is_stopping)
            .filter_map(|(key, request)| match recheck(&config, request) {
                Recheck::Keep => None,
                Recheck::End(reason) => Some((*key, reason)),
            })
            .collect();
        for (key, reason) in to_end {
            let Some(request) = self.requests.by_key.get_mut(&key) else { continue };
            match request.stage {
                Stage::Running(_) => {
                    request.is_stopping = true;
                    self.actions.push(Action::Stop(key, reason));
                }
                _ => self.end_refused(key, Refusal::not_run(reason)),
            }
        }
    }

    /// Refuses the requests that wait for a rate token or an idempotency key, because this VM
    /// drains. Callers can retry on another VM.
    pub(crate) fn refuse_for_drain(&mut self) {
        let pending: Vec<RequestKey> = self
            .requests
            .by_key
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Charging | Stage::Claiming))
            .map(|(key, _)| *key)
            .collect();
        for key in pending {
            let refusal =
                Refusal::not_run_retry_after(RefusalReason::Draining, DRAINING_RETRY_AFTER_MS);
            self.end_refused(key, refusal);
        }
    }
}

/// Returns the longest time for which a request of the route can run, in milliseconds; 0 for
/// model routes, whose requests are repeatable and claim no idempotency key.
fn max_run_ms(route: Option<&Route>) -> u64 {
    match route.map(|route| &route.kind) {
        Some(RouteKind::App(app)) => app.answer_ms + app.queue_wait_ms,
        _ => 0,
    }
}

/// Returns the maximum number of output tokens of a request: the requested number, limited to the
/// maximum of the route; the maximum of the route if `requested` is 0; 0 for application routes.
fn max_tokens(route: Option<&Route>, requested: u32) -> u32 {
    match route.map(|route| &route.kind) {
        Some(RouteKind::Model(model)) if requested == 0 => model.max_tokens,
        Some(RouteKind::Model(model)) => requested.min(model.max_tokens),
        _ => 0,
    }
}
