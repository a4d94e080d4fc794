//! Marks of requests and of prompt parts.

use coord::{is_request_mark, part_mark, request_mark};
use kernel::Name;

#[test]
fn requests_have_one_mark_if_method_target_organisation_and_body_are_the_same() {
    let org = Name::from("org");
    let mark = request_mark("GET", "/a/x", Some(&org), b"body");
    assert_eq!(mark, request_mark("GET", "/a/x", Some(&org), b"body"));
    for other in [
        request_mark("POST", "/a/x", Some(&org), b"body"),
        request_mark("GET", "/a/y", Some(&org), b"body"),
        request_mark("GET", "/a/x", None, b"body"),
        request_mark("GET", "/a/x", Some(&org), b"other"),
        // The fields do not run into each other.
        request_mark("GET", "/a/xo", Some(&Name::from("rg")), b"body"),
    ] {
        assert_ne!(mark, other);
    }
}

#[test]
fn marks_of_requests_and_of_parts_differ_whatever_the_parts_are() {
    assert!(is_request_mark(request_mark("GET", "/", None, b"")));
    assert!(!is_request_mark(part_mark(u64::MAX)));
    assert_eq!(part_mark(7), 7);
}
