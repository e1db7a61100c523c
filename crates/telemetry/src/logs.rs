//! One line an event on standard error, as `key=value` pairs. No line shows a key or a prompt.

use crate::bounded::BoundedStdout;
use logforth::append;
use logforth::layout::LogfmtLayout;
use logforth::record::{Level, LevelFilter};

/// Starts logging for this process. A second call changes nothing, so that several processes'
/// libraries may run embedded in one.
pub fn init() {
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let stderr = append::Stderr::default().with_layout(LogfmtLayout::default());
    let builder = logforth::starter_log::builder();
    let started = builder.dispatch(|d| d.filter(filter).append(stderr)).try_apply();
    if started.is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// Starts logging for a daemon: bounded lines on standard output that never block.
///
/// # Errors
///
/// The system's, if there can be no thread for it.
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
