//! Tests of the control process against raw connections.

mod endless_responses;
