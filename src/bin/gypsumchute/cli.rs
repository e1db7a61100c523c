//! Command-line arguments of the `gypsumchute` command.

use crate::commands::{Command, command_parser};
use bpaf::Parser;

/// Parses the command-line arguments. Prints help or a usage error and exits if there is no command
/// to run.
pub fn parse() -> Command {
    command_parser()
        .to_options()
        .descr("Operates gypsumchute, a serving system for generations of unknown length.")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}
