//! Stops a run at its engine and keeps its KV cache, from which the generation can resume.

use super::Generation;
use super::migration::COPY_TIMEOUT_MS;
use super::run::Backup;
use gypsumchute_platform::KvSource;
use gypsumchute_platform::endpoints::{CopyError, KvCopy};
use gypsumchute_routing::placement::{Placement, choose_migration_target};
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::EndpointId;
use gypsumchute_units::time::boot_now;
use log::info;
use std::collections::BTreeSet;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::task::spawn_local;

/// Longest time after which a target is looked for again if those with room take no more streams, in
/// milliseconds. Engines are terminated within seconds of their notice.
const MAX_REPLAN_MS: u64 = 100;

/// Engine that a run moves to.
pub(super) enum MoveTarget {
    /// This one.
    Engine(EndpointId),
    /// None now. This one has room, and may take the run later.
    Later {
        /// Time after which it is worth looking again, in milliseconds.
        wait_ms: u64,
        /// Engine with room.
        endpoint: EndpointId,
    },
    /// None has room.
    None,
}

/// A run at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunAtEngine<'a> {
    /// Engine of the run.
    pub(super) endpoint: &'a EndpointId,
    /// Address of `endpoint`.
    pub(super) address: SocketAddr,
    /// Service and software version of the run.
    pub(super) version: ServiceVersion,
}

/// What became of a run that its engine was asked to stop.
pub(super) enum StopOutcome {
    /// The engine has stopped it. Contains the copy of its KV cache.
    Stopped(Backup),
    /// The engine did not run it any more, so that it had ended by itself.
    NotRunning,
    /// The engine may have stopped it, or may yet do so.
    Unknown,
}

/// A run that its engine is stopping.
pub(super) type PendingStop = Pin<Box<dyn Future<Output = StopOutcome>>>;

/// The KV cache of a run that is stopped, once it is copied.
pub(super) enum KeptCopy {
    /// The engine has not answered yet.
    Pending(PendingStop),
    /// The engine has answered, or was not asked.
    Settled(StopOutcome),
}

impl KeptCopy {
    /// Reports whether the engine has answered, or was not asked.
    pub(super) fn is_settled(&self) -> bool {
        matches!(self, KeptCopy::Settled(_))
    }

    /// Reports whether the generation can resume from the copy.
    pub(super) fn is_made(&self) -> bool {
        matches!(self, KeptCopy::Settled(StopOutcome::Stopped(_)))
    }

    /// Reports whether the run had ended by itself before its engine was asked to stop it.
    pub(super) fn has_ended_before(&self) -> bool {
        matches!(self, KeptCopy::Settled(StopOutcome::NotRunning))
    }

    /// Waits until the engine has answered; never returns if that is known already.
    pub(super) async fn settled(&mut self) {
        let outcome = match self {
            KeptCopy::Pending(stopping) => stopping.await,
            KeptCopy::Settled(_) => pending().await,
        };
        *self = KeptCopy::Settled(outcome);
    }

    /// Waits for the copy, if it is being made, and returns it.
    pub(super) async fn into_copy(self) -> Option<Backup> {
        let outcome = match self {
            KeptCopy::Pending(stopping) => stopping.await,
            KeptCopy::Settled(outcome) => outcome,
        };
        match outcome {
            StopOutcome::Stopped(copy) => Some(copy),
            StopOutcome::NotRunning | StopOutcome::Unknown => None,
        }
    }

    /// Frees the copy, which is not needed, once it is made.
    pub(super) fn free(self) {
        spawn_local(async move {
            if let Some(copy) = self.into_copy().await {
                copy.free();
            }
        });
    }
}

impl Generation {
    /// Has the engine of `run` stop it and copy its KV cache to another engine, or keep it if that one
    /// has no room. Engines in the zone of `unreachable` are chosen last, and that engine itself never.
    /// Returns `None` if the engine was not asked: no other one has room, it must not be sent to, or the
    /// caller sent no request id (which names the run).
    pub(super) fn stop_and_copy(
        &self,
        run: RunAtEngine<'_>,
        unreachable: Option<&EndpointId>,
    ) -> Option<PendingStop> {
        let context = self.call.context.clone();
        let request_id = self.call.caller.request_id.clone()?;
        let RunAtEngine { address: source, version, .. } = run;
        let target = self.choose_copy_target(run, unreachable)?;
        let address = self.address_at_version(&target, version)?;
        let permit = context.acquire_control(run.endpoint)?;
        let load_guard = context.reserve_load(&target, self.backup_load());
        let (endpoint, load) = (run.endpoint.clone(), self.backup_load());
        let after_event = self.sequence.last_id();
        Some(Box::pin(async move {
            let started_wall_ms = context.endpoint_start_ms(&endpoint);
            let copying =
                permit.copy_kv_cache(&context, source, address, &request_id, true, COPY_TIMEOUT_MS);
            let (result, signs) = copying.await;
            context.record_endpoint_signs(&endpoint, started_wall_ms, signs);
            info!(request = request_id.as_str(), endpoint = endpoint.as_str(),
                to = target.as_str(), after_event:?,
                error = result.as_ref().err().map_or("-".to_owned(), ToString::to_string);
                "run stopped and copied");
            let kept = |copy: KvCopy| KvSource { address: source, name: copy.handle };
            match result {
                Ok(copy) => StopOutcome::Stopped(Backup {
                    endpoint: target,
                    address,
                    version,
                    source: kept(copy),
                    source_endpoint: endpoint,
                    load_guard,
                    context,
                }),
                Err(CopyError::TargetUnavailable(Some(retained))) => StopOutcome::Stopped(Backup {
                    load_guard: context.reserve_load(&endpoint, load),
                    endpoint: endpoint.clone(),
                    address: source,
                    version,
                    source: kept(retained),
                    source_endpoint: endpoint,
                    context,
                }),
                Err(CopyError::NoSuchGeneration) => StopOutcome::NotRunning,
                Err(_) => StopOutcome::Unknown,
            }
        }))
    }

    /// Chooses the engine that receives the copy of `run`, as [`Self::stop_and_copy`] says.
    fn choose_copy_target(
        &self,
        run: RunAtEngine<'_>,
        unreachable: Option<&EndpointId>,
    ) -> Option<EndpointId> {
        let context = &self.call.context;
        let mut excluded = self.excluded.clone();
        excluded.extend(unreachable.cloned());
        let mut preferred = excluded.clone();
        if let Some(unreachable) = unreachable {
            context.with(|state| {
                let zone = state.endpoints.get(unreachable).map(|found| &found.entry.zone);
                let engines = state.endpoints.iter_in_service(&self.call.service.id);
                let in_zone = engines.filter(|engine| Some(&engine.entry.zone) == zone);
                preferred.extend(in_zone.map(|engine| engine.entry.id.clone()));
            });
        }
        // The run is about to be stopped, so that it can't wait for an engine that takes more.
        let choose = |excluded| match self.choose_move_target(run.endpoint, run.version, excluded) {
            MoveTarget::Engine(endpoint) | MoveTarget::Later { endpoint, .. } => Some(endpoint),
            MoveTarget::None => None,
        };
        choose(preferred).or_else(|| choose(excluded))
    }

    /// Chooses the engine that a run at `current` moves to, none of `excluded`. Engines that take no
    /// more streams now, because they are cold or have named a limit, are passed over.
    pub(super) fn choose_move_target(
        &self,
        current: &EndpointId,
        version: ServiceVersion,
        mut excluded: BTreeSet<EndpointId>,
    ) -> MoveTarget {
        let (context, service) = (&self.call.context, &self.call.service);
        let now = boot_now();
        let mut later: Option<(u64, EndpointId)> = None;
        context.with(|state| {
            loop {
                let fleet = state.fleet(&context.settings);
                let demand = self.call.placement_request(&excluded, Some(version));
                let placement = choose_migration_target(now, fleet, demand, current);
                let Placement::Endpoint(endpoint) = placement else { break };
                let exhausted =
                    match state.plan_move_to(now, &endpoint, service, &context.settings.vm) {
                        Ok(()) => return MoveTarget::Engine(endpoint),
                        Err(exhausted) => exhausted,
                    };
                excluded.insert(endpoint.clone());
                let wait_ms = exhausted.wait_ms.unwrap_or(MAX_REPLAN_MS).min(MAX_REPLAN_MS);
                if later.as_ref().is_none_or(|(shortest_ms, _)| wait_ms < *shortest_ms) {
                    later = Some((wait_ms, endpoint));
                }
            }
            match later {
                Some((wait_ms, endpoint)) => MoveTarget::Later { wait_ms, endpoint },
                None => MoveTarget::None,
            }
        })
    }

    /// Returns the address of `endpoint`, if it has the software version `version`.
    pub(super) fn address_at_version(
        &self,
        endpoint: &EndpointId,
        version: ServiceVersion,
    ) -> Option<SocketAddr> {
        self.call.context.with(|state| {
            let found = state.endpoints.get(endpoint)?;
            (found.service_version == version).then_some(found.entry.address)
        })
    }
}
