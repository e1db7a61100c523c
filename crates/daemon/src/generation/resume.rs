//! Binds a stream to the software version that began it, also when a caller resumes the stream at
//! this VM.

use super::Generation;
use gypsumchute_routing::stream_versions::{
    ServiceVersion, StreamKey, StreamVersion, resume_period_ms,
};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{Refusal, RefusalReason, RequestId};
use log::info;

/// How the version that began a resumed stream became known, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum VersionSource {
    /// This VM has a record of the stream.
    Record,
    /// No other version was in service since the stream can have begun.
    SoleVersion,
    /// A peer VM sent its record of the stream.
    Peer,
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

    /// Binds a stream that the caller resumes to the version that began it. The stream is known by
    /// the attempt that brought its first event, so the record is kept for longer from now on.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the version is not known for certain.
    pub(super) async fn bind_resumed_stream(&mut self) -> Result<(), Refusal> {
        let first_attempt = self.call.caller.resumed_request_id.clone();
        let stream = first_attempt.as_ref().map(|request| self.stream_key(request));
        let found = self.find_version(stream).await;
        info!(
            request = self.call.id(),
            resumes = first_attempt.as_ref().map_or("-", RequestId::as_str),
            after_event = self.call.caller.last_event_id.unwrap_or_default(),
            known_from = found.map_or("-".to_owned(), |(_, source)| source.to_string());
            "caller resumes a stream"
        );
        let Some((version, _)) = found else {
            let typical_wait_ms = self.call.route.latency_target_ms;
            return Err(self.call.retryable_refusal(RefusalReason::UnknownStream, typical_wait_ms));
        };
        self.version = Some(version);
        self.call.switch_service(version);
        if let Some(stream) = stream {
            self.announce_stream(stream, version);
        }
        Ok(())
    }

    /// Returns the version that began a stream and how it became known, or `None` if that is not
    /// certain.
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
        // A route with several services may have begun the stream at any of them.
        if let [_] = self.call.route.services[..] {
            let period_ms = resume_period_ms(self.call.route.response_timeout_ms);
            let service = &self.call.service.id;
            let sole =
                context.with(|state| state.stream_versions.sole_version(now, service, period_ms));
            if let Some(version) = sole {
                return Some((version, VersionSource::SoleVersion));
            }
        }
        let record = context.ask_for_stream(stream?).await?;
        Some((record.version, VersionSource::Peer))
    }

    /// Records the version of a stream here and at peers.
    fn announce_stream(&self, stream: StreamKey, version: ServiceVersion) {
        let period_ms = resume_period_ms(self.call.route.response_timeout_ms);
        let until_ms = boot_now() + period_ms;
        self.call.context.announce_stream(StreamVersion { stream, version, until_ms });
    }

    /// Returns the key of the stream whose first event `request` brought.
    fn stream_key(&self, request: &RequestId) -> StreamKey {
        StreamKey::new(self.call.customer.as_ref().map(|customer| &customer.id), request)
    }
}
