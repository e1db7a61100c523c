//! Whether the process shuts down, and by when.

use gypsumchute_routing::shutdown::Shutdown;
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time before the exit of the process at which requests in flight are answered, in milliseconds.
const LAST_ANSWERS_MS: u64 = 150;

/// Course of the graceful shutdown, once it has begun.
#[derive(Debug, Default)]
pub struct ShutdownState {
    course: watch::Sender<Option<Shutdown>>,
}

impl ShutdownState {
    /// Begins the graceful shutdown; the process exits at `exit_ms` at the latest.
    pub fn begin(&self, exit_ms: BootMs) {
        let last_answers_ms = BootMs(exit_ms.0.saturating_sub(LAST_ANSWERS_MS));
        self.course.send_replace(Some(Shutdown { started_ms: boot_now(), last_answers_ms }));
    }

    /// Returns the course of the shutdown, or `None` if it has not begun.
    pub fn course(&self) -> Option<Shutdown> {
        *self.course.borrow()
    }

    /// Reports whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.course().is_some()
    }

    /// Completes when the shutdown begins, and returns its course.
    pub async fn begun(&self) -> Shutdown {
        let mut course = self.course.subscribe();
        // The sender is a field, so it is not dropped while this waits.
        let begun = course.wait_for(Option::is_some).await.ok().and_then(|begun| *begun);
        match begun {
            Some(begun) => begun,
            None => std::future::pending().await,
        }
    }

    /// Completes shortly before the process exits, when requests that are still in flight must be
    /// answered. Never completes unless the shutdown begins.
    pub async fn last_answers_due(&self) {
        let course = self.begun().await;
        sleep(Duration::from_millis(boot_now().until(course.last_answers_ms))).await;
    }
}
