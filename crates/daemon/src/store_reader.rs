//! Reads the platform's store on the VMs that act as readers of their zone.

use crate::context::Context;
use crate::store_updates::{UpdateSource, apply_changes, apply_snapshot};
use gypsumchute_fleet::StorePosition;
use gypsumchute_platform::items::ALL_KEYS_PREFIX;
use gypsumchute_platform::{Changes, StoreClient, StoreError};
use gypsumchute_units::BootMs;
use gypsumchute_units::time::boot_now;
use log::{info, warn};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout of a watch request, in milliseconds. A store outage is detected within this time, while
/// engines are terminated 1.5 s after a notice that was not received.
const WATCH_TIMEOUT_MS: u64 = 1_000;
/// Delay of a watch response beyond [`WATCH_TIMEOUT_MS`] after which this VM reports to peers that
/// it no longer reads the store, in milliseconds. The delay is much longer than a response takes,
/// and short compared to the 1.5 s after which engines are terminated.
const WATCH_GRACE_MS: u64 = 150;
/// Interval at which a VM that is not a reader checks whether to become one, in milliseconds.
const ROLE_CHECK_INTERVAL_MS: u64 = 50;
/// Minimum and maximum backoff after a failed read if no other VM of the zone retries, in
/// milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (60, 600);
/// Maximum backoff if several VMs of the zone retry, in milliseconds. Every time limit of the
/// platform leaves room for one more attempt after this backoff.
const MAX_SHARED_BACKOFF_MS: u64 = 3_000;
/// Number of consecutive reads without a delay, so that a change after a quiet period is received
/// immediately.
const READ_BURST: u64 = 4;
/// Interval at which one more read is allowed without a delay, in milliseconds. If changes arrive
/// continuously, each read returns several of them, and all are still received well within the time
/// limits.
const READ_INTERVAL_MS: u64 = 400;

/// Reads the store while this VM is a reader. Runs until the process exits.
pub async fn run(context: Rc<Context>, store: StoreClient) {
    let mut failures = 0u32;
    let mut way = ReadWay::Watch;
    let mut rate_limiter = ReadRateLimiter::new(boot_now());
    let mut was_reader = false;
    // An earlier run of this task may have panicked while it was a reader.
    context.with(|state| state.reads_store = false);
    loop {
        let reads = context.with(|state| state.members.should_read_platform(boot_now()));
        if reads != was_reader {
            info!(reads; "store reader role of this VM changed");
            was_reader = reads;
        }
        if !reads {
            context.with(|state| state.reads_store = false);
            sleep(Duration::from_millis(ROLE_CHECK_INTERVAL_MS)).await;
            continue;
        }
        sleep(Duration::from_millis(rate_limiter.next_delay_ms(boot_now()))).await;
        match read_once(&context, &store, way).await {
            Ok(()) => {
                way = ReadWay::Watch;
                if failures > 0 {
                    info!(failures; "store read succeeded again");
                }
                failures = 0;
                context.with(|state| {
                    state.reads_store = true;
                    state.store_confirmed_ms = Some(boot_now());
                });
            }
            Err(err) => {
                way = way.after_failure(&err);
                failures += 1;
                if failures == 1 {
                    warn!(error:% = err; "store read failed");
                }
                let was_reading = context.with(|state| {
                    let now = boot_now();
                    // If another VM can read the store, the store is available and does not let
                    // leases expire by mistake.
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

/// How the next read of the store is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadWay {
    /// By a watch, unless nothing is known yet.
    Watch,
    /// By a listing, whose pages are small.
    List,
}

impl ReadWay {
    /// Returns how to read after a read of this kind failed. The answer to a watch has all changes at
    /// once, and may be too large to arrive in time however often it is asked for.
    fn after_failure(self, err: &StoreError) -> Self {
        match self {
            ReadWay::Watch if err.is_timeout() => ReadWay::List,
            ReadWay::Watch | ReadWay::List => ReadWay::Watch,
        }
    }
}

/// Rate limiter for reads: allows a burst after a quiet period, then one read per interval.
#[derive(Debug)]
pub struct ReadRateLimiter {
    /// Time at which all reads so far would be done at one read per interval.
    scheduled_until: BootMs,
}

impl ReadRateLimiter {
    /// Creates a rate limiter without previous reads.
    pub fn new(now: BootMs) -> Self {
        ReadRateLimiter { scheduled_until: now }
    }

    /// Counts one read and returns the delay before it may start, in milliseconds.
    pub fn next_delay_ms(&mut self, now: BootMs) -> u64 {
        self.scheduled_until = self.scheduled_until.max(now) + READ_INTERVAL_MS;
        now.until(self.scheduled_until).saturating_sub(READ_BURST * READ_INTERVAL_MS)
    }
}

/// Fetches the next changes, or the complete contents if none are known yet, if the store has
/// discarded the changes that this VM missed, or if it was restored from a backup.
async fn read_once(
    context: &Rc<Context>,
    store: &StoreClient,
    way: ReadWay,
) -> Result<(), StoreError> {
    let known = context.with(|state| state.store_copy.position());
    if known.revision == 0 || way == ReadWay::List {
        return list(context, store).await;
    }
    match watch(context, store, known).await {
        Ok(Changes { position, items, unreadable }) if position.era == known.era => {
            count_unreadable(context, unreadable);
            apply_changes(context, UpdateSource::Store, position, items);
            Ok(())
        }
        Ok(Changes { position, .. }) => {
            warn!(known:% = known, position:% = position;
                "store was restored from a backup; fetching a snapshot");
            list(context, store).await
        }
        Err(StoreError::HistoryDiscarded) => {
            info!(known:% = known;
                "store does not have the history after this position; fetching a snapshot");
            list(context, store).await
        }
        Err(err) if err.is_too_large() => {
            info!(known:% = known;
                "changes after this position are too large for one response; fetching a snapshot");
            list(context, store).await
        }
        Err(err) => Err(err),
    }
}

/// Counts and logs items of a response that could not be read.
fn count_unreadable(context: &Context, unreadable: usize) {
    if unreadable > 0 {
        warn!(unreadable; "items of the store could not be read");
        context.metrics.count_ignored_items("unreadable", unreadable as u64);
    }
}

/// Waits for changes. Notifies peers as soon as the response is overdue, and again when it arrives.
async fn watch(
    context: &Context,
    store: &StoreClient,
    known: StorePosition,
) -> Result<Changes, StoreError> {
    let mut watching = Box::pin(store.watch(ALL_KEYS_PREFIX, known.revision, WATCH_TIMEOUT_MS));
    let overdue_after = Duration::from_millis(WATCH_TIMEOUT_MS + WATCH_GRACE_MS);
    if let Ok(answer) = timeout(overdue_after, watching.as_mut()).await {
        return answer;
    }
    info!(known:% = known; "store watch is overdue");
    context.with(|state| state.reads_store = false);
    context.heartbeat_due.notify_one();
    let answer = watching.await;
    if answer.is_ok() {
        context.with(|state| state.reads_store = true);
        context.heartbeat_due.notify_one();
    }
    answer
}

/// Fetches the complete contents of the store.
async fn list(context: &Rc<Context>, store: &StoreClient) -> Result<(), StoreError> {
    let Changes { position, items, unreadable } = store.list(ALL_KEYS_PREFIX).await?;
    count_unreadable(context, unreadable);
    apply_snapshot(context, UpdateSource::Store, position, items);
    Ok(())
}

/// Returns the backoff after `failures` consecutive failed reads, in milliseconds, if `vms` VMs of
/// the zone, including this VM, may retry. After several failures, all these VMs together send
/// requests at the rate of two VMs, or at a higher rate if `MAX_SHARED_BACKOFF_MS` limits the
/// backoff. The first VM that succeeds notifies the others.
pub fn backoff_ms(failures: u32, vms: usize) -> u64 {
    let (shortest, longest) = BACKOFF_RANGE_MS;
    let shared = (longest * vms as u64 / 2).clamp(longest, MAX_SHARED_BACKOFF_MS);
    shortest.saturating_mul(1 << failures.min(8)).min(shared)
}

/// Returns the backoff with jitter, so that VMs do not retry at the same time.
fn jittered_backoff(context: &Context, failures: u32) -> Duration {
    let now = boot_now();
    let longest_ms =
        backoff_ms(failures, context.with(|state| state.members.live_vms_in_zone(now)));
    let ms = context.with(|state| state.rng.random_range(longest_ms / 2..=longest_ms));
    Duration::from_millis(ms)
}
