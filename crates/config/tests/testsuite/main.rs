//! Tests of merging and validating a configuration.

mod errors;
