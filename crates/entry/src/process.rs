//! Starting and stopping an entry process.

use crate::ops;
use crate::server::{self, EntryState};
use gypsumchute_config::EntrySettings;
use gypsumchute_units::time::boot_now;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL_MS: u64 = 50;
/// How long a process that shuts down stays to refuse callers whom the balancer still sends.
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
/// One of its addresses can't be bound.
pub fn start(settings: EntrySettings) -> Result<EntryHandle, Box<dyn Error + Send + Sync>> {
    let entry = Arc::new(EntryState::new(settings));
    let stopped = Arc::new(AtomicBool::new(false));
    ops::serve(entry.clone(), stopped.clone())?;
    server::start(entry.clone(), stopped.clone())?;
    Ok(EntryHandle { entry, stopped })
}

impl EntryHandle {
    /// A function that begins a graceful shutdown, for signal handlers.
    pub fn drainer(&self) -> impl Fn() + Send + 'static {
        let entry = self.entry.clone();
        move || entry.draining.store(true, Ordering::Relaxed)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.entry.is_ready()
    }

    /// Waits until a graceful shutdown is over: no request is cut.
    pub fn join(self) {
        let mut quiet_since = None;
        loop {
            thread::sleep(Duration::from_millis(POLL_MS));
            let busy = self.entry.in_flight.load(Ordering::Relaxed) > 0;
            if busy || !self.entry.draining.load(Ordering::Relaxed) {
                quiet_since = None;
                continue;
            }
            let since = *quiet_since.get_or_insert_with(boot_now);
            if boot_now().since(since) >= DRAIN_LINGER_MS {
                break;
            }
        }
        self.stop();
    }

    /// Ends at once.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.entry.link.stop();
    }
}
