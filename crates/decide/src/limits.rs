//! Intervals, timeouts, leases and other limits of the state machines, in one place. All times are
//! in milliseconds.

/// Interval between heartbeats to each member of the zone, for a zone of up to
/// [`MEMBERS_PER_HEARTBEAT_STEP`] members. Larger zones use a multiple of this interval, so that
/// the cost of heartbeats does not grow with the zone.
pub const BASE_HEARTBEAT_MS: u64 = 400;
/// Minimum time between two heartbeats. It applies during view changes too, so that changes at n
/// members reach each of them in a few messages instead of n.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 25;
/// Number of members after which the heartbeat interval grows by another [`BASE_HEARTBEAT_MS`].
pub const MEMBERS_PER_HEARTBEAT_STEP: u64 = 10;
/// Duration of a member's support for a view, in heartbeat intervals.
pub const VIEW_LEASE_HEARTBEATS: u64 = 5;
/// Time without a heartbeat after which a VM is left out of the next view, in heartbeat intervals.
pub const SUSPECT_AFTER_HEARTBEATS: u64 = 4;
/// Maximum difference in speed between the clocks of two VMs, in parts per thousand.
pub const CLOCK_DRIFT_PERMILLE: u64 = 20;
/// Time for which a VM removed from the platform's list still counts towards a majority.
pub const DELISTED_VM_GRACE_MS: u64 = 5_000;

/// Maximum duration of a lease on a share of a customer's rate and burst, without renewal.
pub const SHARE_LEASE_MS: u64 = 2_000;
/// Minimum duration of a share lease; shorter ones are not granted.
pub const MIN_SHARE_LEASE_MS: u64 = 200;
/// Time without a request of the customer after which a borrower returns its leases.
pub const MAX_SHARE_IDLE_MS: u64 = 1_200;
/// Time for which a VM counts as a user of a customer's share after it last asked for tokens or
/// admitted a request.
pub const SHARE_DEMAND_WINDOW_MS: u64 = 1_000;
/// Maximum wait for borrowers to return recalled leases.
pub const RECALL_TIMEOUT_MS: u64 = 40;
/// Minimum time between two recalls of one customer's leases.
pub const MIN_RECALL_INTERVAL_MS: u64 = 100;
/// Minimum time between two searches for one customer's tokens. Also the interval between recalls
/// while the fair share per VM is small.
pub const MIN_SEARCH_INTERVAL_MS: u64 = 10;
/// Maximum wait for the customer's owner in another zone to answer a `ShareAsk`.
pub const OTHER_ZONE_ASK_TIMEOUT_MS: u64 = 100;
/// Maximum wait for the customer's owner in this VM's zone to answer a `ShareAsk`. The owner may
/// have to ask other zones first.
pub const OWNER_ASK_TIMEOUT_MS: u64 = 400;
/// Time for which a VM that did not answer is not asked again.
pub const UNRESPONSIVE_BACKOFF_MS: u64 = 1_000;
/// Maximum time that a request waits for a token of its customer's rate.
pub const MAX_RATE_WAIT_MS: u64 = 800;
/// Maximum time for which requests are refused as over the rate without a new search for tokens.
pub const MAX_EXHAUSTED_MS: u64 = 250;
/// Time for which a VM without an active view keeps its suspended base shares before it drops them.
pub const MAX_SUSPENDED_MS: u64 = 400;

/// Time for which a permit may be used, counted from when it was requested.
pub const PERMIT_VALIDITY_MS: u64 = 600;
/// Interval between resends of a permit request without an answer.
pub const PERMIT_RESEND_MS: u64 = 60;
/// Maximum time that a request waits in one owner's queue before all zones are searched again.
pub const QUEUE_SLICE_MS: u64 = 400;
/// Maximum wait for the answer to a permit request, in addition to the time that the request may
/// wait in the owner's queue.
pub const PERMIT_ANSWER_TIMEOUT_MS: u64 = 200;
/// Minimum interval between resends of an unacknowledged `PermitDone`.
pub const PERMIT_DONE_RESEND_MS: u64 = 200;
/// Maximum age of a load report that shows an endpoint as warm; without one, the endpoint counts as
/// cold.
pub const MAX_WARM_AGE_MS: u64 = 1_500;
/// Maximum age of an endpoint's last load report; with an older one, the endpoint receives no
/// requests.
pub const MAX_LOAD_REPORT_AGE_MS: u64 = 3_000;
/// Interval at which an owner polls the load of an endpoint.
pub const LOAD_POLL_INTERVAL_MS: u64 = 200;

/// Interval between resends of an idempotency-key claim without an answer.
pub const CLAIM_RESEND_MS: u64 = 60;
/// Maximum wait for an answer of an idempotency key's owner.
pub const CLAIM_TIMEOUT_MS: u64 = 800;
/// Interval between resends of an unacknowledged key record or outcome.
pub const KEY_RESEND_MS: u64 = 100;
/// Maximum time for which an unacknowledged outcome is resent.
pub const KEY_OUTCOME_TIMEOUT_MS: u64 = 30_000;

/// Interval between `Hello` messages, each sent to one VM of another zone.
pub const HELLO_INTERVAL_MS: u64 = 500;
/// Interval between `Hello` messages of a VM whose process started less than
/// [`JOIN_TIMEOUT_MS`] ago.
pub const STARTUP_HELLO_INTERVAL_MS: u64 = 100;
/// Interval between repetitions of the notices of poison requests, each sent to one random VM.
pub const CRASH_NOTICE_INTERVAL_MS: u64 = 500;
/// Age of the configuration at which a VM that is not a regular reader starts to read the platform,
/// and the time for which it then reads.
pub const FALLBACK_READ_AGE_MS: u64 = 4_000;
/// Number of VMs in each zone that read the platform regularly; the others fetch newer versions
/// from peers.
pub const READERS_PER_ZONE: usize = 2;
/// Time after which a version offered by another VM is requested again.
pub const FETCH_TIMEOUT_MS: u64 = 1_000;
/// Time for which a starting VM listens for newer versions from peers before it serves requests.
pub const STARTUP_LISTEN_MS: u64 = 1_000;
/// Maximum time that a starting VM waits to join its zone before it reports ready without having
/// joined.
pub const JOIN_TIMEOUT_MS: u64 = 8_000;
/// Minimum retry delay in a refusal for lack of capacity.
pub const MIN_RETRY_AFTER_MS: u64 = 100;
/// Maximum retry delay in a refusal.
pub const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// Returns the duration of a lease as the holder counts it: `lease_ms` less the maximum clock
/// drift, so that the holder stops before the grantor takes the lease back.
pub const fn holder_lease_ms(lease_ms: u64) -> u64 {
    lease_ms - lease_ms * CLOCK_DRIFT_PERMILLE / 1_000
}

/// Returns the heartbeat interval of a zone with `members` members.
pub const fn heartbeat_interval_ms(members: usize) -> u64 {
    let steps = (members as u64).div_ceil(MEMBERS_PER_HEARTBEAT_STEP);
    BASE_HEARTBEAT_MS * if steps == 0 { 1 } else { steps }
}

/// Returns the duration of a member's support for a view with `members` members.
pub const fn view_lease_ms(members: usize) -> u64 {
    VIEW_LEASE_HEARTBEATS * heartbeat_interval_ms(members)
}
