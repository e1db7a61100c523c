//! Exchanges datagrams with the control processes of other VMs, and transfers the configuration and
//! the VM list between them over TCP.

use crate::config_store::ConfigStore;
use crate::platform::apply_config_changes;
use crate::process::Input;
use flume::Sender;
use gypsumchute_decide::{Event, VmList, VmRecord};
use gypsumchute_proto::local::{
    ConfigValues, FetchConfig, FetchList, ToControl, ToEntry, VmRecords, to_control, to_entry,
};
use gypsumchute_proto::peer::PeerFrame;
use gypsumchute_proto::{FrameReader, FrameWriter, MAX_PEER_DATAGRAM_BYTES, Message};
use gypsumchute_serving::byte_budget::ByteBudget;
use gypsumchute_serving::connections::{ConnectionSlot, Connections};
use gypsumchute_serving::deadline::DeadlineStream;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Timeout of a transfer for the connection attempt and for each read and write, in milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 2_000;
/// Maximum time for sending a whole response, in milliseconds. A configuration of 64 MB, the maximum
/// size of a frame, needs this time at 50 Mbit/s.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;
/// Maximum number of open transfers. A VM has one open at a time, and the VMs that start together
/// choose among all peers.
const MAX_TRANSFERS: usize = 64;
/// Maximum size of a request for a transfer, in bytes. Known requests have less than 20 bytes; the
/// rest is room for fields of later builds.
const MAX_TRANSFER_REQUEST_BYTES: usize = 4 << 10;
/// Memory for responses that are being sent, in bytes. One response is always sent, also if it is
/// larger. A peer whose transfer fails asks again.
const RESPONSE_BYTES: usize = 8 << 20;
/// Number of inputs of the decision thread beyond which datagrams are dropped, as the network may
/// drop them too. The thread handles thousands of inputs per second, so that a queue of this length
/// means that it is behind by more than one tick.
const MAX_QUEUED_INPUTS: usize = 1_024;

/// Delay before accepting again after an error, in milliseconds.
pub(crate) const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// VM list that is served to other VMs, shared with the decision thread.
pub type SharedVmList = Arc<Mutex<VmList>>;

/// Starts a thread that receives datagrams and passes them to the decision thread, until the socket
/// fails or the decision thread has ended. Datagrams that do not decode are dropped.
pub fn receive_datagrams(socket: UdpSocket, inputs: Sender<Input>) {
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_PEER_DATAGRAM_BYTES];
        loop {
            let length = match socket.recv_from(&mut buffer) {
                Ok((length, _)) => length,
                // The peer port of an earlier datagram was closed; the socket itself still works.
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(err) => {
                    log::error!(
                        error:% = err;
                        "receiving on the peer socket failed; no more datagrams are received"
                    );
                    return;
                }
            };
            if inputs.len() > MAX_QUEUED_INPUTS {
                continue;
            }
            let Ok(frame) = PeerFrame::decode(&buffer[..length]) else { continue };
            if inputs.send(Input::Event(Event::Peer(frame))).is_err() {
                return;
            }
        }
    });
}

/// Sends one datagram and returns its size in bytes. Send errors are ignored, because datagrams may
/// also be lost on the network.
pub fn send_datagram(socket: &UdpSocket, peer: SocketAddr, frame: &PeerFrame) -> usize {
    let bytes = frame.encode_to_vec();
    let _ = socket.send_to(&bytes, peer);
    bytes.len()
}

/// Starts a thread that serves the configuration and the VM list to other VMs until the control
/// process exits.
pub fn serve_transfers(listener: TcpListener, config_store: ConfigStore, vm_list: SharedVmList) {
    let transfers = Connections::new(MAX_TRANSFERS, false);
    let response_bytes = ByteBudget::new(RESPONSE_BYTES);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                thread::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS));
                continue;
            };
            let Some(slot) = transfers.admit(stream) else { continue };
            let (config_store, vm_list) = (config_store.clone(), vm_list.clone());
            let response_bytes = response_bytes.clone();
            let serve = move || serve_transfer(&slot, &config_store, &vm_list, &response_bytes);
            if let Err(err) = thread::Builder::new().spawn(serve) {
                log::error!(error:% = err; "failed to start a thread for a transfer");
            }
        }
    });
}

/// Answers the request on one connection. Returns `None` if the request is invalid or the
/// connection fails.
fn serve_transfer(
    slot: &ConnectionSlot,
    config_store: &ConfigStore,
    vm_list: &SharedVmList,
    response_bytes: &ByteBudget,
) -> Option<()> {
    let stream = slot.stream();
    let reader = DeadlineStream::new(&stream, Duration::from_millis(TRANSFER_TIMEOUT_MS));
    let mut reader = FrameReader::with_max_frame(reader, MAX_TRANSFER_REQUEST_BYTES);
    let request: ToControl = reader.read_message().ok()?;
    slot.set_busy(true);
    let response = match request.body? {
        to_control::Body::FetchConfig(fetch) => {
            to_entry::Body::ConfigValues(config_store.changes_after(fetch.after_version))
        }
        to_control::Body::FetchList(_) => {
            let vm_list = vm_list.lock().unwrap_or_else(PoisonError::into_inner);
            to_entry::Body::VmRecords(to_vm_records(&vm_list))
        }
        _ => return None,
    };
    let response = ToEntry { body: Some(response) };
    let mut memory = response_bytes.share();
    if !memory.resize(response.encoded_len()) {
        return None;
    }
    let writer = DeadlineStream::new(&stream, Duration::from_millis(RESPONSE_TIMEOUT_MS));
    FrameWriter::new(writer).write_message(&response).ok()
}

/// Sends a request to the VM at `peer` and returns the response, or `None` if the transfer fails.
fn request_transfer(peer: SocketAddr, request: to_control::Body) -> Option<to_entry::Body> {
    let timeout = Duration::from_millis(TRANSFER_TIMEOUT_MS);
    let stream = TcpStream::connect_timeout(&peer, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    FrameWriter::new(&stream).write_message(&ToControl { body: Some(request) }).ok()?;
    FrameReader::new(&stream).read_message::<ToEntry>().ok()?.body
}

/// Starts a thread that fetches the configuration changes that this VM misses from the VM at `peer`
/// and applies them. A failed fetch is ignored; the node requests another one later.
pub fn fetch_config(peer: SocketAddr, config_store: ConfigStore, inputs: Sender<Input>) {
    thread::spawn(move || {
        let request = FetchConfig { after_version: config_store.version() };
        let response = request_transfer(peer, to_control::Body::FetchConfig(request));
        if let Some(to_entry::Body::ConfigValues(changes)) = response {
            let changes: ConfigValues = changes;
            apply_config_changes(&config_store, &inputs, changes);
        }
    });
}

/// Starts a thread that fetches the VM list from the VM at `peer` and reports the list to the
/// decision thread. A failed fetch is ignored; the node requests another one later.
pub fn fetch_vm_list(peer: SocketAddr, inputs: Sender<Input>) {
    thread::spawn(move || {
        let response = request_transfer(peer, to_control::Body::FetchList(FetchList {}));
        if let Some(to_entry::Body::VmRecords(records)) = response {
            let _ = inputs.send(Input::Event(Event::VmList(to_vm_list(records))));
        }
    });
}

fn to_vm_records(list: &VmList) -> VmRecords {
    let vms = list.vms.iter().map(|(id, record)| gypsumchute_proto::local::VmRecord {
        id: id.to_string(),
        zone: record.zone.to_string(),
        address: record.address.to_string(),
        leaving: record.leaving,
    });
    VmRecords { version: list.version, vms: vms.collect() }
}

/// Converts a transferred VM list. Records with an invalid id, zone or address are left out.
fn to_vm_list(records: VmRecords) -> VmList {
    let vms = records.vms.into_iter().filter_map(|vm| {
        let record = VmRecord {
            zone: vm.zone.parse().ok()?,
            address: vm.address.parse().ok()?,
            leaving: vm.leaving,
        };
        Some((vm.id.parse().ok()?, record))
    });
    VmList { version: records.version, vms: vms.collect() }
}
