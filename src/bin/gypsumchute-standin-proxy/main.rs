//! `gypsumchute-standin-proxy LISTEN TARGET ADMIN`: runs the fault-injecting proxy as a process.

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

/// Starts the proxy and the admin server.
fn start(args: &Args) -> Result<Proxy, Box<dyn Error + Send + Sync>> {
    let proxy = Proxy::start(args.listen, args.target)?;
    proxy.serve_admin(args.admin)?;
    Ok(proxy)
}

fn main() -> ExitCode {
    let listen = positional::<SocketAddr>("LISTEN").help("Address to listen on");
    let target = positional::<SocketAddr>("TARGET").help("Address to forward to");
    let admin = positional::<SocketAddr>("ADMIN")
        .help("Address of the admin server that sets faults and delays");
    let args = construct!(Args { listen, target, admin }).to_options().run();
    match start(&args) {
        Ok(_proxy) => loop {
            thread::park();
        },
        Err(err) => {
            eprintln!(
                "error: cannot start the proxy on {}: {err}; choose free addresses",
                args.listen
            );
            ExitCode::FAILURE
        }
    }
}
