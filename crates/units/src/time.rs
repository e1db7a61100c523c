//! Time as the decisions see it: milliseconds of the boot clock, which counts through suspension.

use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::ops::Add;
use std::time::{SystemTime, UNIX_EPOCH};

/// A point in time on one VM's boot clock, in milliseconds.
///
/// Points of different VMs are never compared: a lease counts on the clock of the VM that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct BootMs(pub u64);

impl BootMs {
    /// Milliseconds from `earlier` to `self`, zero where `earlier` is the later.
    pub fn since(self, earlier: BootMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Milliseconds that remain until `deadline`.
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

/// Now, on this VM's boot clock.
pub fn boot_now() -> BootMs {
    let now = clock_gettime(ClockId::Boottime);
    BootMs(now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000)
}

/// Microseconds since 1970 on the wall clock: the incarnation number of a process that starts.
pub fn wall_micros() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_1970.as_micros() as u64
}
