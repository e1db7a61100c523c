//! Memory for messages that are being read or written, shared by all connections of a server.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a message draws on the budget for small messages, in bytes. Large messages
/// can't displace those of this size, which is the default of the maximum size of a request head.
const SMALL_BYTES: usize = 16 << 10;
/// Fraction of a budget that is set aside for small messages, as a divisor.
const SMALL_BUDGET_DIVISOR: usize = 2;

/// Number of bytes that messages may use at once. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Pools>);

#[derive(Debug)]
struct Pools {
    small: Pool,
    large: Pool,
}

#[derive(Debug)]
struct Pool {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl Pool {
    fn new(max_bytes: usize) -> Self {
        Pool { max_bytes, used_bytes: AtomicUsize::new(0) }
    }

    /// Takes `added` bytes for a share that holds `held` bytes, and reports whether there was room.
    /// The only share in use may exceed the budget, so that a single message is always accepted.
    fn try_take(&self, held: usize, added: usize) -> bool {
        let take = |used: usize| {
            let total = used + added;
            (total <= self.max_bytes || used == held).then_some(total)
        };
        self.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl ByteBudget {
    /// Creates a budget of `max_bytes` bytes, of which half is set aside for messages of at most
    /// 16 KiB.
    pub fn new(max_bytes: usize) -> Self {
        let small = max_bytes / SMALL_BUDGET_DIVISOR;
        ByteBudget(Arc::new(Pools { small: Pool::new(small), large: Pool::new(max_bytes - small) }))
    }

    /// Returns the number of bytes in use.
    pub fn used_bytes(&self) -> usize {
        let used = |pool: &Pool| pool.used_bytes.load(Ordering::Relaxed);
        used(&self.0.small) + used(&self.0.large)
    }

    /// Returns an empty share of the budget.
    pub fn share(&self) -> ByteShare {
        ByteShare { budget: self.clone(), bytes: 0 }
    }

    fn pool(&self, bytes: usize) -> &Pool {
        if bytes <= SMALL_BYTES { &self.0.small } else { &self.0.large }
    }
}

/// Bytes that one message uses. They return to the budget on drop.
#[derive(Debug)]
pub struct ByteShare {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteShare {
    /// Changes the size of the share to `bytes`. Returns `false`, with the share unchanged, if the
    /// budget has no room.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (old, new) = (self.budget.pool(self.bytes), self.budget.pool(bytes));
        let fits = match std::ptr::eq(old, new) {
            true if bytes <= self.bytes => {
                old.release(self.bytes - bytes);
                true
            }
            true => old.try_take(self.bytes, bytes - self.bytes),
            false => {
                let fits = new.try_take(0, bytes);
                if fits {
                    old.release(self.bytes);
                }
                fits
            }
        };
        if fits {
            self.bytes = bytes;
        }
        fits
    }

    /// Returns the size of the share, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.budget.pool(self.bytes).release(self.bytes);
    }
}
