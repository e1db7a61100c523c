//! Messages between VMs of different builds, which run side by side while a fleet is upgraded.

use gypsumchute_fleet::messages::datagram::Body;
use gypsumchute_fleet::messages::{Datagram, Heartbeat, StreamRecord};
use prost::Message;

/// The heartbeat as builds know it that lack the field `starting`.
#[derive(Clone, PartialEq, Message)]
struct HeartbeatBeforeStarting {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(string, tag = "2")]
    zone: String,
    #[prost(fixed32, tag = "3")]
    ip: u32,
    #[prost(uint32, tag = "4")]
    port: u32,
    #[prost(uint64, tag = "5")]
    store_revision: u64,
    #[prost(bool, tag = "6")]
    reads_platform: bool,
    #[prost(bool, tag = "10")]
    joining: bool,
    #[prost(uint64, tag = "16")]
    store_era: u64,
    #[prost(string, repeated, tag = "18")]
    cut_off_services: Vec<String>,
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        vm: "edge-a-1".to_owned(),
        zone: "a".to_owned(),
        ip: 0x0a01_0013,
        port: 7_200,
        store_revision: 117,
        reads_platform: true,
        joining: true,
        store_era: 2,
        cut_off_services: vec!["engines".to_owned()],
        starting: true,
        ..Heartbeat::default()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A build without the field reads the rest, and passes no records on.
#[test]
fn a_build_that_does_not_know_that_a_vm_is_starting_reads_the_rest_of_its_heartbeat() {
    let known = HeartbeatBeforeStarting {
        vm: "edge-a-1".to_owned(),
        zone: "a".to_owned(),
        ip: 0x0a01_0013,
        port: 7_200,
        store_revision: 117,
        reads_platform: true,
        joining: true,
        store_era: 2,
        cut_off_services: vec!["engines".to_owned()],
    };
    let decoded = HeartbeatBeforeStarting::decode(&heartbeat().encode_to_vec()[..]);
    assert_eq!(decoded.as_ref(), Ok(&known));
    // In the other direction, a VM that does not say so is taken for one that has run for longer. It is
    // sent records if it was unknown or silent.
    let decoded = Heartbeat::decode(&known.encode_to_vec()[..]);
    assert_eq!(decoded, Ok(Heartbeat { starting: false, ..heartbeat() }));
}

/// A record that is passed on can't be told from one that is announced, so that all builds keep it.
#[test]
fn records_and_heartbeats_have_the_format_of_earlier_builds() {
    let record = StreamRecord { stream: 7, version: 8, keep_ms: 78_000 };
    let record = Datagram { body: Some(Body::StreamRecord(record)) };
    let heartbeat =
        Datagram { body: Some(Body::Heartbeat(Heartbeat { starting: false, ..heartbeat() })) };
    insta::assert_snapshot!(
        format!("{}\n{}", hex(&record.encode_to_vec()), hex(&heartbeat.encode_to_vec())),
        @r"
    1a1609070000000000000011080000000000000018b0e104
    0a280a08656467652d612d311201611d1300010a20a038287530015001800102920107656e67696e6573
    "
    );
}
