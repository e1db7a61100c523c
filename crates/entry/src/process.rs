//! Starts and stops an entry process.

use crate::ops;
use crate::server::{self, EntryState};
use gypsumchute_config::EntrySettings;
use gypsumchute_units::time::boot_now;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which a shutdown checks for requests in flight, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;
/// Time without requests in flight after which a draining process ends, in milliseconds. Until then
/// it refuses callers that the load balancer still sends.
const DRAIN_LINGER_MS: u64 = 1_000;

/// A running entry process.
pub struct EntryHandle {
    entry: Arc<EntryState>,
    stopped: Arc<AtomicBool>,
}

/// Starts an entry process with these settings.
///
/// # Errors
///
/// An address in the settings cannot be bound.
pub fn start(settings: EntrySettings) -> Result<EntryHandle, Box<dyn Error + Send + Sync>> {
    let entry = Arc::new(EntryState::new(settings));
    let stopped = Arc::new(AtomicBool::new(false));
    ops::serve(entry.clone(), stopped.clone())?;
    server::start(entry.clone(), stopped.clone())?;
    Ok(EntryHandle { entry, stopped })
}

impl EntryHandle {
    /// Returns a function that starts a graceful shutdown, for use in signal handlers.
    pub fn drain_trigger(&self) -> impl Fn() + Send + 'static {
        let entry = self.entry.clone();
        move || entry.draining.store(true, Ordering::Relaxed)
    }

    /// Reports whether the load balancer may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.entry.is_ready()
    }

    /// Waits for a graceful shutdown to be started and to end, without interrupting requests in
    /// flight.
    pub fn join(self) {
        let mut idle_since = None;
        loop {
            thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
            let busy = self.entry.in_flight.load(Ordering::Relaxed) > 0;
            if busy || !self.entry.draining.load(Ordering::Relaxed) {
                idle_since = None;
                continue;
            }
            let since = *idle_since.get_or_insert_with(boot_now);
            if boot_now().since(since) >= DRAIN_LINGER_MS {
                break;
            }
        }
        self.stop();
    }

    /// Stops the process without waiting for requests in flight.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.entry.link.stop();
    }
}
