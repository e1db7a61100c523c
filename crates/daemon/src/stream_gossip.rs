//! Tells peers at which software version a stream began, and asks them when a caller resumes it.
//!
//! In a small fleet, every VM keeps the records of all streams. In a large fleet, some VMs of the
//! zone keep them, chosen by rendezvous hashing, and queries to other zones are relayed there. A
//! record costs one small datagram to each of these VMs, so the traffic of a VM grows with its own
//! streams and not with the size of the fleet.
//!
//! VMs come and go while a stream may be resumed. A VM that joins, or was out of touch, is sent the
//! records that it should keep, and a VM that shuts down passes on all that it has.

use crate::context::Context;
use crate::gossip::send_datagram;
use gypsumchute_fleet::PeerAddress;
use gypsumchute_fleet::messages::{StreamQuery, StreamRecord, datagram::Body};
use gypsumchute_routing::stream_versions::{ServiceVersion, StreamKey, StreamVersion};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, Fingerprint, VmId};
use log::info;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Number of times that a query is sent: a datagram may be lost.
const QUERY_COUNT: usize = 2;
/// Time after a query in which a record may arrive, in milliseconds. It is several times the round
/// trip between zones, including a relay.
const QUERY_WAIT_MS: u64 = 85;
/// Minimum interval between two times that all records are passed on to the same VM, in milliseconds. A VM
/// that has started says so in several heartbeats.
const PASS_ON_INTERVAL_MS: u64 = 1_000;
/// Number of datagrams with old records that are sent at once. What arrives faster than the receiver reads
/// is lost.
const PASS_ON_BATCH: usize = 32;
/// Pause after such a batch, in milliseconds.
const PASS_ON_PAUSE_MS: u64 = 5;

/// A message on a stream that is to be sent to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamMessage {
    /// The stream began at this version.
    Record(StreamVersion),
    /// A caller resumes this stream; who has a record of it?
    Query(StreamKey),
}

/// Receivers of a record that is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receivers {
    /// One VM.
    Vm(SocketAddrV4),
    /// The VMs that keep the record, when it is sent.
    Keepers,
}

/// Records that are to be passed on to VMs which may lack them.
#[derive(Debug, Default)]
pub struct RecordsToPassOn {
    pending: RefCell<VecDeque<(StreamVersion, Receivers)>>,
    /// Signals that records are pending.
    due: Notify,
    /// When records were last passed on to each VM.
    last_passed_ms: RefCell<BTreeMap<VmId, BootMs>>,
}

impl RecordsToPassOn {
    fn push(&self, records: impl Iterator<Item = (StreamVersion, Receivers)>) {
        self.pending.borrow_mut().extend(records);
        self.due.notify_one();
    }

    /// Reports whether the last time that records were passed on to `vm` is long enough ago, and
    /// records that they are now.
    fn begin_for(&self, now: BootMs, vm: &VmId) -> bool {
        let mut last_passed_ms = self.last_passed_ms.borrow_mut();
        last_passed_ms.retain(|_, passed_ms| now.since(*passed_ms) < PASS_ON_INTERVAL_MS);
        let is_due = !last_passed_ms.contains_key(vm);
        if is_due {
            last_passed_ms.insert(vm.clone(), now);
        }
        is_due
    }
}

impl Context {
    /// Sends the records that `newcomer` should keep, and that this VM is to pass on, to this VM. It has
    /// started, or was out of touch.
    pub fn pass_records_to(&self, newcomer: &PeerAddress) {
        let now = boot_now();
        if !self.records_to_pass_on.begin_for(now, &newcomer.vm) {
            return;
        }
        let records: Vec<_> = self.with(|state| {
            let known = state.stream_versions.records_since(now, BootMs::default());
            let passed_on = known.filter(|known| {
                let (key, is_served_here) =
                    (known.begun.stream.0.to_string(), known.is_served_here);
                state.members.should_pass_on_record(now, &key, newcomer, is_served_here)
            });
            passed_on.map(|known| known.begun).collect()
        });
        if records.is_empty() {
            return;
        }
        info!(vm = newcomer.vm.as_str(), zone = newcomer.zone.as_str(), records = records.len();
            "records of streams passed on to a VM that may lack them");
        let receiver = Receivers::Vm(newcomer.address);
        self.records_to_pass_on.push(records.into_iter().map(|begun| (begun, receiver)));
    }

    /// Sends the records that this VM has recorded at `since_ms` or later to the VMs that keep them
    /// without this one.
    pub fn pass_on_records_since(&self, since_ms: BootMs) {
        let records: Vec<_> = self.with(|state| {
            let known = state.stream_versions.records_since(boot_now(), since_ms);
            known.map(|known| (known.begun, Receivers::Keepers)).collect()
        });
        info!(records = records.len(); "records of streams passed on before the shutdown");
        self.records_to_pass_on.push(records.into_iter());
    }

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

/// Sends the records that are to be passed on, at a limited pace. Runs until the process exits.
pub async fn send_records_to_pass_on(context: Rc<Context>, socket: Rc<UdpSocket>) {
    loop {
        context.records_to_pass_on.due.notified().await;
        while send_pending_records(&context, &socket, PASS_ON_BATCH).await {
            sleep(Duration::from_millis(PASS_ON_PAUSE_MS)).await;
        }
    }
}

/// Sends pending records in at least `datagrams` datagrams. Returns whether more are pending.
pub async fn send_pending_records(context: &Context, socket: &UdpSocket, datagrams: usize) -> bool {
    let mut sent = 0;
    while sent < datagrams {
        let next = context.records_to_pass_on.pending.borrow_mut().pop_front();
        let Some((begun, receivers)) = next else { return false };
        sent += match receivers {
            Receivers::Vm(address) => {
                let record = Body::StreamRecord(encode_record(begun));
                send_datagram(context, socket, record, &[address]).await;
                1
            }
            Receivers::Keepers => send_record(context, socket, begun).await,
        };
    }
    true
}

/// Sends a record to the VMs that keep it, and returns their number.
async fn send_record(context: &Context, socket: &UdpSocket, begun: StreamVersion) -> usize {
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

fn encode_record(begun: StreamVersion) -> StreamRecord {
    StreamRecord {
        stream: begun.stream.0.0,
        version: begun.version.0.0,
        keep_ms: boot_now().until(begun.until_ms),
    }
}
