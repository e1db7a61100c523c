//! Panics of tasks. A task that panics ends alone: the others share its thread and go on.

use crate::call::EndedBy;
use crate::context::Context;
use crate::reply::{self, Reply};
use gypsumchute_telemetry::Metrics;
use gypsumchute_units::{Refusal, RefusalReason};
use log::error;
use std::future::poll_fn;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;
use tokio::time::sleep;

/// Delay before a task that has panicked is started again, in milliseconds.
const RESTART_DELAY_MS: u64 = 50;
/// The task has panicked. The panic is logged and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskPanicked;

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

    /// Builds the reply to a request whose task has panicked. The request may have been sent.
    pub fn panicked_reply(&self) -> Reply {
        let refusal = Refusal::may_have_run(RefusalReason::EndpointLost);
        self.metrics.count_refusal(refusal.reason.into(), refusal.verdict.into());
        reply::refusal_reply(refusal)
    }
}
