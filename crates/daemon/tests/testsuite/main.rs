//! Tests by feature.
