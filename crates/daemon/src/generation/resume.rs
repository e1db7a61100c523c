//! Binds a stream to the software version that began it, also when a caller resumes the stream at
//! this VM.

use super::Generation;
use super::run::{Run, RunFailure, StartFrom, StartOutcome};
use crate::endpoint_access::PermitWait;
use crate::registry_check::read_missed_changes;
use gypsumchute_routing::endpoints::Endpoint;
use gypsumchute_routing::stream_versions::{
    ServiceVersion, StreamKey, StreamVersion, resume_period_ms,
};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, Refusal, RefusalReason, RequestId};
use log::info;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which engines are tried for the backup of a stream, in milliseconds: enough for all of
/// them if they answer, and short for the caller if they don't.
const BACKUP_SEARCH_MS: u64 = 500;

/// How the version that began a resumed stream became known, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum VersionSource {
    /// This VM has a record of the stream.
    Record,
    /// No other version was in service since the stream can have begun, and the store has confirmed
    /// that up to now.
    SoleVersion,
    /// A peer VM sent its record of the stream.
    Peer,
    /// An engine of the version holds a backup of the stream.
    Backup,
    /// The version did not become known.
    Nothing,
}

impl Generation {
    /// Binds a new stream to the version that brings its first event, and tells peers if the caller
    /// may resume the stream.
    pub(super) fn bind_begun_stream(&mut self, version: ServiceVersion) {
        if self.version.is_some() {
            return;
        }
        self.version = Some(version);
        if self.call.is_repeatable()
            && let Some(request) = &self.call.caller.request_id
        {
            self.announce_stream(self.stream_key(request), version);
        }
    }

    /// Corrects the version of the stream if the registry now names another one for the engine of
    /// `run`, which wrote the event that has just arrived. The engine had started again under its id
    /// before the run began, and the registry had not said so yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an earlier run began the stream: the event does not belong to it.
    pub(super) fn correct_version(&mut self, run: &mut Run) -> Result<(), RunFailure> {
        if run.is_at_peer {
            return Ok(());
        }
        let registered = self.registered_version(&run.endpoint);
        let Some(version) = registered.filter(|version| *version != run.version) else {
            return Ok(());
        };
        info!(request = self.call.id(), endpoint = run.endpoint.as_str(),
            version = self.call.software_version(&run.endpoint);
            "engine of a running stream has another software version than was known");
        if run.continues_stream {
            return Err(RunFailure::InvalidResponse("event of another version".to_owned()));
        }
        run.version = version;
        run.backup = None;
        if self.version.take().is_some() {
            self.bind_begun_stream(version);
        }
        Ok(())
    }

    /// Reports whether the last run was at the version that began the stream, as far as is known
    /// now. It is not certain if the registry has named another version for its engine since.
    pub(super) fn has_certain_version(&self) -> bool {
        let registered = self.trace.endpoint.as_ref().and_then(|id| self.registered_version(id));
        match (self.version, registered) {
            (Some(version), Some(registered)) => version == registered,
            (None, _) | (_, None) => true,
        }
    }

    /// Returns the service and software version that the registry names for `endpoint`.
    fn registered_version(&self, endpoint: &EndpointId) -> Option<ServiceVersion> {
        let found = |endpoint: &Endpoint| endpoint.service_version;
        self.call.context.with(|state| state.endpoints.get(endpoint).map(found))
    }

    /// Starts the run of a stream that the caller resumes, at the version that began the stream. The
    /// stream is known by the attempt that brought its first event. Refuses the request if the
    /// version is not known for certain.
    pub(super) async fn start_resumed_stream(&mut self) -> StartOutcome {
        let first_attempt = self.call.caller.resumed_request_id.clone();
        let stream = first_attempt.as_ref().map(|request| self.stream_key(request));
        if let Some((version, source)) = self.find_version(stream).await {
            self.bind_resumed_stream(stream, version, source);
            return self.start_run(StartFrom::Prompt).await;
        }
        if let Some(first_attempt) = &first_attempt
            && let Some(outcome) = self.start_from_found_backup(first_attempt).await
        {
            return outcome;
        }
        self.log_resumed_stream(VersionSource::Nothing);
        StartOutcome::Refused(Refusal::not_run(RefusalReason::UnknownStream))
    }

    /// Binds a stream that the caller resumes to `version`, and keeps its record for longer.
    fn bind_resumed_stream(
        &mut self,
        stream: Option<StreamKey>,
        version: ServiceVersion,
        source: VersionSource,
    ) {
        self.log_resumed_stream(source);
        self.version = Some(version);
        self.call.switch_service(version);
        if let Some(stream) = stream {
            self.announce_stream(stream, version);
        }
    }

    /// Logs how the version of a stream that the caller resumes became known.
    fn log_resumed_stream(&self, source: VersionSource) {
        let caller = &self.call.caller;
        info!(
            request = self.call.id(),
            resumes = caller.resumed_request_id.as_ref().map_or("-", RequestId::as_str),
            after_event = caller.last_event_id.unwrap_or_default(),
            known_from:% = source;
            "caller resumes a stream"
        );
    }

    /// Returns the version that began a stream and how it became known, or `None` if no VM knows.
    ///
    /// What this VM knows of the versions in service may be older than the stream: a version that
    /// has joined since may have begun it through another VM. So peers are asked for a record of the
    /// stream, and the only version counts once the store has confirmed it after the caller asked.
    async fn find_version(
        &self,
        stream: Option<StreamKey>,
    ) -> Option<(ServiceVersion, VersionSource)> {
        let context = &self.call.context;
        let now = boot_now();
        let record =
            stream.and_then(|stream| context.with(|state| state.stream_versions.get(now, stream)));
        if let Some(record) = record {
            return Some((record.version, VersionSource::Record));
        }
        let ask_peers = async {
            match stream {
                Some(stream) => context.ask_for_stream(stream).await,
                None => None,
            }
        };
        let (record, sole) = tokio::join!(ask_peers, self.confirm_sole_version());
        match (record, sole) {
            (Some(record), _) => Some((record.version, VersionSource::Peer)),
            (None, Some(sole)) => Some((sole, VersionSource::SoleVersion)),
            (None, None) => None,
        }
    }

    /// Returns the only version that has been in service since the stream can have begun, if there
    /// is one and the store confirms it now.
    async fn confirm_sole_version(&self) -> Option<ServiceVersion> {
        // A route with several services may have begun the stream at any of them.
        let [_] = self.call.route.services[..] else { return None };
        let context = &self.call.context;
        let period_ms = resume_period_ms(self.call.route.response_timeout_ms);
        let service = &self.call.service.id;
        let sole_version = || {
            let now = boot_now();
            context.with(|state| {
                state.stream_versions.see(now, &state.endpoints);
                state.stream_versions.sole_version(now, service, period_ms)
            })
        };
        sole_version()?;
        match read_missed_changes(context).await {
            true => sole_version(),
            false => None,
        }
    }

    /// Tries the engines that may hold a backup of the run of `first_attempt`, and returns the run
    /// that resumes from it. An engine without the backup does not run the request, so the version
    /// of one that does is the version that began the stream. Returns `None` if no backup was found.
    async fn start_from_found_backup(&mut self, first_attempt: &RequestId) -> Option<StartOutcome> {
        let until = Instant::now() + Duration::from_millis(BACKUP_SEARCH_MS);
        let wait = PermitWait { until, has_alternative: true };
        let service = self.call.service.id.clone();
        for (tried, backup) in self.possible_backups(first_attempt).into_iter().enumerate() {
            let may_try = tried == 0 || self.call.context.take_retry(&service, "backup_search");
            if !may_try || Instant::now() >= until {
                return None;
            }
            let version = backup.version;
            match self.start_run(StartFrom::Backup(Box::new(backup), wait)).await {
                StartOutcome::NotRun(_) => {}
                StartOutcome::Running(run) => {
                    let stream = self.stream_key(first_attempt);
                    self.bind_resumed_stream(Some(stream), version, VersionSource::Backup);
                    return Some(StartOutcome::Running(run));
                }
                // Whether that engine had the backup is not known, so neither is the version.
                StartOutcome::Lost(_) => {
                    let refusal = Refusal::may_have_run(RefusalReason::EndpointLost);
                    return Some(StartOutcome::Refused(refusal));
                }
                outcome => return Some(outcome),
            }
        }
        None
    }

    /// Records the version of a stream here and at peers.
    fn announce_stream(&self, stream: StreamKey, version: ServiceVersion) {
        let period_ms = resume_period_ms(self.call.route.response_timeout_ms);
        let until_ms = boot_now() + period_ms;
        self.call.context.announce_stream(StreamVersion { stream, version, until_ms });
    }

    /// Returns the key of the stream whose first event `request` brought.
    pub(super) fn stream_key(&self, request: &RequestId) -> StreamKey {
        StreamKey::new(self.call.customer.as_ref().map(|customer| &customer.id), request)
    }
}
