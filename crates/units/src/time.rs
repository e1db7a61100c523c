//! Time types. Decisions use milliseconds of the boot clock, which keeps counting while the VM is
//! suspended.

use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::ops::Add;
use std::time::{SystemTime, UNIX_EPOCH};

/// A timestamp of one VM's boot clock, in milliseconds.
///
/// Timestamps of different VMs must not be compared. The term of a lease is therefore measured on
/// the clock of the VM that requested the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct BootMs(pub u64);

impl BootMs {
    /// Returns the milliseconds from `earlier` to `self`, or 0 if `earlier` is later than `self`.
    pub fn since(self, earlier: BootMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds from `self` to `deadline`, or 0 if `deadline` has passed.
    pub fn until(self, deadline: BootMs) -> u64 {
        deadline.0.saturating_sub(self.0)
    }
}

impl Add<u64> for BootMs {
    type Output = BootMs;

    fn add(self, ms: u64) -> BootMs {
        BootMs(self.0.saturating_add(ms))
    }
}

impl fmt::Display for BootMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Returns the current time of this VM's boot clock.
pub fn boot_now() -> BootMs {
    let now = clock_gettime(ClockId::Boottime);
    BootMs(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
///
/// A process uses the time of its start as its incarnation number.
pub fn unix_time_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}
