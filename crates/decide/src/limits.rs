//! Every bound in time of the decisions, in one place. All in milliseconds.

/// How often a VM sends a heartbeat to each member of its zone, for a zone of up to
/// [`MEMBERS_PER_INTERVAL`] members; larger zones beat more slowly, so that the cost stays level.
pub const HEARTBEAT_MS: u64 = 400;
/// Shortest time between two heartbeats, also while views change: news of n members reaches each of
/// them in a few messages, not in n.
pub const BEAT_PAUSE_MS: u64 = 25;
/// Members for which [`HEARTBEAT_MS`] holds.
pub const MEMBERS_PER_INTERVAL: u64 = 10;
/// Heartbeat intervals that a member's support of a view lasts.
pub const VIEW_LEASE_INTERVALS: u64 = 5;
/// Heartbeat intervals of silence after which a VM is left out of the next view.
pub const SUSPECT_INTERVALS: u64 = 4;
/// Parts in a thousand by which a VM's clock may run faster or slower than another's.
pub const CLOCK_DRIFT_PERMILLE: u64 = 20;
/// How long a VM that the platform's list dropped still counts towards a majority.
pub const LIST_GRACE_MS: u64 = 5_000;

/// How long a lent part of a customer's rate and burst lasts without renewal.
pub const SHARE_LEASE_MS: u64 = 2_000;
/// Shortest lease worth lending.
pub const SHARE_LEASE_MIN_MS: u64 = 200;
/// A borrower that admitted nothing for this long gives its part back.
pub const SHARE_IDLE_MS: u64 = 1_200;
/// A VM counts as using a customer's share for this long after it last asked or admitted.
pub const SHARE_DEMAND_MS: u64 = 1_000;
/// Wait for borrowers to return what was recalled.
pub const RECALL_WAIT_MS: u64 = 40;
/// Shortest time between two recalls of one customer's parts.
pub const RECALL_PAUSE_MS: u64 = 100;
/// Shortest time between two searches for one customer's tokens.
pub const GATHER_PAUSE_MS: u64 = 10;
/// Wait for the owner of a customer's share in another zone.
pub const ZONE_ASK_WAIT_MS: u64 = 100;
/// Wait for the owner of a customer's share in the own zone, which may have to ask other zones.
pub const OWNER_ASK_WAIT_MS: u64 = 400;
/// A VM or zone that did not answer is passed over for this long.
pub const SILENT_PAUSE_MS: u64 = 1_000;
/// Longest wait of a request for its customer's rate.
pub const RATE_WAIT_MS: u64 = 800;
/// Longest time for which over-rate answers are given without asking again.
pub const DRY_MAX_MS: u64 = 250;
/// How long a VM without an active view keeps its owned shares frozen before it drops them.
pub const SUSPENDED_MAX_MS: u64 = 400;

/// How long a permit may be used, from when it was asked for.
pub const PERMIT_USE_MS: u64 = 600;
/// Time between two asks for the same permit while no answer has come.
pub const PERMIT_RESEND_MS: u64 = 60;
/// How long one owner's queue is tried before the asker looks around again.
pub const PERMIT_SLICE_MS: u64 = 400;
/// Wait for an owner in another zone, beyond the time that the request may queue there.
pub const PERMIT_ANSWER_WAIT_MS: u64 = 200;
/// Time between two notices of a permit's end while none has been acknowledged.
pub const PERMIT_DONE_RESEND_MS: u64 = 200;
/// An endpoint is cold unless a load report younger than this says warm.
pub const WARM_EVIDENCE_MS: u64 = 1_500;
/// An endpoint without a load report for this long receives nothing.
pub const REPORT_LOST_MS: u64 = 3_000;
/// How often an owner reads an endpoint's load.
pub const LOAD_POLL_MS: u64 = 200;

/// Time between two claims of an idempotency key while no answer has come.
pub const CLAIM_RESEND_MS: u64 = 60;
/// Longest wait for the owner of an idempotency key.
pub const CLAIM_WAIT_MS: u64 = 800;
/// Time between two sends of a record or an outcome while none has been acknowledged.
pub const KEY_RESEND_MS: u64 = 100;
/// How long an outcome is sent again before it is given up.
pub const KEY_OUTCOME_MS: u64 = 30_000;

/// How often a VM sends a sign of life to one VM of another zone.
pub const HELLO_MS: u64 = 500;
/// The same for a VM whose process started less than [`JOIN_WAIT_MS`] ago.
pub const HELLO_YOUNG_MS: u64 = 100;
/// Age of the configuration at which a VM that does not read the platform does so once.
pub const READ_ANYWAY_MS: u64 = 4_000;
/// VMs of each zone that watch the platform; the others take versions from them.
pub const READERS_PER_ZONE: usize = 2;
/// Wait for a version that another VM offered before it is asked for again.
pub const FETCH_WAIT_MS: u64 = 1_000;
/// How long a starting VM listens for a newer version among its peers before it serves.
pub const START_LISTEN_MS: u64 = 1_000;
/// How long a starting VM may wait to act with its zone before callers are sent to it all the same.
pub const JOIN_WAIT_MS: u64 = 8_000;
/// Delay before a VM that gives up waiting lets a caller come back, at least.
pub const RETRY_AFTER_MIN_MS: u64 = 100;
/// Longest time to come back that a caller is told.
pub const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// `lease_ms` as the holder counts it: shorter by the drift between two clocks.
pub const fn held_ms(lease_ms: u64) -> u64 {
    lease_ms - lease_ms * CLOCK_DRIFT_PERMILLE / 1_000
}

/// The heartbeat interval of a zone with `members` members.
pub const fn heartbeat_ms(members: usize) -> u64 {
    let groups = (members as u64).div_ceil(MEMBERS_PER_INTERVAL);
    HEARTBEAT_MS * if groups == 0 { 1 } else { groups }
}

/// How long a member's support of a view with `members` members lasts.
pub const fn view_lease_ms(members: usize) -> u64 {
    VIEW_LEASE_INTERVALS * heartbeat_ms(members)
}
