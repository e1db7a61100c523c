//! Panics of tasks. A task that panics ends alone: the others share its thread and go on.

use crate::call::EndedBy;
use crate::context::Context;
use crate::reply::{self, Reply};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::{Refusal, RefusalReason};
use log::error;
use std::any::Any;
use std::future::poll_fn;
use std::io::{self, Write};
use std::panic::{self, AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::sleep;

/// Delay before a task that has panicked is started again, in milliseconds.
const RESTART_DELAY_MS: u64 = 50;
/// Maximum size of the message of a panic in the log, in bytes.
const MAX_MESSAGE_BYTES: usize = 100;

/// The task has panicked. The panic is logged and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPanicked;

/// Logs each panic of the process, and prints it without what its message may quote.
pub fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let location = info.location().map_or("-".to_owned(), ToString::to_string);
    let cause = panic_message(info.payload());
    error!(location = location.as_str(), cause; "panicked");
    // The log may not be written any more.
    let _ = writeln!(io::stderr(), "panicked at {location}: {cause}");
}

/// Returns the message of a panic up to the first value in it, since that may be a part of a request.
pub fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let formatted = payload.downcast_ref::<String>().map(String::as_str);
    let message = payload.downcast_ref::<&str>().copied().or(formatted).unwrap_or("-");
    let literal = message.split([':', '`', '\'', '"', '\n']).next().unwrap_or_default();
    let end = literal.floor_char_boundary(MAX_MESSAGE_BYTES);
    literal[..end].trim_end()
}

/// Runs `work`, which is dropped if it panics. `task` names it in the metrics.
///
/// # Errors
///
/// Returns an error if `work` panics.
pub async fn catch_panic<T>(
    metrics: &Metrics,
    task: &'static str,
    work: impl Future<Output = T>,
) -> Result<T, TaskPanicked> {
    let mut work = pin!(work);
    let caught = poll_fn(|cx| match catch_unwind(AssertUnwindSafe(|| work.as_mut().poll(cx))) {
        Ok(polled) => polled.map(Ok),
        Err(_) => Poll::Ready(Err(TaskPanicked)),
    });
    let result = caught.await;
    if result.is_err() {
        metrics.count_panic(task);
        error!(task; "task panicked");
    }
    result
}

/// Runs a task that is to run until the process exits, and starts it again whenever it panics.
pub async fn keep_running(metrics: &Metrics, task: &'static str, mut run: impl AsyncFnMut()) {
    while catch_panic(metrics, task, run()).await.is_err() {
        sleep(Duration::from_millis(RESTART_DELAY_MS)).await;
    }
}

impl Context {
    /// Logs and counts the end of a request whose task has panicked.
    pub fn log_panicked_request(&self, request_id: &str) {
        let ended_by = EndedBy::Vm;
        self.metrics.count_request_end(ended_by.into(), "panicked");
        error!(request = request_id, outcome = "panicked", ended_by:% = ended_by; "request ended");
    }

    /// Builds the reply to a request whose task has ended without one, as after a panic. The request may
    /// have been sent.
    pub fn panicked_reply(&self) -> Reply {
        let refusal = Refusal::may_have_run(RefusalReason::EndpointLost);
        self.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
        reply::refusal_reply(refusal)
    }
}
