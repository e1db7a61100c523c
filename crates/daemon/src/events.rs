//! Splits an engine's response stream into server-sent events and checks their order.
//!
//! An engine's stream can end in the middle of an event; only complete events are forwarded to the
//! caller. Nothing is dropped from a stream but comments, and events that the caller has already
//! received from an earlier run: whatever else can't be forwarded makes the stream fail, since its end
//! would not show that something is missing.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Maximum size of an event, and of comments between two events, in bytes. Events hold a few tokens,
/// and each stream may buffer one.
const MAX_EVENT_BYTES: usize = 64 << 10;

quick_error! {
    /// Reason why an event stream cannot continue.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EventError {
        /// The event, or its beginning, exceeds the maximum size, or the comments before it do.
        TooLarge {
            display("event exceeds {} bytes", MAX_EVENT_BYTES)
        }
        /// The event has no id, an id that is not a number, or several ids.
        InvalidId {
            display("received an event without a valid id")
        }
        /// The id of the event does not follow the id of the previous event of the run, or of the last
        /// event that the caller has received.
        Gap(expected: u64, found: u64) {
            display("received event id {}, expected {}", found, expected)
        }
    }
}

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Event id.
    pub id: u64,
    /// Raw bytes of the event, including the blank line that terminates it.
    pub bytes: Bytes,
}

/// Buffers the bytes of one run's stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventReader {
    /// Bytes received after the last complete event.
    pending: BytesMut,
    /// Number of bytes of `pending` that were searched for the end of the event.
    scanned: usize,
    /// Number of bytes of comments after the last event.
    comment_bytes: usize,
    /// Id of the last event.
    last_id: Option<u64>,
}

impl EventReader {
    /// Appends bytes of the stream to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer, if there is one. Comments are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the event exceeds the maximum size or has no valid id, or if its id does not
    /// follow that of the event before: at least one event of the run is missing.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        loop {
            let end = self.find_event_end();
            let length = end.unwrap_or(self.pending.len());
            if self.comment_bytes + length > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            let Some(end) = end else { return Ok(None) };
            let bytes = self.pending.split_to(end).freeze();
            self.scanned = 0;
            if is_comment(&bytes) {
                self.comment_bytes += bytes.len();
                continue;
            }
            let id = parse_event_id(&bytes).ok_or(EventError::InvalidId)?;
            match self.last_id.replace(id) {
                Some(last) if last.checked_add(1) != Some(id) => {
                    return Err(EventError::Gap(last.saturating_add(1), id));
                }
                Some(_) | None => self.comment_bytes = 0,
            }
            return Ok(Some(Event { id, bytes }));
        }
    }

    /// Returns the id of the last event of the run, if there was one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
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

/// Reports whether a block of lines is no event: it has nothing but comments.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

/// Returns the numeric id of an event, if it has exactly one.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next().filter(|_| ids.next().is_none())?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
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
    /// Skip the event: the caller has already received it from an earlier run.
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

    /// Decides whether to forward an event with the given id.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Gap`] if at least one event before this one is missing.
    pub fn advance(&mut self, id: u64) -> Result<EventAction, EventError> {
        match self.last {
            Some(last) if id <= last => Ok(EventAction::Skip),
            Some(last) if id != last + 1 => Err(EventError::Gap(last + 1, id)),
            Some(_) | None => {
                self.last = Some(id);
                Ok(EventAction::Forward)
            }
        }
    }

    /// Reports whether a run whose last event is `last_id` has come as far as the stream: a run that
    /// continues a stream may repeat events, but does not end before those that the caller has.
    pub fn is_reached_by(&self, last_id: Option<u64>) -> bool {
        last_id.is_none_or(|last_id| Some(last_id) >= self.last)
    }
}
