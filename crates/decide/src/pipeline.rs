//! The node's handling of requests, from admission to their end.

use crate::admission::{Recheck, Request, Stage, answer_by_ms, entitle, may_use, recheck};
use crate::context::Context;
use crate::event::{
    Action, AdmitRequest, Counter, FinishedRequest, Grant, KeptAnswer, RequestKey, RequestKind,
    RetryReason, RetryRequest,
};
use crate::idempotency::ClaimOutcome;
use crate::node::{Node, RETRY_BUDGET_MAX, context};
use crate::placement::{HeldPermit, PlaceOutcome, Wish};
use crate::shares::ShareOutcome;
use gypsumchute_config::{Route, RouteKind};
use gypsumchute_units::{BootMs, CustomerId, Refusal, RefusalReason};
use rand::RngExt;
use std::collections::BTreeSet;

/// Retries that each admitted request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// When a caller may try another VM, after this one refused everything.
const ANOTHER_VM_MS: u64 = 100;
/// When a caller may come back whose customer's rate nobody can count at the moment.
const SHARE_BACK_MS: u64 = 1_000;
/// When a caller may come back after its endpoint was lost.
const AFTER_LOSS_MS: u64 = 500;

impl Node {
    /// Takes over a request that runs since before this process started. The configuration may
    /// not have arrived yet; the request is held against it as soon as it does.
    pub(crate) fn on_adopt(&mut self, admit: AdmitRequest, customer: CustomerId) {
        let key = admit.key;
        let Ok(route) = admit.route.parse() else { return };
        let request = Request {
            customer,
            route,
            stage: Stage::Running(None),
            limited: false,
            claim: None,
            exclude: BTreeSet::new(),
            attempts_left: 0,
            may_have_run: true,
            answer_by_ms: BootMs(u64::MAX),
            stopping: false,
            admit,
        };
        self.requests.by_key.insert(key, request);
        if self.adoption.config().version > 0 {
            self.recheck_requests();
        }
    }

    pub(crate) fn on_admit(&mut self, admit: AdmitRequest) {
        let key = admit.key;
        match self.check_admit(&admit) {
            Err(refusal) => self.refuse(key, refusal),
            Ok(request) => self.begin(key, request),
        }
    }

    /// Everything that can be decided about a request at once.
    fn check_admit(&mut self, admit: &AdmitRequest) -> Result<Request, Refusal> {
        if self.members.is_draining() {
            return Err(Refusal::not_run_until(RefusalReason::Draining, ANOTHER_VM_MS));
        }
        if !self.adoption.may_serve(self.now) {
            return Err(Refusal::not_run_until(RefusalReason::NoConfiguration, 1_000));
        }
        let config = self.adoption.config();
        let entitled = entitle(config, admit).map_err(Refusal::not_run)?;
        let route = &config.routes[&entitled.route];
        if admit.body_bytes > route.max_body_bytes {
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
        }
        if let Some(after_ms) = self.poison.refused_for_ms(self.now, admit.fingerprint) {
            return Err(Refusal::not_run_until(RefusalReason::PoisonRequest, after_ms));
        }
        Ok(Request {
            customer: entitled.customer,
            limited: entitled.limited && admit.kind != RequestKind::Resume,
            attempts_left: route.attempts,
            route: entitled.route,
            stage: Stage::Rate,
            claim: None,
            exclude: BTreeSet::new(),
            may_have_run: false,
            answer_by_ms: BootMs(0),
            stopping: false,
            admit: admit.clone(),
        })
    }

    fn begin(&mut self, key: RequestKey, request: Request) {
        let customer = request.customer.clone();
        let limited = request.limited;
        self.requests.by_key.insert(key, request);
        match limited {
            true => self.shares.request(&mut context!(self), &customer, key),
            false => self.after_rate(key),
        }
    }

    /// Takes in what the parts decided; returns whether there was anything.
    pub(crate) fn follow_outcomes(&mut self) -> bool {
        let shares = self.shares.take_outcomes();
        let claims = self.keys.take_outcomes();
        let places = self.placement.take_outcomes();
        let any = !(shares.is_empty() && claims.is_empty() && places.is_empty());
        for outcome in shares {
            match outcome {
                ShareOutcome::Admitted(key) => {
                    if let Some(request) = self.requests.by_key.get(&key) {
                        let charged = Counter::Charged(request.customer.clone());
                        self.actions.push(Action::Count(charged));
                    }
                    self.after_rate(key);
                }
                ShareOutcome::Unavailable(key) => {
                    let reason = RefusalReason::ShareUnavailable;
                    self.end_refused(key, Refusal::not_run_until(reason, SHARE_BACK_MS));
                }
                ShareOutcome::OverRate { key, retry_after_ms } => {
                    let reason = RefusalReason::OverRate;
                    self.end_refused(key, Refusal::not_run_until(reason, retry_after_ms));
                }
            }
        }
        for outcome in claims {
            match outcome {
                ClaimOutcome::Claimed(key) => self.after_claim(key),
                ClaimOutcome::Replay(key, answer) => self.replay(key, answer),
                ClaimOutcome::Refused(key, refusal) => {
                    self.drop_claim(key);
                    self.end_refused(key, refusal);
                }
            }
        }
        for outcome in places {
            match outcome {
                PlaceOutcome::Permitted(key, held) => self.after_place(key, held),
                PlaceOutcome::Refused(key, refusal) => self.end_refused(key, refusal),
            }
        }
        any
    }

    fn after_rate(&mut self, key: RequestKey) {
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
        request.stage = Stage::Claim;
        let scope =
            format!("{}/{}/{}", request.customer, request.route, request.admit.idempotency_key);
        let run_ms = run_ms(config.routes.get(&request.route));
        let fingerprint = request.admit.fingerprint;
        let mut ctx = context!(self);
        let id = self.keys.claim(&mut ctx, key, scope.clone(), fingerprint, run_ms);
        if let Some(request) = self.requests.by_key.get_mut(&key) {
            request.claim = Some((id, scope));
        }
    }

    fn after_claim(&mut self, key: RequestKey) {
        self.place(key);
    }

    fn drop_claim(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.by_key.get_mut(&key) {
            request.claim = None;
        }
    }

    fn place(&mut self, key: RequestKey) {
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        request.stage = Stage::Place;
        let route = self.adoption.config().routes.get(&request.route);
        let wait_ms = route.map_or(0, |route| route.queue_wait_ms);
        let wish = Wish {
            key,
            customer: request.customer.clone(),
            route: request.route.clone(),
            prompt_tokens: request.admit.prompt_tokens,
            max_tokens: request.admit.max_tokens,
            prefix_hash: request.admit.prefix_hash,
            exclude: request.exclude.clone(),
            suspect: self.poison.is_suspect(self.now, request.admit.fingerprint),
            deadline_ms: self.now + wait_ms,
        };
        self.placement.search(&mut context!(self), wish);
    }

    fn after_place(&mut self, key: RequestKey, held: HeldPermit) {
        let config = self.adoption.config();
        let usable = may_use(config, &held.endpoint) && self.now < held.use_until_ms;
        let known = self.requests.by_key.contains_key(&key);
        if !usable || !known {
            self.placement.end(&mut context!(self), &held, 0, true);
            return self.place(key);
        }
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        let spec = &config.endpoints[&held.endpoint];
        let grant = Grant {
            key,
            customer: request.customer.clone(),
            endpoint: held.endpoint.clone(),
            address: spec.address,
            use_until_ms: held.use_until_ms,
            answer_by_ms: request.answer_by_ms,
            repeatable: request.is_repeatable(config),
            max_tokens: max_tokens(config.routes.get(&request.route), request.admit.max_tokens),
        };
        let admitted = Counter::Admitted(request.route.clone());
        request.stage = Stage::Running(Some(held));
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(RETRY_BUDGET_MAX);
        self.actions.push(Action::Count(admitted));
        self.actions.push(Action::Granted(grant));
    }

    /// A resumed generation runs already: it costs neither rate nor room.
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

    pub(crate) fn on_retry(&mut self, retry: RetryRequest) {
        let key = retry.key;
        let Some(request) = self.requests.by_key.get_mut(&key) else { return };
        let held = match std::mem::replace(&mut request.stage, Stage::Place) {
            Stage::Running(held) => held,
            other => {
                request.stage = other;
                return;
            }
        };
        let sent = retry.crashed || !retry.stopped;
        request.may_have_run |= sent;
        request.attempts_left = request.attempts_left.saturating_sub(1);
        request.exclude.extend(held.iter().map(|held| held.endpoint.clone()));
        let fingerprint = request.admit.fingerprint;
        let allowed = request.attempts_left > 0 && self.retry_budget >= 1.0;
        let repeatable = !request.may_have_run || request.is_repeatable(self.adoption.config());
        if let Some(held) = &held {
            self.placement.end(&mut context!(self), held, 0, retry.stopped);
            if retry.crashed {
                self.note_crash(fingerprint, held);
            }
        }
        if self.poison.refused_for_ms(self.now, fingerprint).is_some() {
            return self.refuse_poisoned(fingerprint);
        }
        if !allowed || !repeatable {
            let reason = RefusalReason::EndpointLost;
            return self.end_refused(key, Refusal::not_run_until(reason, AFTER_LOSS_MS));
        }
        self.retry_budget -= 1.0;
        let reason = match (retry.crashed, sent) {
            (true, _) => RetryReason::EndpointCrashed,
            (false, true) => RetryReason::EndpointLost,
            (false, false) => RetryReason::NotSent,
        };
        self.actions.push(Action::Count(Counter::Retried(reason)));
        self.place(key);
    }

    fn note_crash(&mut self, fingerprint: u64, held: &HeldPermit) {
        let id = self.rng.random::<u64>();
        let keep_ms = self.adoption.config().fleet.poison_keep_ms;
        let crash = [(id, held.endpoint.clone())];
        self.poison.on_crashes(self.now, fingerprint, crash, keep_ms);
        self.tell_crash(fingerprint);
    }

    /// Refuses what waits here of a request that is known to bring endpoints down.
    pub(crate) fn refuse_poisoned(&mut self, fingerprint: u64) {
        let Some(after_ms) = self.poison.refused_for_ms(self.now, fingerprint) else { return };
        let waiting: Vec<RequestKey> = self
            .requests
            .by_key
            .iter()
            .filter(|(_, r)| r.admit.fingerprint == fingerprint)
            .filter(|(_, r)| !matches!(r.stage, Stage::Running(_)))
            .map(|(key, _)| *key)
            .collect();
        for key in waiting {
            let refusal = Refusal::not_run_until(RefusalReason::PoisonRequest, after_ms);
            self.end_refused(key, refusal);
        }
    }

    pub(crate) fn on_finished(&mut self, finished: FinishedRequest) {
        let Some(request) = self.requests.by_key.remove(&finished.key) else { return };
        if let Stage::Running(Some(held)) = &request.stage {
            let mut ctx = context!(self);
            self.placement.end(&mut ctx, held, finished.tokens, finished.stopped);
            if finished.crashed {
                self.note_crash(request.admit.fingerprint, held);
            }
        }
        let not_run = finished.not_run && !request.may_have_run;
        if let Some((id, scope)) = request.claim {
            self.keys.report(&mut context!(self), id, scope, finished.answer, not_run);
        }
        if not_run && request.limited {
            self.refund(&request.customer);
        }
    }

    pub(crate) fn on_entry_gone(&mut self, entry: u64) {
        let of_entry = |key: &&RequestKey| key.entry == entry;
        let keys: Vec<RequestKey> = self.requests.by_key.keys().filter(of_entry).copied().collect();
        for key in keys {
            let running = match &self.requests.by_key[&key].stage {
                Stage::Running(held) => Some(held.clone()),
                _ => None,
            };
            match running {
                None => {
                    self.withdraw(key);
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

    /// Takes a request that waits out of whatever it waits for; gives back what it holds.
    fn withdraw(&mut self, key: RequestKey) {
        let Some(request) = self.requests.by_key.get(&key).cloned() else { return };
        match &request.stage {
            Stage::Rate => self.shares.cancel(&request.customer, key),
            Stage::Claim => self.keys.cancel(&context!(self), key),
            Stage::Place | Stage::Running(_) => {
                self.placement.cancel(key);
                if let Some((id, scope)) = request.claim.clone() {
                    let not_run = !request.may_have_run;
                    self.keys.report(&mut context!(self), id, scope, None, not_run);
                }
            }
        }
        let spent = request.limited && !matches!(request.stage, Stage::Rate);
        if spent && !request.may_have_run {
            self.refund(&request.customer);
        }
    }

    fn refund(&mut self, customer: &CustomerId) {
        self.shares.refund(&mut context!(self), customer);
        self.actions.push(Action::Count(Counter::Refunded(customer.clone())));
    }

    /// Refuses a request that waits: its final answer.
    fn end_refused(&mut self, key: RequestKey, refusal: Refusal) {
        if !self.requests.by_key.contains_key(&key) {
            return;
        }
        self.withdraw(key);
        let Some(request) = self.requests.by_key.remove(&key) else { return };
        self.refuse(key, request.refusal(refusal));
    }

    fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        self.actions.push(Action::Count(Counter::Refused(refusal.reason, refusal.verdict)));
        self.actions.push(Action::Refused(key, refusal));
    }

    fn replay(&mut self, key: RequestKey, answer: KeptAnswer) {
        let Some(request) = self.requests.by_key.remove(&key) else { return };
        if request.limited {
            self.refund(&request.customer);
        }
        self.actions.push(Action::Replay(key, answer));
    }

    /// Holds all requests against a new configuration.
    pub(crate) fn recheck_requests(&mut self) {
        let config = self.adoption.config().clone();
        let ended: Vec<(RequestKey, RefusalReason)> = self
            .requests
            .by_key
            .iter()
            .filter(|(_, request)| !request.stopping)
            .filter_map(|(key, request)| match recheck(&config, request) {
                Recheck::Keep => None,
                Recheck::End(reason) => Some((*key, reason)),
            })
            .collect();
        for (key, reason) in ended {
            let Some(request) = self.requests.by_key.get_mut(&key) else { continue };
            match request.stage {
                Stage::Running(_) => {
                    request.stopping = true;
                    self.actions.push(Action::Stop(key, reason));
                }
                _ => self.end_refused(key, Refusal::not_run(reason)),
            }
        }
    }

    /// Refuses all that wait, because this VM leaves; another one will serve them.
    pub(crate) fn refuse_waiting(&mut self) {
        let waiting: Vec<RequestKey> = self
            .requests
            .by_key
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::Rate | Stage::Claim))
            .map(|(key, _)| *key)
            .collect();
        for key in waiting {
            let refusal = Refusal::not_run_until(RefusalReason::Draining, ANOTHER_VM_MS);
            self.end_refused(key, refusal);
        }
    }
}

fn run_ms(route: Option<&Route>) -> u64 {
    match route.map(|route| &route.kind) {
        Some(RouteKind::App(app)) => app.answer_ms + app.queue_wait_ms,
        _ => 0,
    }
}

fn max_tokens(route: Option<&Route>, asked: u32) -> u32 {
    match route.map(|route| &route.kind) {
        Some(RouteKind::Model(model)) if asked == 0 => model.max_tokens,
        Some(RouteKind::Model(model)) => asked.min(model.max_tokens),
        _ => 0,
    }
}
