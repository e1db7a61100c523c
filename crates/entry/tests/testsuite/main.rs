//! Tests of the entry process against raw connections.

mod chunked_bodies;
mod verdicts;
