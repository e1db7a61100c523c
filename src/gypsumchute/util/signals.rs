//! Signals that end a process.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// Calls `drain` at the first signal to end, so that the process shuts down gracefully.
///
/// # Errors
///
/// Signals can't be watched.
pub fn on_end(drain: impl Fn() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            drain();
        }
    });
    Ok(())
}
