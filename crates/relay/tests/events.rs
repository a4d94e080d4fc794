//! Streams of events are split at their ends only.

use proptest::prelude::*;
use relay::EventSplitter;

fn events(count: usize) -> Vec<u8> {
    (0..count).flat_map(|i| format!("id: {i}\ndata: piece {i}\n\n").into_bytes()).collect()
}

#[test]
fn part_of_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), "");
    assert!(splitter.is_partial());
    assert_eq!(splitter.push(b"\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id().expect("an event is whole"), "1");
    splitter.cut();
    assert!(!splitter.is_partial());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn however_the_bytes_arrive_whole_events_come_out_in_order(
        cuts in prop::collection::vec(1_usize..40, 1..60),
    ) {
        let bytes = events(20);
        let mut splitter = EventSplitter::default();
        let (mut out, mut at) = (Vec::new(), 0);
        for cut in cuts.into_iter().chain([bytes.len()]) {
            let end = (at + cut).min(bytes.len());
            let whole = splitter.push(&bytes[at..end]);
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            out.extend_from_slice(&whole);
            at = end;
        }
        prop_assert!(!splitter.is_partial());
        prop_assert_eq!(splitter.last_id().expect("events came"), "19");
        prop_assert_eq!(out, bytes);
    }
}
