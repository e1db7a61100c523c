//! Fault-injecting proxy, as a process.

use bpaf::{Parser, construct, positional};
use gypsumchute_standins::proxy::Proxy;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

#[derive(Debug, Clone)]
struct Args {
    listen: SocketAddr,
    target: SocketAddr,
    admin: SocketAddr,
}

fn start(args: &Args) -> Result<Proxy, Box<dyn Error + Send + Sync>> {
    let proxy = Proxy::start(args.listen, args.target)?;
    proxy.serve_admin(args.admin)?;
    Ok(proxy)
}

fn main() -> ExitCode {
    let listen = positional::<SocketAddr>("LISTEN").help("where to listen");
    let target = positional::<SocketAddr>("TARGET").help("where to pass on to");
    let admin = positional::<SocketAddr>("ADMIN").help("where faults are ordered");
    let args = construct!(Args { listen, target, admin }).to_options().run();
    match start(&args) {
        Ok(_running) => loop {
            thread::park();
        },
        Err(err) => {
            eprintln!("error: {}: {err}; name free addresses", args.listen);
            ExitCode::FAILURE
        }
    }
}
