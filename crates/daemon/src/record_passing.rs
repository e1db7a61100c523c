//! Passes on records of streams as VMs come and go.
//!
//! A stream may be resumed for longer than the VMs live that were told at which software version it
//! began. A VM that joins, or was out of touch, is sent the records that it should keep, and a VM that
//! shuts down passes on all that it has. Records are sent at a limited pace, in the datagrams that
//! announce new streams.

use crate::context::Context;
use crate::gossip::send_datagram;
use crate::stream_gossip::{encode_record, send_record};
use gypsumchute_fleet::PeerAddress;
use gypsumchute_fleet::messages::datagram::Body;
use gypsumchute_routing::stream_versions::StreamVersion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, VmId};
use log::info;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Minimum interval between two times that all records are passed on to the same VM, in milliseconds. A VM
/// that has started says so in several heartbeats.
const PASS_ON_INTERVAL_MS: u64 = 1_000;
/// Number of datagrams with old records that are sent at once. What arrives faster than the receiver reads
/// is lost.
const PASS_ON_BATCH: usize = 32;
/// Pause after such a batch, in milliseconds.
const PASS_ON_PAUSE_MS: u64 = 5;

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

/// Sends pending records until about this number of `datagrams` were sent. Returns whether more may be
/// pending.
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
