//! Errors of operations. Each message states what failed, the reason, and what the user can do.

use gypsumchute_config::ConfigErrors;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// Error of an operation.
    #[derive(Debug)]
    pub enum OpError {
        /// The configuration or a settings file is invalid.
        Config(err: ConfigErrors) {
            from()
            display("{}", err)
        }
        /// A step of the operation failed.
        Failed(what: String, reason: String, advice: String) {
            display("{}: {}; {}", what, reason, advice)
        }
        /// Reading or writing a file, a socket or a standard stream failed.
        Io(err: io::Error) {
            from()
            display("I/O error: {}; check the paths and addresses in the command", err)
        }
    }
}

impl OpError {
    /// Creates an error with the message `what: reason; advice`.
    pub fn failed(
        what: impl Into<String>,
        reason: impl ToString,
        advice: impl Into<String>,
    ) -> Self {
        OpError::Failed(what.into(), reason.to_string(), advice.into())
    }
}

/// Result of an operation.
pub type OpResult<T> = Result<T, OpError>;
