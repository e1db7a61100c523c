//! Tests of the entry process against raw connections.
