//! One module a subcommand: its arguments, and an `exec` that calls the operation.

mod bench;
mod check;
mod demo;
mod drain;
mod explain;
mod hash_key;
mod show;
mod status;

use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use std::net::SocketAddr;

/// A subcommand with its arguments.
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
}

/// The parser of all subcommands.
pub fn command() -> impl Parser<Command> {
    let check = check::cli().map(Command::Check);
    let show = show::cli().map(Command::Show);
    let hash_key = hash_key::cli().map(Command::HashKey);
    let status = status::cli().map(Command::Status);
    let explain = explain::cli().map(Command::Explain);
    let drain = drain::cli().map(Command::Drain);
    let demo = demo::cli().map(Command::Demo);
    let bench = bench::cli().map(Command::Bench);
    construct!([check, show, hash_key, status, explain, drain, demo, bench])
}

impl Command {
    /// Does what it says.
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
        }
    }
}

/// Operators' ports, one or more.
fn addresses() -> impl Parser<Vec<SocketAddr>> {
    positional::<SocketAddr>("ADDRESS")
        .help("operators' port of a process, as 127.0.0.1:9101")
        .some("name at least one operators' port")
}
