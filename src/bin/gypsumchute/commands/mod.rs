//! Subcommands, one per module. Each module defines the arguments and an `exec` method that calls
//! the operation and prints the result.

mod bench;
mod check;
mod demo;
mod drain;
mod explain;
mod hash_key;
mod losses;
mod show;
mod status;

use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use std::net::SocketAddr;

/// Parsed subcommand and arguments.
#[derive(Debug, Clone)]
pub enum Command {
    Check(check::Args),
    Show(show::Args),
    HashKey(hash_key::Args),
    Status(status::Args),
    Explain(explain::Args),
    Drain(drain::Args),
    Demo(demo::Args),
    Bench(bench::Args),
    Losses(losses::Args),
}

/// Returns the parser of all subcommands.
pub fn command_parser() -> impl Parser<Command> {
    let check = check::parser().map(Command::Check);
    let show = show::parser().map(Command::Show);
    let hash_key = hash_key::parser().map(Command::HashKey);
    let status = status::parser().map(Command::Status);
    let explain = explain::parser().map(Command::Explain);
    let drain = drain::parser().map(Command::Drain);
    let demo = demo::parser().map(Command::Demo);
    let bench = bench::parser().map(Command::Bench);
    let losses = losses::parser().map(Command::Losses);
    construct!([check, show, hash_key, status, explain, drain, demo, bench, losses])
}

impl Command {
    /// Runs the subcommand.
    pub fn exec(self) -> OpResult<()> {
        match self {
            Command::Check(args) => args.exec(),
            Command::Show(args) => args.exec(),
            Command::HashKey(args) => args.exec(),
            Command::Status(args) => args.exec(),
            Command::Explain(args) => args.exec(),
            Command::Drain(args) => args.exec(),
            Command::Demo(args) => args.exec(),
            Command::Bench(args) => args.exec(),
            Command::Losses(args) => args.exec(),
        }
    }
}

/// Returns the parser of one or more operations addresses.
fn addresses_parser() -> impl Parser<Vec<SocketAddr>> {
    positional::<SocketAddr>("ADDRESS")
        .help("Operations address of a process, such as 127.0.0.1:9101")
        .some("pass at least one operations address, such as 127.0.0.1:9101")
}
