//! Tells peers at which software version a stream began, and asks them when a caller resumes it.
//!
//! In a small fleet, every VM keeps the records of all streams. In a large fleet, some VMs of the
//! zone keep them, chosen by rendezvous hashing, and queries to other zones are relayed there. A
//! record costs one small datagram to each of these VMs, so the traffic of a VM grows with its own
//! streams and not with the size of the fleet.
//! VMs that join later are sent the records by [`crate::record_passing`].

use crate::context::Context;
use crate::gossip::send_datagram;
use gypsumchute_fleet::messages::{StreamQuery, StreamRecord, datagram::Body};
use gypsumchute_routing::stream_versions::{ServiceVersion, StreamKey, StreamVersion};
use gypsumchute_units::Fingerprint;
use gypsumchute_units::time::boot_now;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Number of times that a query is sent: a datagram may be lost.
const QUERY_COUNT: usize = 2;
/// Time after a query in which a record may arrive, in milliseconds. It is several times the round
/// trip between zones, including a relay.
const QUERY_WAIT_MS: u64 = 85;

/// A message on a stream that is to be sent to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamMessage {
    /// The stream began at this version.
    Record(StreamVersion),
    /// A caller resumes this stream; who has a record of it?
    Query(StreamKey),
}

impl Context {
    /// Records at which version a stream began, here and at peers.
    pub fn announce_stream(&self, begun: StreamVersion) {
        self.with(|state| state.stream_versions.record_own(boot_now(), begun));
        self.queue_stream_message(StreamMessage::Record(begun));
    }

    /// Asks peers at which version a stream began. Returns `None` if no record arrives in time.
    pub async fn ask_for_stream(&self, stream: StreamKey) -> Option<StreamVersion> {
        if !self.with(|state| state.members.has_live_peers(boot_now())) {
            return None;
        }
        let mut changes = self.changes();
        for _ in 0..QUERY_COUNT {
            self.queue_stream_message(StreamMessage::Query(stream));
            let deadline_ms = boot_now() + QUERY_WAIT_MS;
            loop {
                let now = boot_now();
                let known = self.with(|state| state.stream_versions.get(now, stream));
                if known.is_some() {
                    return known;
                }
                let left = Duration::from_millis(now.until(deadline_ms));
                if left.is_zero() || timeout(left, changes.changed()).await.is_err() {
                    break;
                }
            }
        }
        None
    }
}

/// Sends the pending messages on streams to the VMs that keep the records. Runs until the process
/// exits.
pub async fn send_messages(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        context.stream_messages_due.notified().await;
        for message in context.take_pending_stream_messages() {
            match message {
                StreamMessage::Record(begun) => {
                    send_record(&context, &socket, begun).await;
                }
                StreamMessage::Query(stream) => send_query(&context, &socket, stream).await,
            }
        }
    }
}

/// Sends a record to the VMs that keep it, and returns their number.
pub async fn send_record(context: &Context, socket: &UdpSocket, begun: StreamVersion) -> usize {
    let key = begun.stream.0.to_string();
    let targets = context.with(|state| state.members.stream_record_addresses(boot_now(), &key));
    send_datagram(context, socket, Body::StreamRecord(encode_record(begun)), &targets).await;
    targets.len()
}

async fn send_query(context: &Context, socket: &UdpSocket, stream: StreamKey) {
    let now = boot_now();
    let key = stream.0.to_string();
    let (me, targets, relays) = context.with(|state| {
        let members = &state.members;
        let targets = members.stream_query_addresses(now, &key);
        (members.local_vm().address, targets, members.stream_relay_addresses(now))
    });
    let query = StreamQuery {
        stream: stream.0.0,
        ip: (*me.ip()).into(),
        port: me.port().into(),
        relay: false,
    };
    send_datagram(context, socket, Body::StreamQuery(query), &targets).await;
    let query = StreamQuery { relay: true, ..query };
    send_datagram(context, socket, Body::StreamQuery(query), &relays).await;
}

/// Keeps the record that a peer sent.
pub fn apply_stream_record(context: &Context, record: StreamRecord) {
    let begun = StreamVersion {
        stream: StreamKey(Fingerprint(record.stream)),
        version: ServiceVersion(Fingerprint(record.version)),
        until_ms: boot_now() + record.keep_ms,
    };
    context.with(|state| state.stream_versions.record_of_peer(boot_now(), begun));
    context.notify_changed();
}

/// Sends the record that a peer asks for, if there is one here, and passes the query on within the
/// zone if the peer is in another zone.
pub async fn answer_query(context: &Context, socket: &UdpSocket, query: StreamQuery) {
    let now = boot_now();
    let stream = StreamKey(Fingerprint(query.stream));
    let Ok(port) = u16::try_from(query.port) else { return };
    let asker = SocketAddrV4::new(Ipv4Addr::from(query.ip), port);
    if let Some(known) = context.with(|state| state.stream_versions.get(now, stream)) {
        send_datagram(context, socket, Body::StreamRecord(encode_record(known)), &[asker]).await;
    } else if query.relay {
        let key = stream.0.to_string();
        let targets = context.with(|state| state.members.stream_query_addresses(now, &key));
        let query = StreamQuery { relay: false, ..query };
        send_datagram(context, socket, Body::StreamQuery(query), &targets).await;
    }
}

/// Encodes a record. It lasts at the receiver for as long as here.
pub fn encode_record(begun: StreamVersion) -> StreamRecord {
    StreamRecord {
        stream: begun.stream.0.0,
        version: begun.version.0.0,
        keep_ms: boot_now().until(begun.until_ms),
    }
}
