//! Settings of an entry that relays requests.

use conf::{Promises, Relay, Source};
use std::time::Duration;

const GOOD: &str = "[entry]
name = e1
data_centre = north
front = 127.0.0.1:1
ready = 127.0.0.1:2
directory = 127.0.0.1:3
peer = 127.0.0.1:4
metrics = 127.0.0.1:5
[services]
store = 127.0.0.1:6
";

#[test]
fn promises_that_are_not_stated_have_their_defaults() {
    let relay = Relay::read(&Source::new("r.ini", GOOD)).expect("the settings are good");
    assert_eq!(relay.promises, Promises::default());
    assert_eq!(relay.services.cloud, None);
}

#[test]
fn stated_promises_are_read() {
    let text =
        format!("{GOOD}cloud = 127.0.0.1:7\n[promises]\nstrict_revoke = yes\nrevoke = 5000ms\n");
    let relay = Relay::read(&Source::new("r.ini", text)).expect("the settings are good");
    assert!(relay.promises.strict_revoke);
    assert_eq!(relay.promises.revoke, Duration::from_secs(5));
    assert!(relay.services.cloud.is_some());
}

#[test]
fn every_mistake_is_told_with_its_line() {
    let text =
        "[entry]\nname = \nfront = here\n[services]\n[promises]\nrevoke = 0s\nspeed = 3\n[x]\n";
    let mistakes = Relay::read(&Source::new("r.ini", text)).expect_err("it has mistakes");
    let text = mistakes.to_string();
    for expected in [
        "r.ini:2: name",
        "r.ini:3: front",
        "store",
        "r.ini:6: revoke",
        "r.ini:7: speed",
        "r.ini:8: x",
    ] {
        assert!(text.contains(expected), "{expected} is missing in\n{text}");
    }
}
