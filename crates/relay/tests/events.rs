//! Event streams are split only at the end of an event.

use hyper::header::HeaderValue;
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

// Guards against ORDER and MIXED broken: the text or the head of an error was passed on as an event.
#[test]
fn an_error_behind_an_event_is_no_event() {
    for error in [
        "<p>failed</p>\n\n",
        "{\"error\": \"failed\"}\n\n",
        "upstream failed: retry later\n\n",
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ndate: now\r\n\r\nfailed\n\n",
    ] {
        let mut splitter = EventSplitter::default();
        let bytes = format!("id: 1\ndata: a\n\n{error}id: 2\ndata: b\n\n");
        assert_eq!(splitter.push(bytes.as_bytes()), "id: 1\ndata: a\n\n", "{error:?}");
        assert!(splitter.invalid().is_some() && splitter.has_incomplete_event(), "{error:?}");
        assert_eq!(splitter.push(b"id: 3\ndata: c\n\n"), "", "{error:?}");
        // Another server goes on.
        splitter.discard_incomplete();
        assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
        assert_eq!(splitter.invalid(), None);
    }
}

// Guards against ORDER broken: events came twice because a server did not go on after the last one.
#[test]
fn events_whose_number_does_not_increase_are_not_of_the_stream() {
    for bytes in ["id: 7\ndata: a\n\n", "id: 6\ndata: a\n\n", "data: a\nid: 7\n\n"] {
        let mut splitter = EventSplitter::default();
        assert_eq!(splitter.push(b"id: 7\ndata: a\n\n"), "id: 7\ndata: a\n\n");
        assert_eq!(splitter.push(bytes.as_bytes()), "", "{bytes:?}");
        assert!(splitter.invalid().is_some(), "{bytes:?}");
        assert_eq!(splitter.last_event_id().expect("an event is complete"), "7");
    }
    let mut resumed = EventSplitter::after(Some(&HeaderValue::from_static("7")));
    assert_eq!(resumed.push(b"id: 0\ndata: a\n\n"), "");
}

#[test]
fn comments_events_without_an_id_and_names_as_ids_are_of_the_stream() {
    let bytes = ": alive\n\ndata: a\n\nid: b\ndata: b\n\nid: a\ndata: c\n\n\n\nversion: 3\nid: 9\ndata: d\n\n";
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(bytes.as_bytes()), bytes);
    assert_eq!(splitter.last_event_id().expect("an event is complete"), "9");
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
