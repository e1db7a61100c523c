//! A stand-in for a peer VM that misbehaves after a request was offered to it.

use crate::support::Daemon;
use gypsumchute_fleet::messages::datagram::Body;
use gypsumchute_fleet::messages::{Datagram, ForwardAnswer, Heartbeat};
use prost::Message;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Time for which the peer sends heartbeats.
const LIFETIME: Duration = Duration::from_secs(15);
/// Interval between the peer's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// What the peer does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerBehaviour {
    /// Declines each offer.
    Declines,
    /// Closes the connection instead of answering an offer.
    ClosesUnanswered,
    /// Accepts offers, and closes the connection after these bytes of a reply.
    Replies(&'static str),
    /// Accepts offers, reads the requests and never replies, like a VM that has frozen.
    Freezes,
    /// Accepts offers, and freezes after these bytes of a reply.
    FreezesAfter(&'static str),
}

/// A peer VM in the zone of a daemon.
pub struct FaultyPeer {
    received: Arc<AtomicU64>,
}

impl FaultyPeer {
    /// Starts a peer in `zone` that sends heartbeats to `daemon`.
    pub fn start(daemon: &Daemon, zone: &str, behaviour: PeerBehaviour) -> Self {
        let mut attempts = (0..100).filter_map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").ok()?;
            let socket = UdpSocket::bind(listener.local_addr().ok()?).ok()?;
            Some((listener, socket))
        });
        let (listener, socket) = attempts.next().expect("a port that is free for TCP and UDP");
        let address = listener.local_addr().expect("local address");
        let heartbeat = Heartbeat {
            vm: "faulty-peer".to_owned(),
            zone: zone.to_owned(),
            ip: Ipv4Addr::LOCALHOST.into(),
            port: address.port().into(),
            ..Heartbeat::default()
        };
        let datagram = Datagram { body: Some(Body::Heartbeat(heartbeat)) }.encode_to_vec();
        let target = daemon.settings.peers_listen;
        thread::spawn(move || {
            for _ in 0..LIFETIME.as_millis() / HEARTBEAT_INTERVAL.as_millis() {
                // The daemon may have ended.
                let _ = socket.send_to(&datagram, target);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        let received = Arc::new(AtomicU64::new(0));
        let counter = received.clone();
        thread::spawn(move || {
            // Connections stay open, unless the behaviour closes them.
            let mut open = Vec::new();
            for stream in listener.incoming().flatten() {
                open.extend(serve(stream, behaviour, &counter).expect("an offer and a request"));
            }
        });
        FaultyPeer { received }
    }

    /// Returns the number of requests that the peer has received.
    pub fn received_requests(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Answers the offer of one request. Returns the connection if it stays open.
fn serve(
    mut stream: TcpStream,
    behaviour: PeerBehaviour,
    received: &AtomicU64,
) -> io::Result<Option<TcpStream>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut offer = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut offer)?;
    let accepted = match behaviour {
        PeerBehaviour::ClosesUnanswered => return Ok(None),
        PeerBehaviour::Declines => false,
        PeerBehaviour::Replies(_) | PeerBehaviour::Freezes | PeerBehaviour::FreezesAfter(_) => true,
    };
    let answer = ForwardAnswer { accepted }.encode_to_vec();
    stream.write_all(&(answer.len() as u32).to_be_bytes())?;
    stream.write_all(&answer)?;
    if !accepted {
        return Ok(None);
    }
    let mut first_bytes = [0; 16];
    stream.read_exact(&mut first_bytes)?;
    received.fetch_add(1, Ordering::Relaxed);
    match behaviour {
        PeerBehaviour::Replies(reply) => {
            stream.write_all(reply.as_bytes())?;
            Ok(None)
        }
        PeerBehaviour::FreezesAfter(reply) => {
            stream.write_all(reply.as_bytes())?;
            Ok(Some(stream))
        }
        _ => Ok(Some(stream)),
    }
}
