//! Counters and histograms, recorded with `opentelemetry` and exported as text for operators.
//!
//! The text is in the Prometheus exposition format. It is written here from the SDK's data, because
//! no Prometheus exporter keeps up with the versions of the SDK.

use crate::bounded::dropped_lines;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
};
use std::fmt::{Display, Write};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Name of the OpenTelemetry meter.
const METER_NAME: &str = "gypsumchute";
/// Upper bounds of the buckets of latency histograms, in milliseconds.
const LATENCY_BUCKET_BOUNDS_MS: [f64; 16] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 50.0, 100.0, 200.0, 580.0, 1_000.0, 2_000.0, 5_000.0,
    10_000.0, 30_000.0,
];

/// A metric reader that is registered at the provider and also read by
/// [`Metrics::to_prometheus_text`].
#[derive(Debug, Clone)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, metrics: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(metrics)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

/// The metrics of one process. Clones share the same counters and histograms.
#[derive(Debug, Clone)]
pub struct Metrics {
    reader: SharedReader,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    endpoint_crashes: Counter<u64>,
    endpoint_signs: Counter<u64>,
    ignored_items: Counter<u64>,
    forwarded: Counter<u64>,
    request_ends: Counter<u64>,
    queue_decisions: Counter<u64>,
    silent_runs: Counter<u64>,
    panics: Counter<u64>,
    closed_connections: Counter<u64>,
    in_use: Gauge<u64>,
    admitted: Counter<u64>,
    charges: Counter<u64>,
    tokens: Counter<u64>,
    messages: Counter<u64>,
    message_bytes: Counter<u64>,
    first_token_ms: Histogram<f64>,
    between_tokens_ms: Histogram<f64>,
    request_ms: Histogram<f64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let provider = SdkMeterProvider::builder().with_reader(reader.clone()).build();
        let meter = provider.meter(METER_NAME);
        let counter = meter.u64_observable_counter("gypsumchute_log_lines_dropped");
        let _lines_dropped =
            counter.with_callback(|counter| counter.observe(dropped_lines(), &[])).build();
        Metrics {
            reader,
            refusals: meter.u64_counter("gypsumchute_refusals").build(),
            retries: meter.u64_counter("gypsumchute_retries").build(),
            endpoint_crashes: meter.u64_counter("gypsumchute_endpoint_crashes").build(),
            endpoint_signs: meter.u64_counter("gypsumchute_endpoint_signs").build(),
            ignored_items: meter.u64_counter("gypsumchute_ignored_items").build(),
            forwarded: meter.u64_counter("gypsumchute_forwarded_requests").build(),
            request_ends: meter.u64_counter("gypsumchute_request_ends").build(),
            queue_decisions: meter.u64_counter("gypsumchute_queue_decisions").build(),
            silent_runs: meter.u64_counter("gypsumchute_silent_runs").build(),
            panics: meter.u64_counter("gypsumchute_panics").build(),
            closed_connections: meter.u64_counter("gypsumchute_closed_connections").build(),
            in_use: meter.u64_gauge("gypsumchute_in_use").build(),
            admitted: meter.u64_counter("gypsumchute_admitted").build(),
            charges: meter.u64_counter("gypsumchute_rate_charges").build(),
            tokens: meter.u64_counter("gypsumchute_tokens").build(),
            messages: meter.u64_counter("gypsumchute_peer_messages").build(),
            message_bytes: meter.u64_counter("gypsumchute_peer_bytes").build(),
            first_token_ms: latency_histogram(&meter, "gypsumchute_first_token_ms"),
            between_tokens_ms: latency_histogram(&meter, "gypsumchute_between_tokens_ms"),
            request_ms: latency_histogram(&meter, "gypsumchute_request_ms"),
            _provider: provider,
        }
    }

    /// Counts a refused or failed request, by reason and by whether it may have run.
    pub fn count_refusal(&self, reason: &'static str, verdict: &'static str) {
        let labels = [KeyValue::new("reason", reason), KeyValue::new("verdict", verdict)];
        self.refusals.add(1, &labels);
    }

    /// Counts a retry, by reason.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a crash of an endpoint that is held against a request. `source` states whether this
    /// VM (`local`) or another one (`peer`) observed the crash.
    pub fn count_endpoint_crash(&self, source: &'static str) {
        self.endpoint_crashes.add(1, &[KeyValue::new("source", source)]);
    }

    /// Counts an answer in which an endpoint says something of itself, by what it says.
    pub fn count_endpoint_sign(&self, sign: &'static str) {
        self.endpoint_signs.add(1, &[KeyValue::new("sign", sign)]);
    }

    /// Counts `count` items of the store that can't be used, by what they should have been.
    pub fn count_ignored_items(&self, kind: &'static str, count: u64) {
        self.ignored_items.add(count, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that this VM handed to another one, or that another VM offered, by what
    /// became of it.
    pub fn count_forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts the end of a request that was admitted, by who ended it and what the caller got.
    pub fn count_request_end(&self, ended_by: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("ended_by", ended_by), KeyValue::new("outcome", outcome)];
        self.request_ends.add(1, &labels);
    }

    /// Counts a decision on a request without room: that it waits or is refused, by what it lacks.
    pub fn count_queue_decision(&self, decision: &'static str, lacks: &'static str) {
        let labels = [KeyValue::new("decision", decision), KeyValue::new("lacks", lacks)];
        self.queue_decisions.add(1, &labels);
    }

    /// Counts a decision on a run whose engine is silent: replaced, or why it was kept.
    pub fn count_silent_run(&self, outcome: &'static str) {
        self.silent_runs.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a panic of a task, by what the task does.
    pub fn count_panic(&self, task: &'static str) {
        self.panics.add(1, &[KeyValue::new("task", task)]);
    }

    /// Counts a connection that was closed or not accepted because of a limit, by the limit.
    pub fn count_closed_connection(&self, limit: &'static str) {
        self.closed_connections.add(1, &[KeyValue::new("limit", limit)]);
    }

    /// Records how much of a limited resource clients make the process hold.
    pub fn record_in_use(&self, resource: &'static str, amount: u64) {
        self.in_use.record(amount, &[KeyValue::new("resource", resource)]);
    }

    /// Counts a request that was admitted, by route.
    pub fn count_admitted_request(&self, route: &str) {
        self.admitted.add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts a charge against a customer's rate limit, or a refund of such a charge.
    ///
    /// `operation` is the value of the `what` label.
    pub fn count_rate_charge(&self, customer: &str, operation: &'static str) {
        let labels =
            [KeyValue::new("customer", customer.to_owned()), KeyValue::new("what", operation)];
        self.charges.add(1, &labels);
    }

    /// Counts `tokens` tokens that were delivered to callers.
    pub fn count_delivered_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts a datagram with a size of `bytes` bytes that was sent to another VM.
    pub fn count_peer_message(&self, bytes: u64) {
        self.messages.add(1, &[]);
        self.message_bytes.add(bytes, &[]);
    }

    /// Records the time from the arrival of a request to the first token, in milliseconds.
    pub fn record_first_token_latency(&self, elapsed_ms: f64) {
        self.first_token_ms.record(elapsed_ms, &[]);
    }

    /// Records the time between two tokens of a stream, in milliseconds.
    pub fn record_inter_token_latency(&self, elapsed_ms: f64) {
        self.between_tokens_ms.record(elapsed_ms, &[]);
    }

    /// Records the time from the arrival of a request to the end of the response, in milliseconds,
    /// by outcome.
    pub fn record_request_latency(&self, elapsed_ms: f64, outcome: &'static str) {
        self.request_ms.record(elapsed_ms, &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns all metrics in the Prometheus exposition format, or an empty string if they can't be
    /// collected.
    pub fn to_prometheus_text(&self) -> String {
        let mut collected = ResourceMetrics::default();
        let mut text = String::new();
        if self.reader.collect(&mut collected).is_err() {
            return text;
        }
        for metric in collected.scope_metrics().flat_map(|scope| scope.metrics()) {
            match metric.data() {
                AggregatedMetrics::U64(data) => write_metric(&mut text, metric.name(), data),
                AggregatedMetrics::I64(data) => write_metric(&mut text, metric.name(), data),
                AggregatedMetrics::F64(data) => write_metric(&mut text, metric.name(), data),
            }
        }
        text
    }
}

/// Creates a latency histogram.
fn latency_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_boundaries(LATENCY_BUCKET_BOUNDS_MS.to_vec()).build()
}

/// Appends a metric to `text`. Exponential histograms are skipped, because none are recorded.
fn write_metric<T: Display + Copy>(text: &mut String, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Sum(sum) => {
            write_line(text, &format!("# TYPE {name}_total counter"));
            for point in sum.data_points() {
                let labels = format_labels(point.attributes(), None);
                write_line(text, &format!("{name}_total{labels} {}", point.value()));
            }
        }
        MetricData::Gauge(gauge) => {
            write_line(text, &format!("# TYPE {name} gauge"));
            for point in gauge.data_points() {
                let labels = format_labels(point.attributes(), None);
                write_line(text, &format!("{name}{labels} {}", point.value()));
            }
        }
        MetricData::Histogram(histogram) => {
            write_line(text, &format!("# TYPE {name} histogram"));
            for point in histogram.data_points() {
                let mut cumulative_count = 0;
                let bounds = point.bounds().map(|bound| bound.to_string());
                let bounds = bounds.chain(["+Inf".to_owned()]);
                for (bound, count) in bounds.zip(point.bucket_counts()) {
                    cumulative_count += count;
                    let labels = format_labels(point.attributes(), Some(&bound));
                    write_line(text, &format!("{name}_bucket{labels} {cumulative_count}"));
                }
                let labels = format_labels(point.attributes(), None);
                write_line(text, &format!("{name}_sum{labels} {}", point.sum()));
                write_line(text, &format!("{name}_count{labels} {}", point.count()));
            }
        }
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn write_line(text: &mut String, line: &str) {
    let _ = writeln!(text, "{line}");
}

/// Formats `attributes` as a label set in braces, with an additional `le` label if `bucket_bound`
/// is given. Returns an empty string if no labels exist.
fn format_labels<'a>(
    attributes: impl Iterator<Item = &'a KeyValue>,
    bucket_bound: Option<&str>,
) -> String {
    let mut labels: Vec<String> =
        attributes.map(|kv| format!("{}=\"{}\"", kv.key, kv.value)).collect();
    labels.extend(bucket_bound.map(|bound| format!("le=\"{bound}\"")));
    match labels.is_empty() {
        true => String::new(),
        false => format!("{{{}}}", labels.join(",")),
    }
}
