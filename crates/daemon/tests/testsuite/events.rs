//! Splitting of streams into server-sent events, and the order of the events.

use gypsumchute_daemon::events::{EventAction, EventError, EventReader, EventSequence};
use proptest::prelude::*;

/// Returns the id and the text of each event in a stream that arrives in the given chunks.
fn read_all(chunks: &[&[u8]]) -> Vec<(u64, String)> {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for chunk in chunks {
        reader.push(chunk);
        while let Some(event) = reader.next_event().expect("events within the size limit") {
            events.push((event.id, String::from_utf8_lossy(&event.bytes).into_owned()));
        }
    }
    events
}

#[test]
fn only_complete_events_are_returned() {
    let events = read_all(&[b"id: 1\ndata: a\n", b"\nid: 2\nda", b"ta: b\n\nid: 3\ndata: c"]);
    insta::assert_debug_snapshot!(events, @r#"
    [
        (
            1,
            "id: 1\ndata: a\n\n",
        ),
        (
            2,
            "id: 2\ndata: b\n\n",
        ),
    ]
    "#);
}

#[test]
fn an_event_over_the_size_limit_is_an_error() {
    let mut reader = EventReader::default();
    reader.push(&vec![b'x'; (1 << 20) + 1]);
    assert_eq!(reader.next_event(), Err(EventError::TooLarge));
    let mut reader = EventReader::default();
    reader.push(format!("id: 1\ndata: {}\n\n", "x".repeat(100_000)).as_bytes());
    assert_eq!(reader.next_event(), Err(EventError::TooLarge));
}

#[test]
fn a_sequence_skips_delivered_events_and_rejects_gaps() {
    let mut sequence = EventSequence::resume_after(Some(4));
    assert_eq!(sequence.advance(3), Ok(EventAction::Skip));
    assert_eq!(sequence.advance(5), Ok(EventAction::Forward));
    assert_eq!(sequence.advance(5), Ok(EventAction::Skip));
    assert_eq!(sequence.advance(7), Err(EventError::Gap(6, 7)));
    assert_eq!(sequence.last_id(), Some(5));
    assert!(sequence.is_reached_by(Some(5)) && sequence.is_reached_by(None));
    assert!(!sequence.is_reached_by(Some(4)), "the run ended before an event that was delivered");
}

/// Returns the bytes of all events of a stream if it looks complete, as the caller receives them.
fn forward_all(stream: &[u8]) -> Result<Vec<u8>, EventError> {
    let (mut reader, mut sequence) = (EventReader::default(), EventSequence::default());
    let mut forwarded = Vec::new();
    reader.push(stream);
    while let Some(event) = reader.next_event()? {
        match sequence.advance(event.id)? {
            EventAction::Forward => forwarded.extend_from_slice(&event.bytes),
            EventAction::Skip => {}
        }
    }
    match reader.has_partial_event() {
        true => Err(EventError::TooLarge),
        false => Ok(forwarded),
    }
}

/// Guards against a stream that looks complete without one of its events, because one of its bytes is
/// wrong: the event can't be read, or its id is that of another event.
#[test]
fn a_stream_with_a_wrong_byte_is_forwarded_whole_or_fails() {
    let stream: Vec<u8> =
        (9..=12).flat_map(|id| format!("id: {id}\ndata: x{id}\n\n").into_bytes()).collect();
    assert_eq!(forward_all(&stream).as_ref(), Ok(&stream));
    for position in 0..stream.len() {
        for byte in 0..=u8::MAX {
            let mut damaged = stream.clone();
            damaged[position] = byte;
            let forwarded = forward_all(&damaged);
            assert!(
                forwarded.as_ref().is_err() || forwarded.as_ref() == Ok(&damaged),
                "byte {byte:#x} at {position}: {:?}",
                forwarded.map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            );
        }
    }
}

/// Guards against events that are dropped because the run has sent their ids before.
#[test]
fn the_ids_of_one_run_grow_by_one() {
    for (stream, expected, found) in [("id: 1\n\nid: 1\n\n", 2, 1), ("id: 4\n\nid: 2\n\n", 5, 2)] {
        let mut reader = EventReader::default();
        reader.push(stream.as_bytes());
        assert!(reader.next_event().expect("first event").is_some());
        assert_eq!(reader.next_event(), Err(EventError::Gap(expected, found)));
    }
}

#[test]
fn an_event_without_a_valid_id_is_an_error_and_a_comment_is_none() {
    let invalid = [
        "data: x\n\n",
        "id: one\ndata: x\n\n",
        "id:\ndata: x\n\n",
        "id: -1\n\n",
        "id: 1 2\n\n",
        "id: 18446744073709551616\n\n",
        "id: 1\nid: 2\ndata: x\n\n",
        "event: error\ndata: x\n\n",
        ": comment\ndata: x\n\n",
    ];
    for event in invalid {
        let mut reader = EventReader::default();
        reader.push(event.as_bytes());
        assert_eq!(reader.next_event(), Err(EventError::InvalidId), "{event:?}");
    }
    let with_comments =
        b": a\n\n\n\nid: 1\ndata: x\n\n:\r\n: b\r\n\r\nid: 2\n: c\ndata: y\n\n: d\n\n";
    let events = read_all(&[with_comments]);
    assert_eq!(events.len(), 2, "{events:?}");
}

#[test]
fn comments_without_an_end_are_an_error() {
    let mut reader = EventReader::default();
    let mut received = 0;
    let failed = (0..100_000).find_map(|_| {
        reader.push(b": still here\n\n");
        received += 14;
        reader.next_event().err()
    });
    assert_eq!(failed, Some(EventError::TooLarge));
    assert!(received <= 128 << 10, "{received} bytes");
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        count in 1u64..20,
        boundaries in prop::collection::vec(0usize..400, 0..12),
        blank in prop::sample::select(vec!["\n\n", "\r\n\r\n"]),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: x{id}{blank}")).collect();
        let bytes = text.as_bytes();
        let mut boundaries: Vec<usize> =
            boundaries.into_iter().map(|boundary| boundary.min(bytes.len())).collect();
        boundaries.extend([0, bytes.len()]);
        boundaries.sort_unstable();
        let chunks: Vec<&[u8]> =
            boundaries.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let events = read_all(&chunks);
        let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        let joined: String = events.into_iter().map(|(_, text)| text).collect();
        prop_assert_eq!(joined, text);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(chunks in prop::collection::vec(any::<Vec<u8>>(), 0..20)) {
        let mut reader = EventReader::default();
        for chunk in &chunks {
            reader.push(chunk);
            while let Ok(Some(event)) = reader.next_event() {
                prop_assert!(!event.bytes.is_empty());
            }
        }
    }
}
