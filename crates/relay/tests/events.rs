//! Event streams are split only at the end of an event.

use proptest::prelude::*;
use relay::EventSplitter;

fn events(count: usize) -> Vec<u8> {
    (0..count).flat_map(|i| format!("id: {i}\ndata: piece {i}\n\n").into_bytes()).collect()
}

#[test]
fn incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), "");
    assert!(splitter.has_incomplete_event());
    assert_eq!(splitter.push(b"\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_event_id().expect("an event is complete"), "1");
    splitter.discard_incomplete();
    assert!(!splitter.has_incomplete_event());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn events_come_out_complete_and_in_order_for_any_chunking(
        chunk_sizes in prop::collection::vec(1_usize..40, 1..60),
    ) {
        let bytes = events(20);
        let mut splitter = EventSplitter::default();
        let (mut output, mut start) = (Vec::new(), 0);
        for size in chunk_sizes.into_iter().chain([bytes.len()]) {
            let end = (start + size).min(bytes.len());
            let complete = splitter.push(&bytes[start..end]);
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            output.extend_from_slice(&complete);
            start = end;
        }
        prop_assert!(!splitter.has_incomplete_event());
        prop_assert_eq!(splitter.last_event_id().expect("events were split off"), "19");
        prop_assert_eq!(output, bytes);
    }
}
