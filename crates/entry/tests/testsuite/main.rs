//! Tests of the entry process against raw connections.

mod verdicts;
