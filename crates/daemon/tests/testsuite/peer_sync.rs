//! Encoding of messages between VMs: the replies that carry store changes, and records of streams.

use gypsumchute_daemon::peer_sync::{decode_reply, encode_reply};
use gypsumchute_fleet::messages::{Datagram, Item, PullReply, StreamRecord, datagram};
use proptest::prelude::*;

/// Returns a snapshot of a registry with `count` endpoints, in the format of the platform.
fn registry(count: u64) -> PullReply {
    let item = |n: u64| Item {
        key: format!("servers/i-{:010x}", n * 0x9e37_79b9),
        revision: 100 + n,
        value: Some(
            format!(
                r#"{{"backend":"lensmodel","address":"10.{}.64.{}:8400","zone":"jm-south-{}",
                "version":"v1","slots":24,"state":"ready","warmupLeftMs":0.0,"sequence":{n}}}"#,
                n % 4 + 1,
                n % 250,
                n % 4
            )
            .into_bytes(),
        ),
        era: 1,
        last_entry: None,
    };
    let items = (0..count).map(item).collect();
    PullReply { revision: 822, whole: true, items, era: 1, merged: None }
}

/// The record of a stream is sent for each stream that a caller may resume, so its size counts.
#[test]
fn the_record_of_a_stream_takes_few_bytes() {
    let record = StreamRecord { stream: u64::MAX, version: u64::MAX, keep_ms: 78_000 };
    let datagram = Datagram { body: Some(datagram::Body::StreamRecord(record)) };
    assert!(prost::Message::encoded_len(&datagram) <= 24);
}

#[test]
fn a_registry_is_compressed_to_a_fifth_of_its_size() {
    let reply = registry(117);
    let size = prost::Message::encoded_len(&reply);
    let encoded = encode_reply(&reply).expect("valid reply");
    assert!(encoded.len() * 5 <= size, "{} of {size} bytes", encoded.len());
    assert_eq!(decode_reply(&encoded).expect("valid reply"), reply);
}

/// Guards against a snapshot of a peer that is cut off at the maximum size between two items, and whose
/// missing keys count as deleted.
#[test]
fn a_reply_over_the_maximum_size_is_an_error() {
    const MAX_REPLY_BYTES: usize = 64 << 20;
    const VALUE_BYTES: usize = 15_000;
    let item = |bytes| Item { value: Some(vec![b' '; bytes]), ..Item::default() };
    let mut reply = PullReply { revision: 9, whole: true, ..PullReply::default() };
    let encoded_len = |reply: &PullReply| prost::Message::encoded_len(reply);
    while encoded_len(&reply) < MAX_REPLY_BYTES - 2 * VALUE_BYTES {
        reply.items.push(item(VALUE_BYTES));
    }
    // The last item that fits ends at the maximum size.
    let left = MAX_REPLY_BYTES - encoded_len(&reply);
    reply.items.push(item(left - 8));
    assert_eq!(encoded_len(&reply), MAX_REPLY_BYTES);
    let largest = encode_reply(&reply).expect("valid reply");
    assert_eq!(decode_reply(&largest).expect("valid reply"), reply);
    reply.items.push(item(VALUE_BYTES));
    let too_large = encode_reply(&reply).expect("valid reply");
    let decoded = decode_reply(&too_large).map(|decoded| decoded.items.len());
    assert!(decoded.is_err(), "{decoded:?} of {} items", reply.items.len());
}

proptest! {
    #[test]
    fn arbitrary_frames_are_decoded_or_rejected(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        drop(decode_reply(&bytes));
        let mut truncated = encode_reply(&registry(3)).expect("valid reply").to_vec();
        truncated.truncate(bytes.len().min(truncated.len() - 1));
        prop_assert!(decode_reply(&truncated).is_err());
    }
}
