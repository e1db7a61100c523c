//! Reads the platform's store, if this VM is one of those of its zone that do.

use crate::context::Context;
use crate::store_updates::{UpdateSource, apply_changes, apply_snapshot};
use gypsumchute_platform::items::ALL;
use gypsumchute_platform::{Changes, StoreClient, StoreError};
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use log::{info, warn};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Longest wait of a watch, in ms: a store that went away is noticed within it, while engines leave
/// 1.5 s after a notice that nobody heard.
const WATCH_TIMEOUT_MS: u64 = 1_000;
/// How much later than it should a watch may answer before this VM tells the others that it knows
/// nothing new, in ms: far more than answers take, little against the 1.5 s after which engines
/// leave.
const WATCH_GRACE_MS: u64 = 150;
/// How often a VM that does not read looks whether it should, in ms.
const ROLE_CHECK_INTERVAL_MS: u64 = 50;
/// Shortest and longest pause after a failed read of a VM that tries alone, in ms.
const BACKOFF_RANGE_MS: (u64, u64) = (60, 600);
/// Longest pause where many try, in ms: what every bound of the platform leaves for one more try.
const MAX_SHARED_BACKOFF_MS: u64 = 3_000;
/// Reads in a row that need not wait: a change after a quiet time is known at once.
const READ_BURST: u64 = 4;
/// Time after which one more read need not wait, in ms. Where changes come all the time a reader
/// takes several with one call, and still knows each well within every bound.
const READ_INTERVAL_MS: u64 = 400;

/// Reads for as long as the process lives.
pub async fn run(context: Rc<Context>, store: StoreClient) {
    let mut failures = 0u32;
    let mut rate_limiter = ReadRateLimiter::new(boot_now());
    let mut was_reader = false;
    loop {
        let reads = context.with(|state| state.members.should_read(boot_now()));
        if reads != was_reader {
            info!(reads; "this VM reads the store, or leaves it to another one");
            was_reader = reads;
        }
        if !reads {
            context.with(|state| state.reads_store = false);
            sleep(Duration::from_millis(ROLE_CHECK_INTERVAL_MS)).await;
            continue;
        }
        sleep(Duration::from_millis(rate_limiter.next_delay_ms(boot_now()))).await;
        match read_once(&context, &store).await {
            Ok(()) => {
                if failures > 0 {
                    info!(failures; "store answers again");
                }
                failures = 0;
                context.with(|state| {
                    state.reads_store = true;
                    state.store_confirmed_ms = Some(boot_now());
                });
            }
            Err(err) => {
                failures += 1;
                if failures == 1 {
                    warn!(error:% = err; "store does not answer");
                }
                let was_reading = context.with(|state| {
                    let now = boot_now();
                    // A store that turns this VM away and serves others loses no entries.
                    if !state.members.has_reader(now) {
                        state.store_failure_ms = Some(now);
                    }
                    std::mem::replace(&mut state.reads_store, false)
                });
                if was_reading {
                    context.heartbeat_due.notify_one();
                }
                sleep(jittered_backoff(&context, failures)).await;
            }
        }
    }
}

/// Spaces reads: some at once after a quiet time, then one at a time.
#[derive(Debug)]
pub struct ReadRateLimiter {
    /// The time at which all reads so far would have been made, one at a time.
    scheduled_until: BootMs,
}

impl ReadRateLimiter {
    /// Nothing was read before `now`.
    pub fn new(now: BootMs) -> Self {
        ReadRateLimiter { scheduled_until: now }
    }

    /// Takes one read, and tells how long it must wait, in ms.
    pub fn next_delay_ms(&mut self, now: BootMs) -> u64 {
        self.scheduled_until = self.scheduled_until.max(now) + READ_INTERVAL_MS;
        now.until(self.scheduled_until).saturating_sub(READ_BURST * READ_INTERVAL_MS)
    }
}

async fn read_once(context: &Rc<Context>, store: &StoreClient) -> Result<(), StoreError> {
    let revision = context.with(|state| state.store_copy.revision());
    if revision == 0 {
        return list(context, store).await;
    }
    match watch(context, store, revision).await {
        Ok(Changes { revision, items }) => {
            apply_changes(context, UpdateSource::Store, revision, items);
            Ok(())
        }
        Err(StoreError::HistoryGone) => {
            info!(revision; "store has forgotten its history; listing it");
            list(context, store).await
        }
        Err(err) => Err(err),
    }
}

/// Watches, and tells the other VMs at once when the store is overdue and when it answers again.
async fn watch(
    context: &Context,
    store: &StoreClient,
    revision: u64,
) -> Result<Changes, StoreError> {
    let mut watching = Box::pin(store.watch(ALL, revision, WATCH_TIMEOUT_MS));
    let overdue = Duration::from_millis(WATCH_TIMEOUT_MS + WATCH_GRACE_MS);
    if let Ok(answer) = timeout(overdue, watching.as_mut()).await {
        return answer;
    }
    info!(revision; "store is overdue");
    context.with(|state| state.reads_store = false);
    context.heartbeat_due.notify_one();
    let answer = watching.await;
    if answer.is_ok() {
        context.with(|state| state.reads_store = true);
        context.heartbeat_due.notify_one();
    }
    answer
}

async fn list(context: &Rc<Context>, store: &StoreClient) -> Result<(), StoreError> {
    let Changes { revision, items } = store.list(ALL).await?;
    apply_snapshot(context, UpdateSource::Store, revision, items);
    Ok(())
}

/// How long a VM waits after `failures` reads in a row failed, in ms, where `vms` of its zone may
/// try as well. All of them together ask as often as two would, and the first that is answered
/// tells the others.
pub fn backoff_ms(failures: u32, vms: usize) -> u64 {
    let (shortest, longest) = BACKOFF_RANGE_MS;
    let shared = (longest * vms as u64 / 2).clamp(longest, MAX_SHARED_BACKOFF_MS);
    shortest.saturating_mul(1 << failures.min(8)).min(shared)
}

/// The pause, different between VMs.
fn jittered_backoff(context: &Context, failures: u32) -> Duration {
    let now = boot_now();
    let longest_ms = backoff_ms(failures, context.with(|state| state.members.vms_in_zone(now)));
    let ms = context.with(|state| state.rng.random_range(longest_ms / 2..=longest_ms));
    Duration::from_millis(ms)
}
