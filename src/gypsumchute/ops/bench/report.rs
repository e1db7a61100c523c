//! Report of a benchmark run, as a table and as JSON.

use crate::ops::bench::Options;
use crate::ops::bench::client::Sample;
use crate::ops::bench::scenario::Scenario;
use crate::ops::bench::targets::Target;
use crate::util::table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between tokens above which a stream counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Precision of the histograms, in significant decimal digits.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// Results of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetReport {
    /// Name of the target.
    pub policy: String,
    /// Number of requests that ended before the drain timeout, or that the load generator dropped.
    pub requests: usize,
    /// Number of complete responses.
    #[serde(rename = "whole")]
    pub completed: usize,
    /// Number of tokens received.
    pub tokens: u64,
    /// Sum of all times between tokens that exceed the stall threshold of 200 ms, in seconds.
    pub stall_s: f64,
    /// Number of preempted generations.
    pub preemptions: u64,
    /// Time between tokens in milliseconds: 50th, 95th and 99th percentile.
    #[serde(rename = "between_tokens_ms")]
    pub inter_token_latency_ms: [f64; 3],
    /// Time to the first token in milliseconds: 50th, 95th and 99th percentile.
    #[serde(rename = "first_token_ms")]
    pub time_to_first_token_ms: [f64; 3],
    /// Success ratio of the worst-served customer, divided by that of all customers. The success
    /// ratio is the number of complete responses per request within the rate limit.
    #[serde(rename = "worst_customer")]
    pub worst_customer_ratio: f64,
    /// Number of failed requests by reason.
    #[serde(rename = "refusals")]
    pub failures: BTreeMap<String, usize>,
    /// Number of failed requests by customer number and reason.
    #[serde(rename = "refusals_by_customer")]
    pub failures_by_customer: BTreeMap<usize, BTreeMap<String, usize>>,
    /// Number of failed requests of customers that stayed within the rate limit throughout.
    /// Customers that exceed the limit are left out, because the system and a single token bucket
    /// may admit different ones of their requests.
    #[serde(rename = "wrongful")]
    pub wrongful_failures: usize,
}

/// Results of a benchmark run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub scenario: String,
    /// Name of the condition.
    pub variant: String,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Results by target. The system comes first, followed by the baselines.
    #[serde(rename = "lanes")]
    pub targets: Vec<TargetReport>,
}

/// Returns a histogram of durations in microseconds.
fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS).expect("3 digits are allowed");
    for time in times {
        // An auto-resizing histogram accepts every value, so recording cannot fail.
        let _ = histogram.record(time.as_micros() as u64);
    }
    histogram
}

/// Returns the 50th, 95th and 99th percentile of a histogram, in milliseconds.
fn quantiles_ms(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1_000.0)
}

impl TargetReport {
    fn new(target: &Target, customers: usize, samples: &[Sample]) -> Self {
        let generations = || samples.iter().filter(|sample| sample.is_generation);
        let token_gaps =
            histogram(generations().flat_map(|sample| sample.token_gaps.iter().copied()));
        let first_token_times =
            histogram(generations().filter_map(|sample| sample.time_to_first_token));
        let stall_gaps =
            samples.iter().flat_map(|s| &s.token_gaps).filter(|gap| **gap > STALL_THRESHOLD);
        let mut failures = BTreeMap::new();
        let mut by_customer: BTreeMap<usize, BTreeMap<String, usize>> = BTreeMap::new();
        for sample in samples {
            let Some(reason) = sample.failure.clone() else { continue };
            *failures.entry(reason.clone()).or_default() += 1;
            *by_customer.entry(sample.customer).or_default().entry(reason).or_default() += 1;
        }
        // Complete responses per request that a single token bucket for the fleet would admit.
        let success_ratio = |customer: Option<usize>| {
            let selected = || samples.iter().filter(|s| customer.is_none_or(|c| s.customer == c));
            let expected = selected().filter(|sample| sample.within_rate).count();
            let completed = selected().filter(|sample| sample.completed).count().min(expected);
            if expected == 0 { 1.0 } else { completed as f64 / expected as f64 }
        };
        let overall = success_ratio(None).max(f64::EPSILON);
        let worst = (0..customers).map(|c| success_ratio(Some(c))).fold(1.0, f64::min) / overall;
        let stays_within_rate =
            |c: usize| samples.iter().filter(|s| s.customer == c).all(|s| s.within_rate);
        let failures_of =
            |c: usize| samples.iter().filter(|s| s.customer == c && s.failure.is_some()).count();
        let wrongful_failures = (0..customers).filter(|c| stays_within_rate(*c)).map(failures_of);
        TargetReport {
            policy: target.kind.to_string(),
            requests: samples.len(),
            completed: samples.iter().filter(|sample| sample.completed).count(),
            tokens: samples.iter().map(|sample| sample.tokens).sum(),
            stall_s: stall_gaps.map(Duration::as_secs_f64).sum(),
            preemptions: target.preemptions(),
            inter_token_latency_ms: quantiles_ms(&token_gaps),
            time_to_first_token_ms: quantiles_ms(&first_token_times),
            worst_customer_ratio: worst,
            failures,
            failures_by_customer: by_customer,
            wrongful_failures: wrongful_failures.sum(),
        }
    }
}

impl Report {
    pub(super) fn new(
        options: &Options,
        scenario: &Scenario,
        targets: &[Arc<Target>],
        samples: Vec<Vec<Sample>>,
    ) -> Self {
        let customers = scenario.customers.len();
        let targets = targets.iter().zip(&samples);
        Report {
            scenario: options.scenario.to_string(),
            variant: options.variant.to_string(),
            seconds: options.seconds,
            seed: options.seed,
            targets: targets.map(|(target, s)| TargetReport::new(target, customers, s)).collect(),
        }
    }

    /// Formats the results as a table with one column per target and the ratio of the system to the
    /// better baseline.
    pub fn to_table(&self) -> String {
        let mut headings = vec!["".to_owned()];
        headings.extend(self.targets.iter().map(|target| target.policy.clone()));
        headings.push("ratio to better".to_owned());
        let mut table = Table::new(headings);
        let mut row = |name: &str, lower_is_better: bool, value: fn(&TargetReport) -> f64| {
            let values: Vec<f64> = self.targets.iter().map(value).collect();
            let pick = if lower_is_better { f64::min } else { f64::max };
            let better = values[1..].iter().copied().reduce(pick).unwrap_or(0.0);
            let ratio =
                if better > 0.0 { format!("{:.2}", values[0] / better) } else { "-".into() };
            let mut cells = vec![name.to_owned()];
            cells.extend(values.iter().map(|value| format!("{value:.2}")));
            cells.push(ratio);
            table.add_row(cells);
        };
        row("requests", false, |target| target.requests as f64);
        row("whole answers", false, |target| target.completed as f64);
        row("tokens", false, |target| target.tokens as f64);
        row("stall time, s", true, |target| target.stall_s);
        row("preemptions", true, |target| target.preemptions as f64);
        row("between tokens p50, ms", true, |target| target.inter_token_latency_ms[0]);
        row("between tokens p95, ms", true, |target| target.inter_token_latency_ms[1]);
        row("between tokens p99, ms", true, |target| target.inter_token_latency_ms[2]);
        row("first token p50, ms", true, |target| target.time_to_first_token_ms[0]);
        row("first token p95, ms", true, |target| target.time_to_first_token_ms[1]);
        row("first token p99, ms", true, |target| target.time_to_first_token_ms[2]);
        row("worst customer, part of fair", false, |target| target.worst_customer_ratio);
        row("wrongful refusals", true, |target| target.wrongful_failures as f64);
        let failures = self.targets.first().map(|target| format!("{:?}", target.failures));
        format!(
            "{} {}, {} s, seed {}\n{}\nrefusals by the system: {}",
            self.scenario,
            self.variant,
            self.seconds,
            self.seed,
            table.to_text(),
            failures.unwrap_or_default(),
        )
    }

    /// Formats the results as JSON.
    pub fn to_json(&self) -> String {
        format!("{:#}", serde_json::json!(self))
    }
}
