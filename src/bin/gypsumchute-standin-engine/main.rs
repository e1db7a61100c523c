//! Stand-in for a model engine, as a process.

use bpaf::{Parser, construct, positional};
use gypsumchute_standins::engine::{CrashMode, Engine, EngineSpec};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

#[derive(Debug, Clone)]
struct Args {
    listen: SocketAddr,
    spec: String,
}

fn main() -> ExitCode {
    let listen = positional::<SocketAddr>("LISTEN").help("where to listen");
    let spec = positional::<String>("SPEC").help("what kind it is, as JSON").fallback("{}".into());
    let args = construct!(Args { listen, spec }).to_options().run();
    let spec: EngineSpec = match serde_json::from_str(&args.spec) {
        Ok(spec) => spec,
        Err(err) => {
            eprintln!("error: {}: {err}; write an object of engine fields", args.spec);
            return ExitCode::FAILURE;
        }
    };
    match Engine::start(args.listen, spec, CrashMode::ExitProcess) {
        Ok(_running) => loop {
            thread::park();
        },
        Err(err) => {
            eprintln!("error: {}: {err}; name a free address", args.listen);
            ExitCode::FAILURE
        }
    }
}
