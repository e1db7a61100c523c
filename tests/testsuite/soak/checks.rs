//! What must hold for the callers' requests, whatever failed meanwhile.

use super::STREAM_EVENTS;
use super::callers::RequestRecord;
use super::faults::{EndpointFault, Impairment};
use super::quiet::QuietPhase;
use gypsumchute_platform_standin::ReceivedRequest;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without an impairment after which a daemon is held to the bounds in time.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);
/// Number of times that a poison request may be sent by daemons in touch, once these have had time
/// to learn of its third crash.
const MAX_LATE_SENDS: usize = 3;
/// Time that a daemon takes to start and to hear from another one.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Checks that each stream that began in a quiet phase is complete, unless its deadline passed.
pub fn check_quiet_streams(seed: u64, phase: QuietPhase, records: &[RequestRecord]) {
    let begun: Vec<_> = records.iter().filter(|record| record.is_begun_stream()).collect();
    let cut: Vec<_> = begun.iter().filter(|record| record.is_cut_early()).collect();
    let sent = records.len();
    println!(
        "seed {seed}, {phase:?}: {} of {} streams cut, {sent} requests",
        cut.len(),
        begun.len()
    );
    let list: Vec<_> = cut
        .iter()
        .map(|record| (&record.id, record.route, record.daemon, record.lasted()))
        .collect();
    assert!(cut.is_empty(), "seed {seed}, {phase:?}: cut without a reason: {list:?}");
    assert!(!begun.is_empty(), "seed {seed}, {phase:?}: no stream began");
}

/// Everything that happened during a soak.
pub struct History<'a> {
    pub seed: u64,
    pub records: &'a [RequestRecord],
    pub arrivals: Vec<ReceivedRequest>,
    pub impairments: Vec<Impairment>,
    pub endpoint_faults: Vec<EndpointFault>,
    pub daemon_count: usize,
}

impl History<'_> {
    /// Checks each response against the runs of the request at the endpoints.
    ///
    /// A fresh run starts the request from the beginning. A run that resumes a generation from a
    /// copy or backup of the KV cache continues an earlier run and does not count as another one.
    pub fn check_responses(&self) {
        let complete_stream: String =
            (1..=STREAM_EVENTS).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect();
        let mut runs_by_id: BTreeMap<&str, Vec<&ReceivedRequest>> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.executed) {
            runs_by_id.entry(arrival.request_id()).or_default().push(arrival);
        }
        for record in self.records {
            let RequestRecord { id, route, daemon, response, .. } = record;
            let runs = runs_by_id.get(id.as_str()).map(Vec::as_slice).unwrap_or_default();
            let fresh_runs = runs.iter().filter(|arrival| !arrival.resumes_from_kv()).count();
            let context = format!("seed {}, vm-{daemon}, {route} {id}: {response:?}", self.seed);
            // `reads` may be repeated, and another endpoint may resume the generations of `briefs`.
            let at_most_once = ["orders", "surveys"].contains(route);
            assert!(!at_most_once || fresh_runs <= 1, "started {fresh_runs} runs: {context}");
            let Some(response) = response else {
                let is_excused = runs.is_empty() || self.has_unplanned_impairment(record);
                assert!(is_excused, "ran, and the connection was closed: {context}");
                continue;
            };
            match response.status {
                200 if *route == "orders" || *route == "reads" => {
                    let mut possible_bodies =
                        runs.iter().map(|arrival| format!("answer of {}", arrival.endpoint));
                    assert!(
                        !response.complete || possible_bodies.any(|body| body == response.body),
                        "body of another request: {context}"
                    );
                }
                200 if record.resumes.is_some() && response.complete => assert!(
                    complete_stream.ends_with(&response.body),
                    "not a suffix of the complete stream: {context}"
                ),
                200 if record.resumes.is_some() => assert!(
                    complete_stream.contains(&response.body),
                    "not a part of the complete stream: {context}"
                ),
                200 if response.complete => assert_eq!(response.body, complete_stream, "{context}"),
                200 => assert!(
                    complete_stream.starts_with(&response.body),
                    "not a prefix of the complete stream: {context}"
                ),
                429 | 503 => assert_eq!(fresh_runs, 0, "ran, reported as not run: {context}"),
                _ => {}
            }
        }
    }

    /// Checks that each stream that was cut met a fault: its deadline passed, its daemon was killed or
    /// suspended meanwhile, or an engine that ran it failed. Configurations, reloads, SIGTERM, draining
    /// and faults of the store are no reason.
    pub fn check_cut_streams(&self) {
        let mut engines_by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for arrival in &self.arrivals {
            engines_by_id.entry(arrival.request_id()).or_default().push(&arrival.endpoint);
        }
        let is_cut = |record: &&RequestRecord| record.is_begun_stream() && record.is_cut_early();
        let cut: Vec<_> = self.records.iter().filter(is_cut).collect();
        let has_failed_engine = |record: &RequestRecord| {
            let engines = engines_by_id.get(record.id.as_str()).map(Vec::as_slice);
            self.endpoint_faults.iter().any(|fault| {
                engines.unwrap_or_default().contains(&fault.endpoint.as_str())
                    && fault.from <= record.ended_at
                    && record.sent_at <= fault.until
            })
        };
        let unexplained: Vec<_> = cut
            .iter()
            .filter(|record| !self.has_unplanned_impairment(record) && !has_failed_engine(record))
            .map(|record| (&record.id, record.route, record.daemon, record.lasted()))
            .collect();
        println!("seed {}: {} streams cut by faults", self.seed, cut.len());
        assert!(
            unexplained.is_empty(),
            "seed {}: cut without a reason: {unexplained:?}",
            self.seed
        );
    }

    /// Checks that each run that continues a stream is at the version that brought the stream's first
    /// event: the version of the last run of the first attempt that began at the prompt.
    pub fn check_versions(&self, versions: &BTreeMap<&str, &str>) {
        let records: BTreeMap<&str, &RequestRecord> =
            self.records.iter().map(|record| (record.id.as_str(), record)).collect();
        let mut began_at: BTreeMap<&str, &str> = BTreeMap::new();
        let (mut continued, mut resumed) = (0, 0);
        for arrival in self.arrivals.iter().filter(|arrival| arrival.executed) {
            let Some(record) = records.get(arrival.request_id()) else { continue };
            let version = versions[arrival.endpoint.as_str()];
            let stream = record.resumes.as_deref().unwrap_or(&record.id);
            if !arrival.headers.contains_key("last-event-id") {
                began_at.insert(stream, version);
                continue;
            }
            continued += 1;
            resumed += usize::from(record.resumes.is_some());
            assert_eq!(
                began_at.get(stream),
                Some(&version),
                "seed {}: {} goes on at {}, the stream began as {stream}",
                self.seed,
                record.id,
                arrival.endpoint
            );
        }
        println!("seed {}: {continued} runs continued streams, {resumed} for callers", self.seed);
    }

    /// Reports whether the daemon was killed or suspended while the request was open.
    fn has_unplanned_impairment(&self, record: &RequestRecord) -> bool {
        self.impairments.iter().any(|impairment| {
            impairment.is_unplanned
                && impairment.daemon == record.daemon
                && impairment.from <= record.ended_at
                && record.sent_at <= impairment.until
        })
    }

    /// Reports whether the daemon has run without an impairment for a while at time `at`.
    fn is_in_touch(&self, daemon: usize, at: Instant) -> bool {
        let since = at.checked_sub(IN_TOUCH_AFTER).unwrap_or(at);
        !self.impairments.iter().any(|impairment| {
            impairment.daemon == daemon && impairment.from <= at && since <= impairment.until
        })
    }

    /// Returns the last time before `at` at which every daemon was impaired or had just returned,
    /// so that all knowledge of crashes may have been lost.
    fn last_total_loss(&self, at: Instant) -> Option<Instant> {
        let ends = self.impairments.iter().map(|impairment| impairment.until);
        let is_lost = |moment: &Instant| {
            (0..self.daemon_count).all(|daemon| {
                self.impairments.iter().any(|impairment| {
                    impairment.daemon == daemon
                        && impairment.from <= *moment
                        && *moment <= impairment.until + JOIN_TIME
                })
            })
        };
        ends.filter(|moment| *moment <= at).filter(is_lost).max()
    }

    /// Checks that each poison request is stopped after its third crash.
    pub fn check_poison(&self) {
        let mut by_body: BTreeMap<&str, Vec<(&ReceivedRequest, &RequestRecord)>> = BTreeMap::new();
        let records: BTreeMap<&str, &RequestRecord> =
            self.records.iter().map(|record| (record.id.as_str(), record)).collect();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.executed) {
            let Some(record) = records.get(arrival.request_id()) else { continue };
            if let Some(body) = &record.poison {
                by_body.entry(body).or_default().push((arrival, *record));
            }
        }
        for (body, arrivals) in by_body {
            let end = arrivals.last().expect("not empty").0.received_at;
            let loss = self.last_total_loss(end);
            let counted: Vec<_> = arrivals
                .iter()
                .filter(|(arrival, _)| loss.is_none_or(|loss| arrival.received_at > loss))
                .collect();
            let Some((third, _)) = counted.get(2) else { continue };
            let known_at = third.received_at + IN_TOUCH_AFTER;
            let late = counted.iter().filter(|(arrival, record)| {
                arrival.received_at > known_at
                    && self.is_in_touch(record.daemon, arrival.received_at)
            });
            let (crashes, late) = (counted.len(), late.count());
            println!("seed {}: {body:?} crashed {crashes} endpoints, {late} late", self.seed);
            assert!(late <= MAX_LATE_SENDS, "seed {}: {body:?}: {late} late sends", self.seed);
        }
    }
}
