//! Arguments of the operators' command.

use crate::commands::{Command, command};
use bpaf::Parser;

/// Parses the arguments, or prints help or what is wrong with them and exits.
pub fn parse() -> Command {
    command()
        .to_options()
        .descr("Operates gypsumchute, a serving system for generations of unknown length.")
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}
