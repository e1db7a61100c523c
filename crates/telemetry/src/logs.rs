//! Log setup. Each event is one line of `key=value` pairs (logfmt).
//!
//! Log lines must not contain API keys or prompts.

use crate::bounded::BoundedStdout;
use logforth::append;
use logforth::layout::LogfmtLayout;
use logforth::record::{Level, LevelFilter};

/// Starts logging to standard error.
///
/// If logging has already been started, the call has no effect. This allows the libraries of
/// several processes to run embedded in one process.
pub fn init_stderr() {
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let stderr = append::Stderr::default().with_layout(LogfmtLayout::default());
    let builder = logforth::starter_log::builder();
    let started = builder.dispatch(|d| d.filter(filter).append(stderr)).try_apply();
    if started.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// Flushes the log on drop, also while a panic unwinds.
#[derive(Debug)]
pub struct FlushOnDrop;

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        log::logger().flush();
    }
}

/// Starts logging to standard output through a bounded queue, so that logging never blocks a
/// daemon.
///
/// If logging has already been started, the log output does not change.
///
/// # Errors
///
/// Returns an error if the operating system can't create the log thread.
pub fn init_bounded_stdout() -> std::io::Result<()> {
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let stdout = BoundedStdout::start()?;
    let builder = logforth::starter_log::builder();
    let started = builder.dispatch(|d| d.filter(filter).append(stdout)).try_apply();
    if started.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    Ok(())
}
