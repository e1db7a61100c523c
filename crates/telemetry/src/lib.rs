//! Structured logs and metrics, shared by all processes.

pub mod bounded;
pub mod logs;
pub mod metrics;

pub use metrics::Metrics;
