//! `gypsumchute-standin-platform LISTEN`: runs the stand-in for the platform as a process.

use bpaf::{Parser, construct, positional};
use gypsumchute_standins::platform::Platform;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

#[derive(Debug, Clone)]
struct Args {
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let listen = positional::<SocketAddr>("LISTEN").help("Address to listen on");
    let args = construct!(Args { listen }).to_options().run();
    match Platform::start(args.listen) {
        Ok(_platform) => loop {
            thread::park();
        },
        Err(err) => {
            eprintln!("error: cannot listen on {}: {err}; choose a free address", args.listen);
            ExitCode::FAILURE
        }
    }
}
