//! Buffers for message bodies that are kept as a whole, within a budget for all of them.
//!
//! A limit on each body does not bound the memory of a process: many bodies may be large at once.
//! Small bodies are always accepted, so that large ones can't displace them.

use bytes::Bytes;
use quick_error::quick_error;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a body does not draw on the budget, in bytes.
const FREE_BYTES: usize = 64 << 10;

quick_error! {
    /// Error returned if the budget has no room for a body.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BudgetExceeded {
        /// Too many large bodies are buffered at once.
        Exhausted {
            display("too many large bodies are buffered at once")
        }
    }
}

/// Memory for large bodies. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    available_bytes: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        BufferBudget { available_bytes: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Returns the number of bytes that are left.
    pub fn available_bytes(&self) -> usize {
        self.available_bytes.load(Ordering::Relaxed)
    }

    /// Takes bytes from the budget, and reports whether enough were left.
    fn try_take(&self, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        self.available_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// A body that is being received. The memory returns to the budget when the body, or the
/// [`Bytes`] made from it, is dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    budget: BufferBudget,
    /// Bytes taken from the budget.
    reserved_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer that draws on `budget`.
    pub fn new(budget: &BufferBudget) -> Self {
        BodyBuffer { bytes: Vec::new(), budget: budget.clone(), reserved_bytes: 0 }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Reports whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is large and the budget has no room for it.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BudgetExceeded> {
        let length = self.bytes.len() + chunk.len();
        if length > FREE_BYTES && length > self.reserved_bytes {
            // Doubling keeps the number of copies small.
            let capacity = length.next_power_of_two();
            if !self.budget.try_take(capacity - self.reserved_bytes) {
                return Err(BudgetExceeded::Exhausted);
            }
            self.reserved_bytes = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the complete body.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.available_bytes.fetch_add(self.reserved_bytes, Ordering::Relaxed);
    }
}
