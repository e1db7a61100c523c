//! Tests of what a proxy leaves open. There is one test in this process, since it counts the open
//! files of the process.

use gypsumchute_standins::proxy::{Fault, Proxy};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of connections through the proxy.
const CONNECTIONS: usize = 50;

fn open_files() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("open files").count()
}

/// Waits until the process has at most `count` open files.
fn wait_for_open_files(count: usize, when: &str) {
    let started = Instant::now();
    while open_files() > count {
        assert!(started.elapsed() < Duration::from_secs(5), "{} files open {when}", open_files());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a server that answers one byte on each connection with the same byte.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let mut byte = [0];
            stream.read_exact(&mut byte).and_then(|()| stream.write_all(&byte)).ok();
        }
    });
    address
}

/// Guards against a soak of many seeds that runs out of sockets, because the connections through its
/// proxies stay open.
#[test]
fn a_proxy_keeps_no_closed_connection_and_leaves_nothing_open() {
    let upstream = start_echo_server();
    let before = open_files();
    let proxy = Proxy::start("127.0.0.1:0".parse().expect("address"), upstream).expect("proxy");
    let running = open_files();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(proxy.address()).expect("connection");
        let mut byte = [7];
        stream.write_all(&byte).and_then(|()| stream.read_exact(&mut byte)).expect("echo");
    }
    wait_for_open_files(running, "after all connections were closed");
    proxy.set_fault(Fault::Stall);
    let stalled: Vec<_> = (0..CONNECTIONS).map(|_| TcpStream::connect(proxy.address())).collect();
    stalled.iter().flatten().for_each(|mut stream| stream.write_all(&[7]).expect("sent"));
    thread::sleep(Duration::from_millis(100));
    drop(proxy);
    drop(stalled);
    wait_for_open_files(before, "after the proxy was dropped");
}
