//! Configuration errors with their place, what is wrong and what to write instead.

use quick_error::quick_error;
use std::fmt;

/// Where in the operators' files something stands. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file's name.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
}

impl Place {
    /// The place of byte `offset` in `text`.
    pub fn at(file: &str, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Place {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub fix: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.fix)
    }
}

quick_error! {
    /// Everything that is wrong with a configuration: it is refused whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigErrors {
        /// The files contradict the schema, each other or themselves.
        Invalid(errors: Vec<ConfigError>) {
            display("{}", lines(errors))
        }
        /// A file or folder can't be read.
        Unreadable(path: String, reason: String) {
            display("{}: can't be read: {}; name a folder with .json files", path, reason)
        }
    }
}

fn lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ConfigError::to_string).collect();
    lines.join("\n")
}
