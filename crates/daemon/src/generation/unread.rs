//! Keeps what the stream of a run has brought while another run was to take its place.

use super::run::RunSignal;
use super::{MAX_BUFFERED_BYTES, MAX_BUFFERED_EVENTS};
use crate::events::{EventAction, EventError, EventSequence};
use std::collections::VecDeque;

/// What the stream of a run has brought and was not handled yet, oldest first.
#[derive(Default)]
pub(super) struct UnreadSignals {
    signals: VecDeque<RunSignal>,
    event_bytes: usize,
}

impl UnreadSignals {
    /// Reports whether nothing is unread.
    pub(super) fn is_empty(&self) -> bool {
        self.signals.is_empty()
    }

    /// Reports whether there is room for another event.
    pub(super) fn has_room(&self) -> bool {
        self.signals.len() < MAX_BUFFERED_EVENTS && self.event_bytes < MAX_BUFFERED_BYTES
    }

    /// Adds `signal` as the newest one.
    pub(super) fn push(&mut self, signal: RunSignal) {
        self.event_bytes += signal.event_bytes();
        self.signals.push_back(signal);
    }

    /// Removes the oldest signal.
    pub(super) fn pop(&mut self) -> Option<RunSignal> {
        let signal = self.signals.pop_front()?;
        self.event_bytes -= signal.event_bytes();
        Some(signal)
    }

    /// Advances `sequence` over the events, and returns how many of them would be forwarded.
    pub(super) fn advance(&self, sequence: &mut EventSequence) -> Result<u64, EventError> {
        let mut forwarded = 0;
        for signal in &self.signals {
            if let RunSignal::Event(event) = signal
                && sequence.advance(event.id)? == EventAction::Forward
            {
                forwarded += 1;
            }
        }
        Ok(forwarded)
    }
}

impl RunSignal {
    /// Returns the size of the event, or 0 if this is none.
    fn event_bytes(&self) -> usize {
        match self {
            RunSignal::Event(event) => event.bytes.len(),
            RunSignal::Ended | RunSignal::Failed(_) => 0,
        }
    }
}
