//! Server-sent events, cut out of an engine's stream as they come.
//!
//! An engine may break off in the middle of an event; only whole events go on to the caller.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Largest event that is taken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

quick_error! {
    /// Why a stream can't go on.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EventError {
        /// An event has no end.
        TooLarge {
            display("an event of more than {} bytes", MAX_EVENT_BYTES)
        }
        /// An event that follows on none that came before.
        Gap(expected: u64, found: u64) {
            display("event {} came where {} was expected", found, expected)
        }
    }
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventReader {
    pending: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    ///
    /// [`EventError::TooLarge`] if an event has no end.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.find_event_end() else {
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(EventError::TooLarge),
                false => Ok(None),
            };
        };
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = 0;
        Ok(Some(Event { id: parse_event_id(&bytes), bytes }))
    }

    /// Whether some bytes of an event came without its end.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Where the first blank line ends.
    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        let rest = &self.pending[start..];
        let ends = [&b"\n\n"[..], &b"\n\r\n"[..]].into_iter().filter_map(|blank| {
            let at = rest.windows(blank.len()).position(|window| window == blank)?;
            Some(start + at + blank.len())
        });
        let end = ends.min();
        self.scanned = self.pending.len();
        end
    }
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Lets each event pass once and in order, also when a stream goes on at another engine.
#[derive(Debug, Default)]
pub struct EventSequence {
    last: Option<u64>,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// It is the next one.
    Forward,
    /// The caller has it already.
    Skip,
}

impl EventSequence {
    /// Begins after event `last`, if the caller has some already.
    pub fn resume_after(last: Option<u64>) -> Self {
        EventSequence { last }
    }

    /// The last event that passed.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Decides on an event with `id`. Events without one always pass.
    ///
    /// # Errors
    ///
    /// [`EventError::Gap`] if an event is missing before it.
    pub fn advance(&mut self, id: Option<u64>) -> Result<EventAction, EventError> {
        match (self.last, id) {
            (_, None) => Ok(EventAction::Forward),
            (Some(last), Some(id)) if id <= last => Ok(EventAction::Skip),
            (Some(last), Some(id)) if id != last + 1 => Err(EventError::Gap(last + 1, id)),
            (_, Some(id)) => {
                self.last = Some(id);
                Ok(EventAction::Forward)
            }
        }
    }
}
