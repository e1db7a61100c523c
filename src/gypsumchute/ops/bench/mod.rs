//! `bench`: compares the system with two baselines under load.
//!
//! The same arrivals, generated from a seed, are sent to three targets at the same time: an
//! embedded fleet, and two baselines that send requests directly to engines (round-robin and least
//! outstanding requests). Each target has engines of its own. The load is open-loop: a late
//! response does not delay the next request.

mod client;
mod report;
mod scenario;
mod targets;

pub use self::report::Report;
pub use self::scenario::{ScenarioName, Variant};

use self::client::Sample;
use self::scenario::{Arrival, Scenario};
use self::targets::{Target, TargetKind};
use crate::core::OpResult;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of requests in flight per target. Requests beyond the limit are not sent and are
/// counted as dropped by the load generator.
const MAX_IN_FLIGHT_REQUESTS: usize = 600;
/// Maximum time to wait for responses after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(18);

/// Parameters of a benchmark run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Workload of the run.
    pub scenario: ScenarioName,
    /// Condition under which the workload runs.
    pub variant: Variant,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of the random arrivals.
    pub seed: u64,
}

/// Runs a scenario against all targets and reports the results.
///
/// # Errors
///
/// Returns an error if a target does not start.
pub fn run(options: Options) -> OpResult<Report> {
    let scenario = Scenario::new(options.scenario, options.variant);
    let arrivals = scenario.arrivals(options.seconds, options.seed);
    let targets = [TargetKind::Gypsumchute, TargetKind::RoundRobin, TargetKind::LeastOutstanding];
    let targets: Vec<Arc<Target>> = targets
        .into_iter()
        .map(|kind| Ok(Arc::new(Target::start(kind, &scenario)?)))
        .collect::<OpResult<_>>()?;
    let threads: Vec<_> = targets
        .iter()
        .map(|target| {
            let (target, arrivals) = (target.clone(), arrivals.clone());
            let variant = options.variant;
            let seconds = options.seconds;
            thread::spawn(move || run_load(&target, &arrivals, variant, seconds))
        })
        .collect();
    let samples: Vec<Vec<Sample>> =
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect();
    let report = Report::new(&options, &scenario, &targets, samples);
    for target in targets {
        if let Ok(target) = Arc::try_unwrap(target) {
            target.stop();
        }
    }
    Ok(report)
}

/// Sends the arrivals to one target at their scheduled times, and returns the samples that arrive
/// before the drain timeout.
fn run_load(
    target: &Arc<Target>,
    arrivals: &[Arrival],
    variant: Variant,
    seconds: u64,
) -> Vec<Sample> {
    let started_at = Instant::now();
    let (sample_sender, sample_receiver) = flume::unbounded();
    let in_flight = Arc::new(AtomicUsize::new(0));
    let mut samples = Vec::new();
    let mut zone_events = target.zone_events(variant, seconds);
    for arrival in arrivals {
        let due_after = Duration::from_millis(arrival.at_ms);
        while let Some(event) = zone_events.pop_if(|event| event.at_ms <= arrival.at_ms) {
            sleep_until(started_at, Duration::from_millis(event.at_ms));
            target.apply(&event);
        }
        sleep_until(started_at, due_after);
        if in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT_REQUESTS {
            samples.push(Sample::dropped_by_generator(arrival));
            continue;
        }
        in_flight.fetch_add(1, Ordering::Relaxed);
        let (target, arrival, sample_sender, in_flight) =
            (target.clone(), arrival.clone(), sample_sender.clone(), in_flight.clone());
        thread::spawn(move || {
            let sample = target.send(&arrival);
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = sample_sender.send(sample);
        });
    }
    drop(sample_sender);
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while let Ok(sample) = sample_receiver.recv_deadline(deadline) {
        samples.push(sample);
    }
    samples
}

/// Sleeps until the time `due_after` has passed since `started_at`.
fn sleep_until(started_at: Instant, due_after: Duration) {
    thread::sleep(due_after.saturating_sub(started_at.elapsed()));
}
