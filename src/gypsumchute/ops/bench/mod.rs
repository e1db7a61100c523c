//! `bench`: a load generator and a table.
//!
//! The same arrivals, drawn from a seed, reach three sets of engines at the same time: through the
//! system, and directly by round robin and by least outstanding requests, the baselines. Arrivals
//! are open-loop: a late answer does not slow the next request.

mod client;
mod lanes;
mod report;
mod scenario;

pub use self::report::Report;
pub use self::scenario::{ScenarioName, Variant};

use self::client::Sample;
use self::lanes::{Lane, LaneKind};
use self::scenario::{Arrival, Scenario};
use crate::core::OpResult;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Requests under way in a lane; what exceeds it is counted as lost by the generator.
const IN_FLIGHT_MAX: usize = 600;
/// How long answers are waited for after the last arrival.
const LINGER: Duration = Duration::from_secs(18);

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Whose load.
    pub scenario: ScenarioName,
    /// Under which circumstances.
    pub variant: Variant,
    /// How long requests arrive.
    pub seconds: u64,
    /// What arrivals are drawn from.
    pub seed: u64,
}

/// Runs a scenario.
///
/// # Errors
///
/// The fleet does not start.
pub fn run(options: Options) -> OpResult<Report> {
    let scenario = Scenario::new(options.scenario, options.variant);
    let arrivals = scenario.arrivals(options.seconds, options.seed);
    let lanes = [LaneKind::Project, LaneKind::RoundRobin, LaneKind::LeastOutstanding];
    let lanes: Vec<Arc<Lane>> = lanes
        .into_iter()
        .map(|kind| Ok(Arc::new(Lane::start(kind, &scenario)?)))
        .collect::<OpResult<_>>()?;
    let threads: Vec<_> = lanes
        .iter()
        .map(|lane| {
            let (lane, arrivals) = (lane.clone(), arrivals.clone());
            let variant = options.variant;
            let seconds = options.seconds;
            thread::spawn(move || drive(&lane, &arrivals, variant, seconds))
        })
        .collect();
    let samples: Vec<Vec<Sample>> =
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect();
    let report = Report::new(&options, &scenario, &lanes, samples);
    for lane in lanes {
        if let Ok(lane) = Arc::try_unwrap(lane) {
            lane.stop();
        }
    }
    Ok(report)
}

/// Sends the arrivals through one lane and collects what became of them.
fn drive(lane: &Arc<Lane>, arrivals: &[Arrival], variant: Variant, seconds: u64) -> Vec<Sample> {
    let began = Instant::now();
    let (out, collected) = flume::unbounded();
    let in_flight = Arc::new(AtomicUsize::new(0));
    let mut samples = Vec::new();
    let mut events = lane.events(variant, seconds);
    for arrival in arrivals {
        let due = Duration::from_millis(arrival.at_ms);
        while let Some(event) = events.pop_if(|event| event.at_ms <= arrival.at_ms) {
            sleep_until(began, Duration::from_millis(event.at_ms));
            lane.happen(&event);
        }
        sleep_until(began, due);
        if in_flight.load(Ordering::Relaxed) >= IN_FLIGHT_MAX {
            samples.push(Sample::lost(arrival));
            continue;
        }
        in_flight.fetch_add(1, Ordering::Relaxed);
        let (lane, arrival, out, in_flight) =
            (lane.clone(), arrival.clone(), out.clone(), in_flight.clone());
        thread::spawn(move || {
            let sample = lane.serve(&arrival);
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = out.send(sample);
        });
    }
    drop(out);
    let until = Instant::now() + LINGER;
    while let Ok(sample) = collected.recv_deadline(until) {
        samples.push(sample);
    }
    samples
}

fn sleep_until(began: Instant, due: Duration) {
    thread::sleep(due.saturating_sub(began.elapsed()));
}
