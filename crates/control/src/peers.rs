//! Other VMs: datagrams between control processes, and transfers of versions over TCP.

use crate::config_store::ConfigStore;
use crate::platform::apply_config_changes;
use crate::process::Input;
use flume::Sender;
use gypsumchute_decide::{Event, VmList, VmRecord};
use gypsumchute_proto::local::{
    ConfigValues, FetchConfig, FetchList, ToControl, ToEntry, VmRecords, to_control, to_entry,
};
use gypsumchute_proto::peer::PeerFrame;
use gypsumchute_proto::{FrameReader, FrameWriter, MAX_DATAGRAM_BYTES, Message};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a transfer may stand still.
const TRANSFER_TIMEOUT_MS: u64 = 2_000;

/// The VM list as other VMs may fetch it.
pub type SharedVmList = Arc<Mutex<VmList>>;

/// Reads datagrams until the process ends.
pub fn receive(socket: UdpSocket, inputs: Sender<Input>) {
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let length = match socket.recv_from(&mut buffer) {
                Ok((length, _)) => length,
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(err) => {
                    log::error!(error:% = err; "peer socket failed");
                    return;
                }
            };
            let Ok(frame) = PeerFrame::decode(&buffer[..length]) else { continue };
            if inputs.send(Input::Event(Event::Peer(frame))).is_err() {
                return;
            }
        }
    });
}

/// Sends one datagram; returns its size. A datagram that can't be sent is lost like any other.
pub fn send(socket: &UdpSocket, to: SocketAddr, frame: &PeerFrame) -> usize {
    let bytes = frame.encode_to_vec();
    let _ = socket.send_to(&bytes, to);
    bytes.len()
}

/// Serves configuration and VM list to other VMs.
pub fn serve_transfers(listener: TcpListener, store: ConfigStore, list: SharedVmList) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (store, list) = (store.clone(), list.clone());
            thread::spawn(move || serve_transfer(stream, &store, &list));
        }
    });
}

fn serve_transfer(stream: TcpStream, store: &ConfigStore, list: &SharedVmList) -> Option<()> {
    let timeout = Some(Duration::from_millis(TRANSFER_TIMEOUT_MS));
    stream.set_read_timeout(timeout).ok()?;
    stream.set_write_timeout(timeout).ok()?;
    let question: ToControl = FrameReader::new(&stream).next_message().ok()?;
    let answer = match question.body? {
        to_control::Body::FetchConfig(fetch) => {
            to_entry::Body::ConfigValues(store.changes_after(fetch.after_version))
        }
        to_control::Body::FetchList(_) => {
            let list = list.lock().unwrap_or_else(PoisonError::into_inner);
            to_entry::Body::VmRecords(records_of(&list))
        }
        _ => return None,
    };
    FrameWriter::new(&stream).write_message(&ToEntry { body: Some(answer) }).ok()
}

fn ask(from: SocketAddr, question: to_control::Body) -> Option<to_entry::Body> {
    let timeout = Duration::from_millis(TRANSFER_TIMEOUT_MS);
    let stream = TcpStream::connect_timeout(&from, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    FrameWriter::new(&stream).write_message(&ToControl { body: Some(question) }).ok()?;
    FrameReader::new(&stream).next_message::<ToEntry>().ok()?.body
}

/// Fetches what changed in the configuration from the VM at `from`.
pub fn fetch_config(from: SocketAddr, store: ConfigStore, inputs: Sender<Input>) {
    thread::spawn(move || {
        let question = FetchConfig { after_version: store.version() };
        let answer = ask(from, to_control::Body::FetchConfig(question));
        if let Some(to_entry::Body::ConfigValues(changes)) = answer {
            let changes: ConfigValues = changes;
            apply_config_changes(&store, &inputs, changes);
        }
    });
}

/// Fetches the VM list from the VM at `from`.
pub fn fetch_list(from: SocketAddr, inputs: Sender<Input>) {
    thread::spawn(move || {
        let answer = ask(from, to_control::Body::FetchList(FetchList {}));
        if let Some(to_entry::Body::VmRecords(records)) = answer {
            let _ = inputs.send(Input::Event(Event::List(list_of(records))));
        }
    });
}

fn records_of(list: &VmList) -> VmRecords {
    let vms = list.vms.iter().map(|(id, record)| gypsumchute_proto::local::VmRecord {
        id: id.to_string(),
        zone: record.zone.to_string(),
        address: record.address.to_string(),
        leaving: record.leaving,
    });
    VmRecords { version: list.version, vms: vms.collect() }
}

fn list_of(records: VmRecords) -> VmList {
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
