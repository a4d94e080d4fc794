//! The story of a request out of the logs of entries, and the check of a relay's settings.

use crate::support::{err, fennelfold, out};

const ONE: &str = r#"  4.02 e1 {"msg":"placed","level":"DEBG","ts":1000,"entry":"e1","request":"r1","server":"s1"}
some other output { not an object
{"msg":"placed","level":"DEBG","ts":1001,"entry":"e1","request":"r10","server":"s2"}
{"msg":"request failed","level":"INFO","ts":1250,"entry":"e1","request":"r1","code":3001}
"#;
const TWO: &str =
    r#"{"msg":"refused","level":"INFO","ts":1100,"entry":"e2","request":"r1","code":2002}"#;

fn written(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("fennelfold-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the folder can be written");
    path.display().to_string()
}

#[tokio::test]
async fn a_story_has_the_lines_of_one_request_from_all_entries_in_the_order_of_time() {
    let (one, two) = (written("one.log", ONE), written("two.log", TWO));
    let story = out(&fennelfold(&["story", "r1", &one, &two]).await);
    let lines: Vec<&str> = story.lines().collect();
    assert_eq!(lines.len(), 3, "{story}");
    assert!(lines[0].contains("0 ms  e1  placed: server=\"s1\""), "{story}");
    assert!(lines[1].contains("100 ms  e2  refused: code=2002"), "{story}");
    assert!(lines[2].contains("250 ms  e1  request failed: code=3001"), "{story}");
}

#[tokio::test]
async fn a_request_that_no_line_names_is_a_numbered_error() {
    let one = written("none.log", ONE);
    let ended = fennelfold(&["story", "r7", &one]).await;
    assert_eq!(ended.status.code(), Some(2));
    assert!(err(&ended).contains("FF-1010"), "{}", err(&ended));
}

#[tokio::test]
async fn the_settings_of_a_relay_are_checked_without_running_it() {
    let bad = written("bad.ini", "[entry]\nname = e1\n");
    let ended = fennelfold(&["relay", "--check", "--settings", &bad]).await;
    assert_eq!(ended.status.code(), Some(2));
    assert!(err(&ended).contains("front"), "{}", err(&ended));
}
