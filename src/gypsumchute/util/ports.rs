//! Allocation of free loopback ports.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// First port of the range; the range lies below the ephemeral ports that the kernel assigns to
/// outgoing connections.
const FIRST_PORT: u32 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports tried by processes with consecutive process ids, so that
/// processes that are started one after the other try different ports.
const PROCESS_STRIDE: u32 = 1_009;

/// Number of ports that this process has tried. All threads share the counter, so that no port is
/// allocated twice before the intended process has bound the port.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is currently free for both TCP and UDP.
///
/// # Errors
///
/// Returns an error if no port of the range is free.
pub fn free_address() -> io::Result<SocketAddr> {
    for _ in 0..PORT_COUNT {
        let attempt = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = process::id().wrapping_mul(PROCESS_STRIDE).wrapping_add(attempt) % PORT_COUNT;
        let port = (FIRST_PORT + offset) as u16;
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
