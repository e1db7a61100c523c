//! Structured logs and metrics, the same for every process.

pub mod bounded;
pub mod logs;
pub mod metrics;

pub use metrics::Metrics;
