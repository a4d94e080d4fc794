//! What answers mean and what is done after each end of an attempt.

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use kernel::Code;
use relay::{Class, Ended, Names, Next, Trail, classify, next, without_budget};
use rules::RetryPolicy;

const ONCE: RetryPolicy = RetryPolicy::Once;
const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const AGAIN: Next = Next::Again { is_repeat: true };

fn names() -> Names {
    let name = HeaderName::from_static;
    Names {
        request: name("id"),
        deadline: name("deadline"),
        key: name("key"),
        organisation: name("organisation"),
        expected: name("expected"),
        not_run: name("not-run"),
        seal: name("seal"),
        urgency: name("urgency"),
        moved_from: name("moved-from"),
        reserved: Vec::new(),
    }
}

fn class(status: u16, fields: &[(&'static str, &'static str)]) -> Class {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    classify(status, &headers, &names(), b"r1")
}

#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    assert!(matches!(class(200, &[("id", "r2"), ("seal", "s")]), Class::Foreign(_)));
    assert!(matches!(class(503, &[("id", "r2"), ("not-run", "1")]), Class::Foreign(_)));
}

#[test]
fn a_success_needs_a_seal_and_a_body_without_encoding() {
    assert_eq!(class(200, &[("id", "r1"), ("seal", "s")]), Class::Own);
    assert!(matches!(class(200, &[("id", "r1")]), Class::Foreign(_)));
    let encoded = [("id", "r1"), ("seal", "s"), ("content-encoding", "gzip")];
    assert!(matches!(class(200, &encoded), Class::Foreign(_)));
}

#[test]
fn only_a_statement_says_that_a_request_did_not_run() {
    assert_eq!(class(503, &[("not-run", "1")]), Class::NotRun);
    assert_eq!(class(421, &[]), Class::NotRun);
    for status in [408, 429, 503] {
        assert!(matches!(class(status, &[("id", "r1"), ("seal", "s")]), Class::Foreign(_)));
    }
    assert_eq!(class(500, &[("id", "r1"), ("seal", "s")]), Class::Own);
}

#[test]
fn a_request_that_runs_once_is_never_sent_again_after_it_may_have_run() {
    for repeat in [ONCE, STREAM] {
        for ended in [Ended::Broke, Ended::Failed(StatusCode::INTERNAL_SERVER_ERROR)] {
            for attempts in 1..4 {
                let trail = Trail { sends: 1, runs: 1 };
                assert_ne!(
                    next(ended, repeat, trail, attempts, 1_000),
                    AGAIN,
                    "{repeat:?} {ended:?}"
                );
            }
        }
        let trail = Trail { sends: 2, runs: 1 };
        for ended in [Ended::Unsent, Ended::NotRun] {
            let step = next(ended, repeat, trail, 3, 1_000);
            assert!(matches!(step, Next::Fail(_)), "{repeat:?} {ended:?}: {step:?}");
        }
    }
}

#[test]
fn not_run_is_told_only_when_no_server_may_have_run_it() {
    for repeat in [ONCE, STREAM, RESUMABLE, RetryPolicy::Idempotent] {
        for runs in 0..3 {
            for ended in [Ended::Unsent, Ended::NotRun, Ended::Broke] {
                let trail = Trail { sends: 4, runs };
                for step in [next(ended, repeat, trail, 2, 500), without_budget(ended, trail)] {
                    if matches!(step, Next::Refuse(_)) {
                        assert_eq!(runs, 0, "{repeat:?} {ended:?}");
                        assert_ne!(ended, Ended::Broke);
                    }
                }
            }
        }
    }
}

#[test]
fn an_idempotent_request_goes_to_as_many_servers_as_its_route_allows() {
    let failed = Ended::Failed(StatusCode::INTERNAL_SERVER_ERROR);
    let trail = |runs| Trail { sends: runs, runs };
    assert_eq!(next(failed, RetryPolicy::Idempotent, trail(1), 2, 500), AGAIN);
    assert_eq!(next(failed, RetryPolicy::Idempotent, trail(2), 2, 500), Next::Pass);
    assert_eq!(
        next(Ended::Broke, RetryPolicy::Idempotent, trail(2), 2, 500),
        Next::Fail(Code::BackendBroke)
    );
}

#[test]
fn a_connection_that_was_not_made_costs_nothing_of_the_budget() {
    let trail = Trail { sends: 1, runs: 0 };
    assert_eq!(next(Ended::Unsent, ONCE, trail, 1, 500), Next::Again { is_repeat: false });
    assert_eq!(next(Ended::NotRun, ONCE, trail, 1, 500), AGAIN);
}

#[test]
fn nothing_is_sent_when_the_deadline_is_near() {
    let trail = Trail { sends: 1, runs: 0 };
    assert_eq!(next(Ended::Unsent, ONCE, trail, 1, 10), Next::Refuse(Code::NotDispatched));
    let trail = Trail { sends: 1, runs: 1 };
    assert_eq!(next(Ended::Broke, RESUMABLE, trail, 2, 10), Next::Fail(Code::DeadlinePassed));
}
