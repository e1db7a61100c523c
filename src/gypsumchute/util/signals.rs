//! Handling of termination signals.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::thread;

/// Calls `drain` on the first SIGTERM or SIGINT, so that the process shuts down gracefully.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be registered.
pub fn on_termination_signal(drain: impl Fn() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            drain();
        }
    });
    Ok(())
}
