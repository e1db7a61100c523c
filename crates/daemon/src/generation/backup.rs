//! Backups of a generation's KV cache at other engines: where they are made, whether they can be
//! used, and where those of an unknown run may be.

use super::Generation;
use super::run::Backup;
use crate::endpoint_access::PermitWait;
use crate::placing::EndpointConnection;
use gypsumchute_platform::KvSource;
use gypsumchute_routing::load::Load;
use gypsumchute_routing::placement::{choose_backup_engine, likely_backup_engines, needs_backup};
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, Refusal, RequestId};
use std::pin::Pin;
use std::time::Duration;
use tokio::time::Instant;

/// Number of engines of each software version that are tried for the backup of a stream whose
/// version is not known. The first of them may run the stream itself, and the second may have been
/// full.
const BACKUP_ENGINES_PER_VERSION: usize = 3;

/// Timeout for connecting to the engine that holds a backup, in milliseconds. TCP retransmits a lost
/// packet only after 1 s, and engines are terminated within seconds of their notice.
const BACKUP_CONNECT_TIMEOUT_MS: u64 = 200;

/// Time for which callers wait for the next event of a stream at least, in milliseconds. Longer on routes
/// with long pauses or a high latency target. Source: the users' protocol page.
const MIN_CALLER_PATIENCE_MS: u64 = 2_000;

/// A connection that is being opened, or `None` once that has failed.
pub(super) type PendingConnection = Pin<Box<dyn Future<Output = Option<EndpointConnection>>>>;

impl Generation {
    /// Returns the load that a backup of this generation adds to an engine.
    pub(super) fn backup_load(&self) -> Load {
        Load { backup_tokens: self.call.load().reserved_tokens, ..Load::default() }
    }

    /// Chooses an engine for the KV backup of the run at `run_endpoint` and reserves the memory.
    /// Returns `None` if the generation is short and can be restarted instead, if the caller sent
    /// no request id (which names the backup), or if no engine has room.
    pub(super) fn reserve_backup(
        &self,
        run_endpoint: &EndpointId,
        version: ServiceVersion,
    ) -> Option<Backup> {
        let context = &self.call.context;
        if !needs_backup(self.call.route.kind, self.call.expected_output_tokens()) {
            return None;
        }
        let request_id = self.call.caller.request_id.as_ref()?;
        let resumable_stream = self.call.is_repeatable().then(|| self.stream_key(request_id));
        let (endpoint, address) = context.with(|state| {
            let fleet = state.fleet(&context.settings);
            let demand = self.call.placement_request(&self.excluded, Some(version));
            let endpoint =
                choose_backup_engine(boot_now(), fleet, demand, run_endpoint, resumable_stream)?;
            let address = state.endpoints.get(&endpoint)?.entry.address;
            Some((endpoint, address))
        })?;
        let source = KvSource { address, name: request_id.to_string() };
        let load_guard = context.reserve_load(&endpoint, self.backup_load());
        let (source_endpoint, context) = (endpoint.clone(), context.clone());
        Some(Backup { endpoint, address, version, source, source_endpoint, load_guard, context })
    }

    /// Reports whether the engine that holds `backup` accepts requests and still runs the software
    /// version of the stream.
    pub(super) fn is_usable(&self, backup: &Backup) -> bool {
        self.call.context.with(|state| {
            let found = state.endpoints.get(&backup.endpoint);
            state.endpoints.accepts_requests(&backup.endpoint)
                && found.is_some_and(|endpoint| endpoint.service_version == backup.version)
        })
    }

    /// Connects to the engine that holds `backup`, once a request may be sent there.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot or must not be reached in time, with the refusal if the
    /// request must not run at all. Nothing was sent.
    pub(super) async fn connect_to_backup(
        &self,
        backup: &Backup,
        wait: PermitWait,
    ) -> Result<EndpointConnection, Option<Refusal>> {
        self.start_connecting(backup, wait)?.await.ok_or(None)
    }

    /// Returns a future that connects to the engine that holds `backup`, and does not depend on this
    /// generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine must not be reached, as [`Self::connect_to_backup`] does.
    pub(super) fn start_connecting(
        &self,
        backup: &Backup,
        wait: PermitWait,
    ) -> Result<PendingConnection, Option<Refusal>> {
        if let Some(refusal) = self.call.poison_refusal() {
            return Err(Some(refusal));
        }
        if !self.is_usable(backup) {
            return Err(None);
        }
        let context = self.call.context.clone();
        let (service, load) = (self.call.service.clone(), self.call.load());
        let (endpoint, address, version) =
            (backup.endpoint.clone(), backup.address, backup.version);
        Ok(Box::pin(async move {
            let permit = context.wait_for_permit(&service, &endpoint, wait).await?;
            let connecting = permit.connect(&context, address, BACKUP_CONNECT_TIMEOUT_MS);
            let Ok(connection) = connecting.await else {
                context.record_connect_failed(&service.id, &endpoint);
                return None;
            };
            context.record_connected(&service.id);
            let load_guard = context.reserve_load(&endpoint, load);
            Some(EndpointConnection { endpoint, address, version, connection, load_guard })
        }))
    }

    /// Returns how long a stream without a run waits to go on at an engine: as long as callers wait for
    /// its next event.
    pub(super) fn wait_without_run(&self) -> PermitWait {
        let wait_ms = MIN_CALLER_PATIENCE_MS
            .max(self.call.route.latency_target_ms.saturating_mul(4))
            .max(self.call.route.inter_event_target_ms.saturating_mul(8));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(self.call.remaining_ms()));
        PermitWait { until, has_alternative: false }
    }

    /// Returns the backups that the run of `first_attempt` may have left: the likely engines of each
    /// version, the most likely one of each version first.
    pub(super) fn possible_backups(&self, first_attempt: &RequestId) -> Vec<Backup> {
        let context = &self.call.context;
        let stream = self.stream_key(first_attempt);
        let mut possible = context.with(|state| {
            let versions = state.endpoints.versions_of(&self.call.service.id);
            let mut possible = Vec::new();
            for version in versions {
                let demand = self.call.placement_request(&self.excluded, Some(version));
                let fleet = state.fleet(&context.settings);
                let engines =
                    likely_backup_engines(fleet, demand, stream, BACKUP_ENGINES_PER_VERSION);
                for (rank, endpoint) in engines.into_iter().enumerate() {
                    if let Some(found) = state.endpoints.get(&endpoint) {
                        possible.push((rank, endpoint, found.entry.address, version));
                    }
                }
            }
            possible
        });
        possible.sort_by_key(|(rank, ..)| *rank);
        let backups = possible.into_iter().map(|(_, endpoint, address, version)| Backup {
            load_guard: context.reserve_load(&endpoint, Load::default()),
            context: context.clone(),
            source_endpoint: endpoint.clone(),
            endpoint,
            address,
            version,
            source: KvSource { address, name: first_attempt.to_string() },
        });
        backups.collect()
    }
}
