//! What VMs fetch from each other.

use gypsumchute_daemon::peer_sync::{decode_reply, encode_reply};
use gypsumchute_fleet::messages::{Item, PullReply};
use proptest::prelude::*;

/// A registry of `count` endpoints, as the platform's entries look.
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
    };
    PullReply { revision: 822, whole: true, items: (0..count).map(item).collect() }
}

#[test]
fn a_registry_is_sent_in_a_fifth_of_its_size() {
    let reply = registry(117);
    let size = prost::Message::encoded_len(&reply);
    let packed = encode_reply(&reply).expect("a reply");
    assert!(packed.len() * 5 <= size, "{} of {size} bytes", packed.len());
    assert_eq!(decode_reply(&packed).expect("a reply"), reply);
}

proptest! {
    #[test]
    fn a_frame_of_any_bytes_is_a_reply_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        drop(decode_reply(&bytes));
        let mut cut = encode_reply(&registry(3)).expect("a reply").to_vec();
        cut.truncate(bytes.len().min(cut.len() - 1));
        prop_assert!(decode_reply(&cut).is_err());
    }
}
