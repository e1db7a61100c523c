//! Records of streams that are passed on as VMs come and go, in a zone of a large fleet.

use crate::support::{TestEnv, eventually, generation_request};
use gypsumchute_fleet::messages::datagram::Body;
use gypsumchute_fleet::messages::{Datagram, Heartbeat};
use gypsumchute_platform_standin::{Behaviour, Endpoint};
use prost::Message;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of VMs beside the daemon: more than fit into a full mesh.
const PEERS: usize = 20;
/// Number of streams.
const STREAMS: usize = 60;

/// Number of records that a VM has received, by stream.
type Received = Arc<Mutex<BTreeMap<u64, u32>>>;

/// A peer VM that sends heartbeats and counts the records of streams that it receives.
struct Peer {
    received: Received,
    stopped: Arc<AtomicBool>,
}

impl Peer {
    /// Starts a peer in the zone of the daemon at `target`.
    fn start(name: &str, target: SocketAddrV4, starting: bool) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("free port");
        let port = socket.local_addr().expect("local address").port();
        let heartbeat = Heartbeat {
            vm: name.to_owned(),
            zone: "a".to_owned(),
            ip: Ipv4Addr::LOCALHOST.into(),
            port: port.into(),
            starting,
            ..Heartbeat::default()
        };
        let heartbeat = Datagram { body: Some(Body::Heartbeat(heartbeat)) }.encode_to_vec();
        let peer = Peer { received: Arc::default(), stopped: Arc::default() };
        let (received, stopped) = (peer.received.clone(), peer.stopped.clone());
        socket.set_read_timeout(Some(Duration::from_millis(50))).expect("timeout");
        thread::spawn(move || {
            let mut buffer = vec![0; 64 << 10];
            while !stopped.load(Ordering::Relaxed) {
                // The daemon may have ended.
                let _ = socket.send_to(&heartbeat, target);
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    let datagram = Datagram::decode(&buffer[..length]).expect("valid datagram");
                    if let Some(Body::StreamRecord(record)) = datagram.body {
                        *received.lock().expect("mutex").entry(record.stream).or_default() += 1;
                    }
                }
            }
        });
        peer
    }

    /// Returns the streams whose records the peer has received.
    fn streams(&self) -> Vec<u64> {
        self.received.lock().expect("mutex").keys().copied().collect()
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Starts a daemon in a zone with many other VMs, and begins streams there.
fn start() -> (TestEnv, Vec<Endpoint>, Vec<Peer>) {
    let (env, engines) = TestEnv::start(|state| {
        let brief = Behaviour::Streams { events: 3, event_interval_ms: 1 };
        vec![(Endpoint::start(state, "engine-1", brief), "engines", "a")]
    });
    let target = env.daemon.settings.peers_listen;
    let peers: Vec<_> =
        (0..PEERS).map(|n| Peer::start(&format!("peer-{n:02}"), target, false)).collect();
    thread::sleep(Duration::from_millis(600));
    for n in 0..STREAMS {
        let id = format!("stream-{n}");
        let reply = generation_request("briefs", &id).send_and_read(env.daemon.address());
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    eventually("the records of all streams", || records(&peers).len() == STREAMS);
    (env, engines, peers)
}

/// Returns the number of peers that have received the record of each stream.
fn records(peers: &[Peer]) -> BTreeMap<u64, usize> {
    let mut records = BTreeMap::new();
    for stream in peers.iter().flat_map(Peer::streams) {
        *records.entry(stream).or_default() += 1;
    }
    records
}

/// Guards against a VM that restarts, too fast to be missed, and lacks the records that it should keep.
#[test]
fn a_vm_that_restarts_is_sent_the_records_that_it_should_keep() {
    let (env, _engines, mut peers) = start();
    let kept = records(&peers);
    assert!(kept.values().all(|count| *count == 2), "{kept:?}");
    let (restarted, name) = (peers.remove(7), "peer-07");
    let lost = restarted.streams();
    assert!(!lost.is_empty(), "the VM kept some records");
    drop(restarted);
    let replacement = Peer::start(name, env.daemon.settings.peers_listen, true);
    eventually("the records of the VM", || replacement.streams() == lost);
}

/// Guards against records that end with the VM that has them, although its stop is planned.
#[test]
fn a_vm_that_stops_passes_on_its_records() {
    let (mut env, _engines, mut peers) = start();
    // Two VMs that kept records are lost at once.
    peers.drain(..PEERS / 2).for_each(drop);
    peers.iter().for_each(|peer| peer.received.lock().expect("mutex").clear());
    thread::sleep(Duration::from_millis(2_500));
    env.daemon.stop();
    eventually("the records of all streams", || {
        let passed_on = records(&peers);
        passed_on.len() == STREAMS && passed_on.values().all(|count| *count >= 2)
    });
}
