//! Tests of merging, checking and settings: every refusal with its place.

mod errors;
