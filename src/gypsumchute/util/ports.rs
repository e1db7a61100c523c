//! Free ports of this machine.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports handed out; below those that the kernel gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;
/// Ports between the first ones of two processes that start one after the other.
const STRIDE: u32 = 1_009;

/// How many ports this process has tried: shared by its threads, so that none is handed out twice
/// before the process it is meant for has bound it.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// A loopback address whose port is free for TCP and UDP at the moment.
///
/// # Errors
///
/// None was found.
pub fn free_address() -> io::Result<SocketAddr> {
    for _ in 0..PORTS {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = process::id().wrapping_mul(STRIDE).wrapping_add(tried) % PORTS;
        let port = (FIRST_PORT + offset) as u16;
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
