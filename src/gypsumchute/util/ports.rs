//! Free ports of this machine.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const TRIES: usize = 100;

/// A loopback address whose port is free for TCP and UDP at the moment.
///
/// # Errors
///
/// None was found.
pub fn free_address() -> io::Result<SocketAddr> {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    for _ in 0..TRIES {
        let address = TcpListener::bind(any)?.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
