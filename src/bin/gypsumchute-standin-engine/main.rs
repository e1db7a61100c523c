//! `gypsumchute-standin-engine LISTEN [SPEC]`: runs the stand-in for a model engine as a process.

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
    let listen = positional::<SocketAddr>("LISTEN").help("Address to listen on");
    let spec = positional::<String>("SPEC")
        .help("Engine configuration as a JSON object")
        .fallback("{}".into());
    let args = construct!(Args { listen, spec }).to_options().run();
    let spec: EngineSpec = match serde_json::from_str(&args.spec) {
        Ok(spec) => spec,
        Err(err) => {
            eprintln!("error: invalid engine spec `{}`: {err}; pass a JSON object", args.spec);
            return ExitCode::FAILURE;
        }
    };
    match Engine::start(args.listen, spec, CrashMode::ExitProcess) {
        Ok(_engine) => loop {
            thread::park();
        },
        Err(err) => {
            eprintln!("error: cannot listen on {}: {err}; choose a free address", args.listen);
            ExitCode::FAILURE
        }
    }
}
