//! Ends runs that another run has taken the place of.
//!
//! Closing the connection ends a run at most engines, but not at all of them. A run counts as over once
//! its engine has said so: that it has stopped the run, or that it does not run the request. Engines
//! that drop a run with its connection get the time to do so first, and then have nothing to stop.
//!
//! Stopping a run copies its KV cache. The copy goes to the engine of the next run, which mostly holds
//! the same tokens, and is freed at once.

use super::Generation;
use super::migration::COPY_TIMEOUT_MS;
use super::run::{Run, free_copy};
use super::trace::RunProgress;
use crate::call::Call;
use crate::context::{Context, LoadGuard};
use gypsumchute_exchange::ExchangeError;
use gypsumchute_platform::endpoints::{CopyError, KvCopy};
use gypsumchute_units::{EndpointId, RequestId};
use log::info;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// Times between the calls that ask an engine to stop a run, in milliseconds. Before the first one, an
/// engine that drops a run with its connection does so; two runs must not be at work for 400 ms.
const ASK_DELAYS_MS: [u64; 6] = [100, 100, 200, 400, 800, 1_600];

/// A run whose connection is closed, and which its engine may go on with.
pub(super) struct UnendedRun {
    endpoint: EndpointId,
    address: SocketAddr,
    /// Whether the engine has answered. An engine that has not may begin the run later.
    has_begun: bool,
    /// Whether the generation may use the engine again once the run is over.
    is_released: bool,
    /// Accounts for the load of the run.
    load_guard: Option<LoadGuard>,
}

impl UnendedRun {
    /// Returns a run that its engine at `address` may go on with.
    pub(super) fn new(endpoint: EndpointId, address: SocketAddr, has_begun: bool) -> Self {
        UnendedRun { endpoint, address, has_begun, is_released: false, load_guard: None }
    }

    /// Closes the connection of `run`. Returns `None` if a peer VM relays the run, which ends it then.
    pub(super) fn close(run: Run) -> Option<Self> {
        let Run { endpoint, address, is_at_peer, load_guard, .. } = run;
        let unended = UnendedRun::new(endpoint, address, true);
        (!is_at_peer).then_some(UnendedRun { load_guard: Some(load_guard), ..unended })
    }

    /// Lets the generation use the engine again once the run is over.
    pub(super) fn release(self) -> Self {
        UnendedRun { is_released: true, ..self }
    }
}

/// A run whose engine is asked to stop it.
pub(super) struct EndingRun {
    endpoint: EndpointId,
    is_released: bool,
    is_over: Rc<Cell<bool>>,
    task: JoinHandle<()>,
}

impl EndingRun {
    /// Ends `run` of `call`, in place of which one at the engine at `next` is at work. Returns `None` if
    /// the engine can't be told which run to stop, or if it is the same engine.
    pub(super) fn begin(call: &Call, run: UnendedRun, next: SocketAddr) -> Option<Self> {
        let request_id = call.caller.request_id.clone()?;
        if !call.service.engine?.supports_kv_copy || run.address == next {
            return None;
        }
        let (endpoint, is_released) = (run.endpoint.clone(), run.is_released);
        let is_over = Rc::new(Cell::new(false));
        let ending = end_run(call.context.clone(), run, request_id, next, is_over.clone());
        Some(EndingRun { endpoint, is_released, is_over, task: spawn_local(ending) })
    }
}

/// What an engine's answer shows of a run that it was asked to stop.
enum StopAnswer {
    /// The engine has stopped the run, and holds a copy if there is one.
    Stopped(Option<KvCopy>),
    /// The engine does not run the request.
    NotRunning,
    /// The process of the engine is gone.
    EngineGone,
    /// Nothing.
    Unknown,
}

impl From<Result<KvCopy, CopyError>> for StopAnswer {
    fn from(result: Result<KvCopy, CopyError>) -> Self {
        match result {
            Ok(copy) => StopAnswer::Stopped(Some(copy)),
            Err(CopyError::TargetUnavailable(retained)) => StopAnswer::Stopped(retained),
            Err(CopyError::NoSuchGeneration) => StopAnswer::NotRunning,
            Err(CopyError::Exchange(ExchangeError::ConnectFailed(err)))
                if err.kind() == io::ErrorKind::ConnectionRefused =>
            {
                StopAnswer::EngineGone
            }
            Err(_) => StopAnswer::Unknown,
        }
    }
}

impl Generation {
    /// Remembers a run that is to end once another one begins.
    pub(super) fn leave_run(&mut self, run: UnendedRun) {
        self.unended_runs.push(run);
    }

    /// Ends the runs that were left, since one at the engine at `next` takes their place.
    pub(super) fn end_left_runs(&mut self, next: SocketAddr) {
        for run in std::mem::take(&mut self.unended_runs) {
            self.ending_runs.extend(EndingRun::begin(&self.call, run, next));
        }
        self.exclude_ending_runs();
    }

    /// Ends the runs that were at work for another VM, which has closed its connection: it may go on with
    /// a run elsewhere.
    pub(super) fn end_runs_for_peer(&mut self) {
        for trace in self.kept_trace.iter().chain([&self.trace]) {
            let (Some(endpoint), Some(_)) = (&trace.endpoint, trace.alive_ms) else { continue };
            let has_begun = trace.progress != RunProgress::Waiting;
            let found = self.call.context.with(|state| {
                let engines = state.endpoints.iter_in_service(&self.call.service.id);
                let mut others = engines.filter(|engine| engine.entry.id != *endpoint);
                let next = others.next().map(|engine| engine.entry.address)?;
                Some((state.endpoints.get(endpoint)?.entry.address, next))
            });
            if let Some((address, next)) = found {
                let run = UnendedRun::new(endpoint.clone(), address, has_begun);
                self.ending_runs.extend(EndingRun::begin(&self.call, run, next));
            }
        }
    }

    /// Excludes the engines at which runs of this generation may still be at work. A run is stopped by the
    /// id of the request, whichever run of it that is.
    pub(super) fn exclude_ending_runs(&mut self) {
        let unended = self.ending_runs.iter().filter(|run| !run.is_over.get());
        self.excluded.extend(unended.map(|run| run.endpoint.clone()));
    }

    /// Allows the use of engines at which runs are over.
    pub(super) fn release_ended_runs(&mut self) {
        for run in self.ending_runs.extract_if(.., |run| run.is_over.get()) {
            if run.is_released {
                self.excluded.remove(&run.endpoint);
            }
        }
    }

    /// Asks no engine any more to stop a run: another VM may begin one there.
    pub(super) fn forget_left_runs(&mut self) {
        self.unended_runs.clear();
        self.ending_runs.drain(..).for_each(|run| run.task.abort());
    }
}

/// Asks the engine of `run` to stop it until that is certain. The copy goes to the engine at `to`.
async fn end_run(
    context: Rc<Context>,
    run: UnendedRun,
    request_id: RequestId,
    to: SocketAddr,
    is_over: Rc<Cell<bool>>,
) {
    let UnendedRun { endpoint, address, has_begun, load_guard: _load_guard, .. } = run;
    let (mut asked, mut last_proof) = (0, None);
    for delay_ms in ASK_DELAYS_MS {
        sleep(Duration::from_millis(delay_ms)).await;
        let Some(permit) = context.acquire_control(&endpoint) else { continue };
        asked += 1;
        last_proof = None;
        let started_wall_ms = context.endpoint_start_ms(&endpoint);
        let stopping =
            permit.copy_kv_cache(&context, address, to, &request_id, true, COPY_TIMEOUT_MS);
        let (result, signs) = stopping.await;
        context.record_endpoint_signs(&endpoint, started_wall_ms, signs);
        let proof = match StopAnswer::from(result) {
            StopAnswer::Unknown => continue,
            StopAnswer::NotRunning if !has_begun => {
                last_proof = Some("not_begun");
                continue;
            }
            StopAnswer::NotRunning => "not_running",
            StopAnswer::EngineGone => "engine_gone",
            StopAnswer::Stopped(copy) => {
                if let Some(copy) = copy {
                    free_copy(&context, &endpoint, address, copy).await;
                }
                "stopped"
            }
        };
        last_proof = Some(proof);
        break;
    }
    is_over.set(last_proof.is_some());
    info!(request = request_id.as_str(), endpoint = endpoint.as_str(), asked,
        proof = last_proof.unwrap_or("none");
        "engine was asked to end a run");
}
