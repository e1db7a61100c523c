//! An entry process with a stand-in for its control process.

use gypsumchute_config::EntrySettings;
use gypsumchute_entry::process::{self, EntryHandle};
use gypsumchute_proto::local::{Granted, ToControl, ToEntry, to_control, to_entry};
use gypsumchute_proto::{FrameReader, FrameWriter};
use gypsumchute_units::time::boot_now;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// Time for which a permit, and the wait for a response, last, in milliseconds.
const PERMIT_MS: u64 = 5_000;

/// What the control process does.
#[derive(Debug, Clone, Copy)]
pub enum Control {
    /// Grants the endpoint to each request, as one that may be repeated, and ends once a request asks for
    /// another endpoint.
    EndsAtRetry(SocketAddr),
    /// Grants the endpoint to each request, as one that may not be repeated.
    GrantsOnce(SocketAddr),
}

/// Returns an address of this host that is not in use.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("local address")
}

/// Starts the stand-in for the control process, and returns its address.
fn start_control(control: Control) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address");
    let (endpoint, repeatable) = match control {
        Control::EndsAtRetry(endpoint) => (endpoint, true),
        Control::GrantsOnce(endpoint) => (endpoint, false),
    };
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("entry process");
        let mut reader = FrameReader::new(stream.try_clone().expect("clone"));
        let mut writer = FrameWriter::new(stream);
        while let Ok(message) = reader.read_message::<ToControl>() {
            let admit = match message.body {
                Some(to_control::Body::Admit(admit)) => admit,
                Some(to_control::Body::Retry(_)) => return,
                _ => continue,
            };
            let granted = Granted {
                request: admit.request,
                customer: "acme".to_owned(),
                endpoint: "endpoint-1".to_owned(),
                address: endpoint.to_string(),
                use_until_ms: boot_now().0 + PERMIT_MS,
                repeatable,
                answer_by_ms: boot_now().0 + PERMIT_MS,
                max_tokens: 8,
            };
            let message = ToEntry { body: Some(to_entry::Body::Granted(granted)) };
            writer.write_message(&message).expect("write");
        }
    });
    address
}

/// Starts an entry process, and returns it with its address for callers.
pub fn start_entry(control: Control) -> (EntryHandle, SocketAddr) {
    let settings = EntrySettings {
        vm: "vm-1".parse().expect("valid id"),
        zone: "a".parse().expect("valid id"),
        listen: free_address(),
        ops_listen: free_address(),
        control: start_control(control),
        max_requests: 8,
        caller_timeout_ms: 10_000,
        resume_grace_ms: 1_000,
    };
    let callers = settings.listen;
    let entry = process::start(settings).expect("entry process starts");
    thread::sleep(Duration::from_millis(200));
    (entry, callers)
}
