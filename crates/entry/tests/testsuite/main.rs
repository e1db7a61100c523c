//! Tests of the entry process against raw connections.

mod chunked_bodies;
mod endless_responses;
mod support;
mod verdicts;
