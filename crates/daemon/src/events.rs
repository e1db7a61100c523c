//! Splits an engine's response stream into server-sent events and checks their order.
//!
//! An engine's stream can end in the middle of an event; only complete events are forwarded to the
//! caller.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Maximum size of an event, in bytes. Events hold a few tokens, and each stream may buffer one.
const MAX_EVENT_BYTES: usize = 64 << 10;

quick_error! {
    /// Reason why an event stream cannot continue.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EventError {
        /// The event, or its beginning, exceeds the maximum size.
        TooLarge {
            display("event exceeds {} bytes", MAX_EVENT_BYTES)
        }
        /// The id of the event does not follow the id of the previous event.
        Gap(expected: u64, found: u64) {
            display("received event id {}, expected {}", found, expected)
        }
    }
}

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Event id, if the event has one.
    pub id: Option<u64>,
    /// Raw bytes of the event, including the blank line that terminates it.
    pub bytes: Bytes,
}

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventReader {
    /// Bytes received after the last complete event.
    pending: BytesMut,
    /// Number of bytes of `pending` that were searched for the end of the event.
    scanned: usize,
}

impl EventReader {
    /// Appends bytes of the stream to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::TooLarge`] if the event exceeds the maximum size.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let end = self.find_event_end();
        if end.unwrap_or(self.pending.len()) > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        let Some(end) = end else { return Ok(None) };
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = 0;
        Ok(Some(Event { id: parse_event_id(&bytes), bytes }))
    }

    /// Reports whether the buffer holds the beginning of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the offset after the first blank line, if the buffer contains one.
    fn find_event_end(&mut self) -> Option<usize> {
        // The end of an event is up to 3 bytes long and may begin in bytes searched before.
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

/// Returns the numeric id of an event, if it has one.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Ensures that each event is forwarded once and in order, also across several engines.
#[derive(Debug, Default)]
pub struct EventSequence {
    /// Id of the last event that was forwarded.
    last: Option<u64>,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// Forward the event to the caller: it is the next one.
    Forward,
    /// Skip the event: the caller has already received it, or it is none, such as a comment.
    Skip,
}

impl EventSequence {
    /// Starts the sequence after event `last`, or from the beginning if `last` is `None`.
    pub fn resume_after(last: Option<u64>) -> Self {
        EventSequence { last }
    }

    /// Returns the id of the last event that was forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Decides whether to forward an event with the given id. Engines number all events, so what has
    /// no id is not forwarded.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Gap`] if at least one event before this one is missing.
    pub fn advance(&mut self, id: Option<u64>) -> Result<EventAction, EventError> {
        match (self.last, id) {
            (_, None) => Ok(EventAction::Skip),
            (Some(last), Some(id)) if id <= last => Ok(EventAction::Skip),
            (Some(last), Some(id)) if id != last + 1 => Err(EventError::Gap(last + 1, id)),
            (_, Some(id)) => {
                self.last = Some(id);
                Ok(EventAction::Forward)
            }
        }
    }
}
