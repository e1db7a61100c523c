//! Records crashes of endpoints, and which request or prompt segment may have caused them.

use crate::context::{CRASH_RETENTION_MS, Context};
use gypsumchute_routing::crash_reports::CrashReport;
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_routing::silent_runs::SilentRun;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{EndpointId, Fingerprint};
use log::info;

impl Context {
    /// Records a run that ended without a response. Returns whether its endpoint crashed, as far as
    /// known by now.
    pub fn record_silent_run(&self, run: SilentRun) -> bool {
        self.with(|state| state.silent_runs.on_run_ended(boot_now(), run))
    }

    /// Records the crashes of endpoints that have vanished from the registry without notice while
    /// requests ran on them without a response.
    pub fn settle_vanished_endpoints(&self) {
        for endpoint in self.with(|state| std::mem::take(&mut state.vanished_endpoints)) {
            let now = boot_now();
            let crashed = self.with(|state| state.silent_runs.on_endpoint_vanished(now, &endpoint));
            for run in crashed {
                let fingerprint = run.request;
                let crashes = self.record_crash(run, &endpoint);
                info!(fingerprint:% = fingerprint, endpoint = endpoint.as_str(),
                    cause = "no response, then unregistered without notice", crashes;
                    "endpoint crash held against request");
            }
        }
    }

    /// Records that `endpoint` crashed during this run. Returns the number of known crashes of the
    /// request.
    pub fn record_crash(&self, run: SuspectRun, endpoint: &EndpointId) -> usize {
        let (now, fingerprint) = (boot_now(), run.request);
        let (recorded, crashes) = self.with(|state| {
            let started_ms = state.endpoints.get(endpoint).and_then(|e| e.entry.started_wall_ms);
            let requests = &state.suspects.requests;
            let number = requests.crash_number(now, fingerprint, endpoint, started_ms);
            let keep_ms = CRASH_RETENTION_MS;
            let crash = CrashReport { run, endpoint: endpoint.clone(), number, keep_ms };
            let recorded = state.crash_reports.record(now, &mut state.suspects, crash, true);
            (recorded, state.suspects.requests.crash_count(now, fingerprint))
        });
        if let Some(segment) = recorded.poison_segment {
            self.on_poison_segment(segment);
        }
        if recorded.is_new {
            self.metrics.count_endpoint_crash("local");
            self.heartbeat_due.notify_one();
        }
        crashes
    }

    /// Logs that a prompt segment is refused from now on, and wakes the requests that wait.
    pub fn on_poison_segment(&self, segment: Fingerprint) {
        info!(segment:% = segment; "prompt segment refused: it crashes endpoints");
        self.notify_changed();
    }
}
