//! Buffers for message bodies that are kept as a whole, within a budget for all of them.
//!
//! A limit on each body does not bound the memory of a process: many bodies may be large at once.
//! Small bodies have a budget of their own, so that large ones can't displace them, and very small
//! ones are always accepted.

use bytes::Bytes;
use quick_error::quick_error;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a body draws on the budget for small bodies, in bytes.
const MAX_SMALL_BYTES: usize = 64 << 10;
/// Size up to which a body draws on no budget, in bytes: the number of connections bounds the memory
/// for such bodies to a few megabytes.
const MAX_FREE_BYTES: usize = 1 << 10;

quick_error! {
    /// Error returned if the budget has no room for a body.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BudgetExceeded {
        /// Too many bodies are buffered at once.
        Exhausted {
            display("too many bodies are buffered at once")
        }
    }
}

/// A number of bytes that is left. Clones share it.
#[derive(Debug, Clone)]
pub struct BytesLeft(Arc<AtomicUsize>);

impl BytesLeft {
    /// Creates a number of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        BytesLeft(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Returns the number of bytes that are left.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Takes bytes, and reports whether enough were left.
    pub fn try_take(&self, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    /// Returns bytes that were taken.
    pub fn give_back(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Memory for bodies. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    large: BytesLeft,
    /// Memory for small bodies; not limited if `None`.
    small: Option<BytesLeft>,
    /// Memory that bodies share with other uses; not limited if `None`.
    shared: Option<BytesLeft>,
}

impl BufferBudget {
    /// Creates a budget of `bytes` bytes for large bodies. Small ones are not limited.
    pub fn new(bytes: usize) -> Self {
        BufferBudget { large: BytesLeft::new(bytes), small: None, shared: None }
    }

    /// Creates a budget of `bytes` bytes for large bodies and of `small_bytes` bytes for small ones.
    /// A small body draws on the former once the latter is used up.
    pub fn with_small_bodies(bytes: usize, small_bytes: usize) -> Self {
        let small = Some(BytesLeft::new(small_bytes));
        BufferBudget { large: BytesLeft::new(bytes), small, shared: None }
    }

    /// Lets all bodies draw on `shared` in addition.
    pub fn within(self, shared: &BytesLeft) -> Self {
        BufferBudget { shared: Some(shared.clone()), ..self }
    }

    /// Returns the number of bytes that are left for large bodies.
    pub fn available_bytes(&self) -> usize {
        self.large.get()
    }

    /// Returns the number of bytes that are left for small bodies, or `None` if these are not limited.
    pub fn available_small_bytes(&self) -> Option<usize> {
        self.small.as_ref().map(BytesLeft::get)
    }
}

/// A body that is being received. The memory returns to the budget when the body, or the
/// [`Bytes`] made from it, is dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    budget: BufferBudget,
    /// Bytes taken from the budget for large bodies.
    large_bytes: usize,
    /// Bytes taken from the budget for small bodies.
    small_bytes: usize,
    /// Bytes taken from the memory that is shared with other uses.
    shared_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer that draws on `budget`.
    pub fn new(budget: &BufferBudget) -> Self {
        BodyBuffer {
            bytes: Vec::new(),
            budget: budget.clone(),
            large_bytes: 0,
            small_bytes: 0,
            shared_bytes: 0,
        }
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
    /// Returns an error if the budget has no room for the body.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BudgetExceeded> {
        let length = self.bytes.len() + chunk.len();
        let is_limited = length > MAX_SMALL_BYTES || self.budget.small.is_some();
        if is_limited && length > MAX_FREE_BYTES.max(self.large_bytes).max(self.small_bytes) {
            // Doubling keeps the number of copies small.
            let capacity = length.next_power_of_two();
            self.reserve_shared(capacity)?;
            if !self.reserve_small(capacity) {
                self.reserve_large(capacity)?;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Takes room for `capacity` bytes from the memory that is shared with other uses.
    fn reserve_shared(&mut self, capacity: usize) -> Result<(), BudgetExceeded> {
        if let Some(shared) = &self.budget.shared {
            if !shared.try_take(capacity - self.shared_bytes) {
                return Err(BudgetExceeded::Exhausted);
            }
            self.shared_bytes = capacity;
        }
        Ok(())
    }

    /// Takes room for `capacity` bytes from the budget for small bodies, and reports whether it had
    /// any.
    fn reserve_small(&mut self, capacity: usize) -> bool {
        let is_small = capacity <= MAX_SMALL_BYTES && self.large_bytes == 0;
        let Some(small) = self.budget.small.as_ref().filter(|_| is_small) else { return false };
        let has_room = small.try_take(capacity - self.small_bytes);
        if has_room {
            self.small_bytes = capacity;
        }
        has_room
    }

    /// Takes room for `capacity` bytes from the budget for large bodies, and returns that for small
    /// ones.
    fn reserve_large(&mut self, capacity: usize) -> Result<(), BudgetExceeded> {
        if !self.budget.large.try_take(capacity - self.large_bytes) {
            return Err(BudgetExceeded::Exhausted);
        }
        self.large_bytes = capacity;
        self.release_small();
        Ok(())
    }

    fn release_small(&mut self) {
        let bytes = std::mem::take(&mut self.small_bytes);
        if let Some(small) = &self.budget.small {
            small.give_back(bytes);
        }
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
        self.budget.large.give_back(self.large_bytes);
        self.release_small();
        if let Some(shared) = &self.budget.shared {
            shared.give_back(self.shared_bytes);
        }
    }
}
