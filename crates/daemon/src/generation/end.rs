//! How a generation ends: its last log line, its final reply, and whether its stream is complete.

use super::Generation;
use super::run::GenerationEnd;
use crate::call::{EndedBy, RequestEnd};
use gypsumchute_units::{Refusal, RefusalReason};

impl Generation {
    /// Logs the outcome, and sends the final reply or marks the stream as complete. A stream that has
    /// already started is aborted otherwise.
    /// `silent_ms` is the time since the last sign of life of the run, if there is one.
    pub(super) fn finish(&mut self, end: GenerationEnd, silent_ms: Option<u64>) {
        let ended_by = self.ended_by(&end);
        let cause = self.end_cause(&end);
        let is_complete = matches!(end, GenerationEnd::Complete);
        let (outcome, reply) = match end {
            GenerationEnd::Complete => ("answered", None),
            GenerationEnd::CallerDisconnected => ("caller_left", None),
            GenerationEnd::TimedOut | GenerationEnd::ShutDown => {
                let refusal = match self.call.possible_runs.endpoints() {
                    0 => self.call.retryable_refusal(RefusalReason::NoRoom, 0),
                    _ => Refusal::may_have_run(RefusalReason::EndpointTimeout),
                };
                ("timed_out", Some(self.call.refuse(refusal)))
            }
            GenerationEnd::Refused(refusal) => {
                (refusal.reason.into(), Some(self.call.refuse(refusal)))
            }
            GenerationEnd::Failed(reply) => ("endpoint_error", Some(reply)),
            GenerationEnd::Forwarded(reply) => ("forwarded", Some(reply)),
        };
        let status = reply.as_ref().map_or(200, |reply| reply.status().as_u16());
        self.call.log_completion(RequestEnd {
            outcome,
            status,
            ended_by,
            cause: &cause,
            endpoint: self.trace.endpoint.as_ref(),
            tries: self.attempts,
            events: self.delivered_events,
            silent_ms,
        });
        // The send fails only if the caller has disconnected, and then no reply is needed.
        match (reply, self.response_sender.head.take()) {
            (Some(reply), Some(head)) => drop(head.send(Err(reply))),
            (None, _) if is_complete => self.response_sender.completion.set_complete(),
            (None, _) | (Some(_), None) => {}
        }
    }

    /// Returns who ended the generation.
    fn ended_by(&self, end: &GenerationEnd) -> EndedBy {
        match end {
            GenerationEnd::CallerDisconnected => EndedBy::Caller,
            GenerationEnd::TimedOut => EndedBy::Deadline,
            GenerationEnd::ShutDown => EndedBy::Shutdown,
            GenerationEnd::Refused(_) => {
                self.last_failure.as_ref().map_or(EndedBy::Vm, |(ended_by, _)| *ended_by)
            }
            GenerationEnd::Forwarded(_) => EndedBy::Peer,
            GenerationEnd::Complete | GenerationEnd::Failed(_) => EndedBy::Endpoint,
        }
    }

    /// Describes why the generation ended without its complete stream, or returns `-`: the last
    /// failure of a run, and why no other run followed.
    fn end_cause(&self, end: &GenerationEnd) -> String {
        let refusal = match end {
            GenerationEnd::Complete | GenerationEnd::CallerDisconnected => return "-".to_owned(),
            GenerationEnd::Refused(refusal) => Some(<&str>::from(refusal.reason)),
            _ => None,
        };
        let no_recovery = self.no_recovery.map(|reason| reason.to_string());
        let failure = self.last_failure.as_ref().map(|(_, cause)| cause.clone());
        let parts = [failure, no_recovery, refusal.map(str::to_owned)];
        let known: Vec<_> = parts.into_iter().flatten().collect();
        if known.is_empty() { "-".to_owned() } else { known.join("; ") }
    }
}
