//! Configuration errors: each has a source location, a problem and a suggested fix.

use quick_error::quick_error;
use std::fmt;

/// A position in a configuration or settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number in characters, starting at 1.
    pub column: usize,
}

impl SourceLocation {
    /// Returns the position of byte `offset` in `text`, which is the content of `file`.
    pub fn at(file: &str, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        SourceLocation {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One error in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// Position of the error.
    pub location: SourceLocation,
    /// Description of the error.
    pub problem: String,
    /// Suggested correction.
    pub fix: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.location, self.problem, self.fix)
    }
}

quick_error! {
    /// Error returned when a configuration or a settings file is rejected. A configuration with any
    /// error is rejected as a whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigErrors {
        /// The files contain syntax errors, schema violations or contradictions.
        Invalid(errors: Vec<ConfigError>) {
            display("{}", join_lines(errors))
        }
        /// A file or folder can't be read, or a folder contains no configuration file.
        Unreadable(path: String, reason: String) {
            display("{}: can't be read: {}; pass a folder that contains .json files", path, reason)
        }
    }
}

fn join_lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    lines.join("\n")
}
