//! `gypsumchute-standin-service LISTEN [SPEC]`: runs the stand-in for a plain service as a process.

use bpaf::{Parser, construct, positional};
use gypsumchute_standins::service::{Service, ServiceSpec};
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
        .help("Service configuration as a JSON object")
        .fallback("{}".into());
    let args = construct!(Args { listen, spec }).to_options().run();
    let spec: ServiceSpec = match serde_json::from_str(&args.spec) {
        Ok(spec) => spec,
        Err(err) => {
            eprintln!("error: invalid service spec `{}`: {err}; pass a JSON object", args.spec);
            return ExitCode::FAILURE;
        }
    };
    match Service::start(args.listen, spec) {
        Ok(_service) => loop {
            thread::park();
        },
        Err(err) => {
            eprintln!("error: cannot listen on {}: {err}; choose a free address", args.listen);
            ExitCode::FAILURE
        }
    }
}
