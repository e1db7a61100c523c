//! Splitting of streams into server-sent events, and the order of the events.

use gypsumchute_daemon::events::{EventAction, EventError, EventReader, EventSequence};
use proptest::prelude::*;

/// Returns the id and the text of each event in a stream that arrives in the given chunks.
fn read_all(chunks: &[&[u8]]) -> Vec<(Option<u64>, String)> {
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
            Some(
                1,
            ),
            "id: 1\ndata: a\n\n",
        ),
        (
            Some(
                2,
            ),
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
    assert_eq!(sequence.advance(Some(3)), Ok(EventAction::Skip));
    assert_eq!(sequence.advance(Some(5)), Ok(EventAction::Forward));
    assert_eq!(sequence.advance(Some(5)), Ok(EventAction::Skip));
    assert_eq!(sequence.advance(Some(7)), Err(EventError::Gap(6, 7)));
    assert_eq!(sequence.advance(None), Ok(EventAction::Skip));
    assert_eq!(sequence.last_id(), Some(5));
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
        prop_assert_eq!(ids, (1..=count).map(Some).collect::<Vec<_>>());
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
