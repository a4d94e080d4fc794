//! Parsing of the settings of an entry that relays requests.

use conf::{Promises, Relay, Resources, Source};
use std::time::Duration;

const VALID: &str = "[entry]
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
fn unset_promises_use_defaults() {
    let relay = Relay::read(&Source::new("r.ini", VALID)).expect("the settings are valid");
    assert_eq!(relay.promises, Promises::default());
    assert_eq!(relay.services.cloud, None);
}

#[test]
fn promises_are_read_from_the_settings() {
    let text =
        format!("{VALID}cloud = 127.0.0.1:7\n[promises]\nstrict_revoke = yes\nrevoke = 5000ms\n");
    let relay = Relay::read(&Source::new("r.ini", text)).expect("the settings are valid");
    assert!(relay.promises.strict_revoke);
    assert_eq!(relay.promises.revoke, Duration::from_secs(5));
    assert!(relay.services.cloud.is_some());
}

#[test]
fn all_errors_are_reported_with_their_lines() {
    let text =
        "[entry]\nname = \nfront = here\n[services]\n[promises]\nrevoke = 0s\nspeed = 3\n[x]\n";
    let errors = Relay::read(&Source::new("r.ini", text)).expect_err("the settings have errors");
    let text = errors.to_string();
    for expected in [
        "r.ini:2: name",
        "r.ini:3: front",
        "store",
        "r.ini:6: revoke",
        "r.ini:7: speed",
        "r.ini:8: x",
    ] {
        assert!(text.contains(expected), "{expected:?} is missing in:\n{text}");
    }
}

#[test]
fn resources_are_read_from_the_settings() {
    let text = format!("{VALID}[resources]\nmemory = 260MB\ndescriptors = 4100\n");
    let relay = Relay::read(&Source::new("r.ini", text)).expect("the settings are valid");
    assert_eq!(relay.resources, Resources { memory: 260_000_000, descriptors: Some(4100) });
    let unset = Relay::read(&Source::new("r.ini", VALID)).expect("the settings are valid");
    assert_eq!(unset.resources, Resources::default());
}

#[test]
fn resources_with_which_no_entry_can_run_are_errors() {
    let text = format!("{VALID}[resources]\nmemory = 8MB\ndescriptors = none\n");
    let errors = Relay::read(&Source::new("r.ini", text)).expect_err("the settings have errors");
    let text = errors.to_string();
    for expected in ["r.ini:12: memory", "r.ini:13: descriptors"] {
        assert!(text.contains(expected), "{expected:?} is missing in:\n{text}");
    }
}
