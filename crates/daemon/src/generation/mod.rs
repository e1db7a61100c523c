//! Generations: streams that go on when their engine leaves or is lost.
//!
//! Each one is a task of its own, which ends when the caller has gone. What reaches the caller is
//! one stream with the headers of its first run, whichever engines it went on at.

mod pump;
mod run;

use self::run::{Attempt, Backup, End, Outlet, Pumped, Run, Step};
use crate::call::{Call, Placed, SendPlan};
use crate::events::{EventError, EventReader, Sequence, Turn};
use crate::plain::pass_on;
use crate::reply::{self, BrokenOff, Reply, ReplyBody};
use gypsumchute_exchange::{Connection, Patience};
use gypsumchute_platform::{AnswerKind, RunSource, endpoints};
use gypsumchute_routing::continuity::{Loss, Next, RunState, next_step};
use gypsumchute_routing::load::Load;
use gypsumchute_routing::outcomes::Outcome;
use gypsumchute_routing::placement::{Demand, deserves_backup, place_backup};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, Refusal, RefusalReason};
use http::Response;
use log::info;
use std::collections::BTreeSet;
use std::future::pending;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Events that may wait for a caller who reads slowly.
const EVENTS_AHEAD: usize = 256;
/// Largest body of a failure that is passed on, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// Longest time to connect to an engine that holds a copy, in ms: shorter than the old run is kept.
const CONNECT_TO_COPY_MS: u64 = 200;
/// Sends that engines may turn down before a generation is refused.
const MAX_REJECTIONS: u32 = 3;

/// Takes `call` to an engine and returns the caller's answer, whose body is still to come.
pub async fn answer(call: Call) -> Reply {
    let (head, head_rx) = oneshot::channel();
    let (events, events_rx) = mpsc::channel(EVENTS_AHEAD);
    let outlet = Outlet { head: Some(head), events };
    spawn_local(Generation::new(call, outlet).drive());
    match head_rx.await {
        Ok(Ok(head)) => Response::from_parts(head, ReplyBody::Stream(events_rx)),
        Ok(Err(reply)) => reply,
        Err(_) => reply::refuse(Refusal::may_have_run(RefusalReason::EndpointLost)),
    }
}

struct Generation {
    call: Call,
    outlet: Outlet,
    sequence: Sequence,
    delivered: u64,
    avoid: BTreeSet<EndpointId>,
    sends: u32,
    endpoints_used: u32,
    breaks: u32,
    rejections: u32,
    last_endpoint: Option<EndpointId>,
}

impl Generation {
    fn new(call: Call, outlet: Outlet) -> Self {
        Generation {
            sequence: Sequence::after(call.caller.last_event),
            call,
            outlet,
            delivered: 0,
            avoid: BTreeSet::new(),
            sends: 0,
            endpoints_used: 0,
            breaks: 0,
            rejections: 0,
            last_endpoint: None,
        }
    }

    async fn drive(mut self) {
        let caller = self.outlet.events.clone();
        let left = Duration::from_millis(self.call.left_ms());
        let end = tokio::select! {
            end = self.run_to_end() => end,
            () = caller.closed() => End::CallerLeft,
            () = sleep(left) => End::TimedOut,
        };
        self.finish(end).await;
    }

    async fn finish(&mut self, end: End) {
        let (outcome, reply) = match end {
            End::Complete => ("answered", None),
            End::CallerLeft => ("caller_left", None),
            End::TimedOut => {
                let refusal = match self.endpoints_used {
                    0 => self.call.refuse_until(RefusalReason::NoRoom, 0),
                    _ => Refusal::may_have_run(RefusalReason::EndpointTimeout),
                };
                ("timed_out", Some(self.refuse(refusal)))
            }
            End::Refused(refusal) => (refusal.reason.into(), Some(self.refuse(refusal))),
            End::Failed(reply) => ("endpoint_error", Some(reply)),
        };
        let status = reply.as_ref().map_or(200, |reply| reply.status().as_u16());
        self.call.log_end(outcome, status, self.last_endpoint.as_ref(), self.sends);
        let Some(reply) = reply else { return };
        match self.outlet.head.take() {
            // A caller that has left needs no answer.
            Some(head) => drop(head.send(Err(reply))),
            None => drop(self.outlet.events.send(Err(BrokenOff)).await),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        self.call.context.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
        reply::refuse(refusal)
    }

    async fn run_to_end(&mut self) -> End {
        let mut step = Step::Place;
        loop {
            let from_backup = matches!(step, Step::FromBackup(_));
            let next = match self.attempt(step).await {
                Attempt::Running(run) => match self.pump(*run).await {
                    Pumped::Complete => return End::Complete,
                    Pumped::Lost(loss, backup) => self.after_loss(loss, backup),
                },
                Attempt::Lost(backup) => self.after_loss(Loss::Broken, backup),
                Attempt::NotRun if from_backup => self.after_loss(Loss::Broken, None),
                Attempt::NotRun => self.after_rejection(),
                Attempt::Refused(refusal) if self.endpoints_used == 0 => {
                    return End::Refused(refusal);
                }
                Attempt::Refused(refusal) => {
                    return End::Refused(Refusal::may_have_run(refusal.reason));
                }
                Attempt::Failed(reply) => return End::Failed(reply),
            };
            step = match next {
                Ok(step) => step,
                Err(refusal) => return End::Refused(refusal),
            };
        }
    }

    fn after_rejection(&mut self) -> Result<Step, Refusal> {
        self.rejections += 1;
        let service = &self.call.service.id;
        let again =
            self.rejections < MAX_REJECTIONS && self.call.context.take_retry(service, "not_run");
        match (again, self.endpoints_used) {
            (true, _) => Ok(Step::Place),
            (false, 0) => {
                Err(self.call.refuse_until(RefusalReason::NoRoom, self.call.route.target_ms))
            }
            (false, _) => Err(Refusal::may_have_run(RefusalReason::EndpointLost)),
        }
    }

    fn after_loss(&mut self, loss: Loss, backup: Option<Backup>) -> Result<Step, Refusal> {
        let backup = backup.filter(|backup| self.takes_work(&backup.endpoint));
        let next = next_step(loss, self.run_state(backup.is_some()));
        self.log_next(loss, next);
        match (next, backup) {
            (Next::FromBackup, Some(backup)) => Ok(Step::FromBackup(backup)),
            (Next::Anew, _) if self.call.context.take_retry(&self.call.service.id, loss.into()) => {
                Ok(Step::Place)
            }
            _ => Err(Refusal::may_have_run(RefusalReason::EndpointLost)),
        }
    }

    fn run_state(&self, has_backup: bool) -> RunState {
        RunState {
            kind: self.call.route.kind,
            delivered: self.delivered > 0,
            left_tokens: self.left_tokens(),
            has_backup,
            copies_runs: self.call.service.engine.is_some_and(|engine| engine.copies_runs),
            endpoints_used: self.endpoints_used,
            max_endpoints: self.call.route.max_endpoints,
            breaks: self.breaks,
        }
    }

    fn left_tokens(&self) -> u64 {
        let per_event = self.call.service.engine.map_or(1, |engine| engine.tokens_per_event);
        let made = self.delivered * u64::from(per_event);
        self.call.expected_output_tokens().saturating_sub(made)
    }

    fn log_next(&self, loss: Loss, next: Next) {
        info!(
            request = self.call.id(),
            endpoint = self.last_endpoint.as_ref().map_or("-", EndpointId::as_str),
            loss:% = loss,
            next:% = next,
            events = self.delivered,
            breaks = self.breaks,
            left_ms = self.call.left_ms();
            "generation leaves its engine"
        );
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.call.context.with(|state| state.endpoints.is_leaving(endpoint))
    }

    fn takes_work(&self, endpoint: &EndpointId) -> bool {
        self.call.context.with(|state| state.endpoints.takes_work(endpoint))
    }

    /// Begins at an engine, or goes on from a copy.
    async fn attempt(&mut self, step: Step) -> Attempt {
        let (placed, source, copy_occupied) = match step {
            Step::Place => match self.call.find_endpoint(&self.avoid).await {
                Ok(placed) => (placed, None, None),
                Err(refusal) => return Attempt::Refused(refusal),
            },
            Step::FromBackup(backup) => {
                let opened =
                    Connection::open(backup.address, CONNECT_TO_COPY_MS, Patience::Long).await;
                let Ok(connection) = opened else {
                    self.call.context.observe(&backup.endpoint, Outcome::Broken);
                    return Attempt::NotRun;
                };
                let occupied = self.call.context.occupy(&backup.endpoint, self.call.load());
                let Backup { endpoint, address, source, occupied: copy } = backup;
                let placed = Placed { endpoint, address, connection, occupied };
                (placed, Some(source), Some(copy))
            }
        };
        let backup = self.choose_backup(&placed.endpoint);
        let plan = SendPlan {
            backup_at: backup.as_ref().map(|backup| backup.address),
            source: source.as_ref(),
            last_event: self.sequence.last(),
        };
        self.sends += 1;
        // Until the endpoint says otherwise it may have run there, also if time runs out meanwhile.
        self.endpoints_used += 1;
        let Placed { endpoint, address, connection, occupied } = placed;
        self.last_endpoint = Some(endpoint.clone());
        let sent = self.call.send(connection, &endpoint, plan).await;
        drop(copy_occupied);
        let (mut answer, kind) = match sent {
            Ok(sent) => sent,
            Err(err) => {
                info!(request = self.call.id(), endpoint = endpoint.as_str(), error:% = err;
                    "engine gave no answer");
                self.on_break(&endpoint);
                return Attempt::Lost(backup);
            }
        };
        info!(request = self.call.id(), endpoint = endpoint.as_str(), status = answer.head.status.as_u16(),
            answer:? = kind, backup = backup.as_ref().map_or("-", |b| b.endpoint.as_str()),
            from_copy = source.is_some(), after_event:? = self.sequence.last(), tokens = self.call.load().tokens,
            elapsed_ms = boot_now().since(self.call.arrived_ms);
            "engine answered");
        match kind {
            AnswerKind::Success => Attempt::Running(Box::new(Run {
                endpoint,
                address,
                answer,
                events: EventReader::default(),
                backup,
                heard_at: Instant::now(),
                noticed: false,
                occupied,
            })),
            // It has no such copy, but it may still take the generation anew.
            AnswerKind::NotRun if source.is_some() => {
                self.endpoints_used -= 1;
                Attempt::NotRun
            }
            AnswerKind::NotRun | AnswerKind::WrongEndpoint => {
                self.endpoints_used -= 1;
                self.call.context.observe(&endpoint, Outcome::Rejected);
                self.avoid.insert(endpoint);
                Attempt::NotRun
            }
            AnswerKind::Failure => {
                self.call.context.observe(&endpoint, Outcome::EngineError);
                // A run that is still at its old engine goes on from a copy elsewhere.
                self.avoid.insert(endpoint);
                match answer.read_all(MAX_FAILURE_BYTES).await {
                    Ok(body) if !self.call.may_repeat() => Attempt::Failed(pass_on(&answer, body)),
                    Ok(body) if self.endpoints_used >= self.call.route.max_endpoints => {
                        Attempt::Failed(pass_on(&answer, body))
                    }
                    _ => Attempt::Lost(None),
                }
            }
            AnswerKind::Foreign => {
                self.on_break(&endpoint);
                Attempt::Lost(backup)
            }
        }
    }

    fn on_break(&mut self, endpoint: &EndpointId) {
        self.breaks += 1;
        self.call.context.observe(endpoint, Outcome::Broken);
        self.avoid.insert(endpoint.clone());
        // An engine that announced its end did not crash.
        if self.takes_work(endpoint) {
            self.call.context.note_crash(self.call.fingerprint, endpoint);
        }
    }

    fn demand(&self) -> Demand<'_> {
        Demand {
            service: &self.call.service,
            load: self.call.load(),
            avoid: &self.avoid,
            zones: &self.call.zones,
            draw: self.call.draw,
        }
    }

    fn backup_load(&self) -> Load {
        Load { backup_tokens: self.call.load().tokens, ..Load::default() }
    }

    fn choose_backup(&self, run_at: &EndpointId) -> Option<Backup> {
        let context = &self.call.context;
        if !deserves_backup(self.call.route.kind, self.call.expected_output_tokens()) {
            return None;
        }
        let request_id = self.call.caller.request_id.as_ref()?;
        let (endpoint, address) = context.with(|state| {
            let fleet = state.fleet(&context.settings);
            let endpoint = place_backup(boot_now(), fleet, self.demand(), run_at)?;
            let address = state.endpoints.get(&endpoint)?.entry.address;
            Some((endpoint, address))
        })?;
        let source = RunSource { address, name: request_id.to_string() };
        let occupied = context.occupy(&endpoint, self.backup_load());
        Some(Backup { endpoint, address, source, occupied })
    }

    async fn deliver(&mut self, run: &mut Run, piece: &[u8]) -> Result<(), String> {
        run.events.push(piece);
        while let Some(event) = run.events.next_event().map_err(|err| err.to_string())? {
            run.heard_at = Instant::now();
            run.occupied.prompt_was_read();
            match self.sequence.turn(event.id) {
                Ok(Turn::Skip) => continue,
                Ok(Turn::Pass) => {}
                Err(err @ (EventError::Gap(..) | EventError::TooLarge)) => {
                    return Err(err.to_string());
                }
            }
            self.send_head(run);
            self.delivered += 1;
            if self.outlet.events.send(Ok(event.bytes)).await.is_err() {
                // The caller has left; the task is about to end.
                pending::<()>().await;
            }
        }
        Ok(())
    }

    fn send_head(&mut self, run: &Run) {
        let Some(head) = self.outlet.head.take() else { return };
        let elapsed_ms = boot_now().since(self.call.arrived_ms);
        self.call.context.metrics.record_first_token(elapsed_ms as f64);
        let mut parts = Response::new(()).into_parts().0;
        parts.status = run.answer.head.status;
        parts.headers = endpoints::answer_headers(&run.answer.head.headers);
        // A caller that has left needs no answer.
        drop(head.send(Ok(parts)));
    }
}
