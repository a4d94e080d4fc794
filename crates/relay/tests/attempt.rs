//! What answers mean and what is done after each end of an attempt.

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use kernel::Code;
use relay::{
    AttemptHistory, AttemptResult, Names, NextStep, ResponseClass, classify, next_step,
    next_step_without_budget,
};
use rules::Repeat;

const ONCE: Repeat = Repeat::Once;
const STREAM: Repeat = Repeat::Stream { resumable: false };
const RESUMABLE: Repeat = Repeat::Stream { resumable: true };
const AGAIN: NextStep = NextStep::Retry { uses_budget: true };

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

fn class(status: u16, fields: &[(&'static str, &'static str)]) -> ResponseClass {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    classify(status, &headers, &names(), b"r1")
}

#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    assert!(matches!(class(200, &[("id", "r2"), ("seal", "s")]), ResponseClass::Invalid(_)));
    assert!(matches!(class(503, &[("id", "r2"), ("not-run", "1")]), ResponseClass::Invalid(_)));
}

#[test]
fn a_success_needs_a_seal_and_a_body_without_encoding() {
    assert_eq!(class(200, &[("id", "r1"), ("seal", "s")]), ResponseClass::Valid);
    assert!(matches!(class(200, &[("id", "r1")]), ResponseClass::Invalid(_)));
    let encoded = [("id", "r1"), ("seal", "s"), ("content-encoding", "gzip")];
    assert!(matches!(class(200, &encoded), ResponseClass::Invalid(_)));
}

#[test]
fn only_a_statement_says_that_a_request_did_not_run() {
    assert_eq!(class(503, &[("not-run", "1")]), ResponseClass::NotRun);
    assert_eq!(class(421, &[]), ResponseClass::NotRun);
    for status in [408, 429, 503] {
        assert!(matches!(class(status, &[("id", "r1"), ("seal", "s")]), ResponseClass::Invalid(_)));
    }
    assert_eq!(class(500, &[("id", "r1"), ("seal", "s")]), ResponseClass::Valid);
}

#[test]
fn a_request_that_runs_once_is_never_sent_again_after_it_may_have_run() {
    for repeat in [ONCE, STREAM] {
        for ended in
            [AttemptResult::ResponseLost, AttemptResult::Failed(StatusCode::INTERNAL_SERVER_ERROR)]
        {
            for attempts in 1..4 {
                let trail = AttemptHistory { sends: 1, runs: 1 };
                assert_ne!(
                    next_step(ended, repeat, trail, attempts, 1_000),
                    AGAIN,
                    "{repeat:?} {ended:?}"
                );
            }
        }
        let trail = AttemptHistory { sends: 2, runs: 1 };
        for ended in [AttemptResult::Unsent, AttemptResult::NotRun] {
            let step = next_step(ended, repeat, trail, 3, 1_000);
            assert!(matches!(step, NextStep::Fail(_)), "{repeat:?} {ended:?}: {step:?}");
        }
    }
}

#[test]
fn not_run_is_told_only_when_no_server_may_have_run_it() {
    for repeat in [ONCE, STREAM, RESUMABLE, Repeat::Idempotent] {
        for runs in 0..3 {
            for ended in [AttemptResult::Unsent, AttemptResult::NotRun, AttemptResult::ResponseLost]
            {
                let trail = AttemptHistory { sends: 4, runs };
                for step in [
                    next_step(ended, repeat, trail, 2, 500),
                    next_step_without_budget(ended, trail),
                ] {
                    if matches!(step, NextStep::Refuse(_)) {
                        assert_eq!(runs, 0, "{repeat:?} {ended:?}");
                        assert_ne!(ended, AttemptResult::ResponseLost);
                    }
                }
            }
        }
    }
}

#[test]
fn an_idempotent_request_goes_to_as_many_servers_as_its_route_allows() {
    let failed = AttemptResult::Failed(StatusCode::INTERNAL_SERVER_ERROR);
    let trail = |runs| AttemptHistory { sends: runs, runs };
    assert_eq!(next_step(failed, Repeat::Idempotent, trail(1), 2, 500), AGAIN);
    assert_eq!(next_step(failed, Repeat::Idempotent, trail(2), 2, 500), NextStep::Pass);
    assert_eq!(
        next_step(AttemptResult::ResponseLost, Repeat::Idempotent, trail(2), 2, 500),
        NextStep::Fail(Code::BackendBroke)
    );
}

#[test]
fn a_connection_that_was_not_made_costs_nothing_of_the_budget() {
    let trail = AttemptHistory { sends: 1, runs: 0 };
    assert_eq!(
        next_step(AttemptResult::Unsent, ONCE, trail, 1, 500),
        NextStep::Retry { uses_budget: false }
    );
    assert_eq!(next_step(AttemptResult::NotRun, ONCE, trail, 1, 500), AGAIN);
}

#[test]
fn nothing_is_sent_when_the_deadline_is_near() {
    let trail = AttemptHistory { sends: 1, runs: 0 };
    assert_eq!(
        next_step(AttemptResult::Unsent, ONCE, trail, 1, 10),
        NextStep::Refuse(Code::NotDispatched)
    );
    let trail = AttemptHistory { sends: 1, runs: 1 };
    assert_eq!(
        next_step(AttemptResult::ResponseLost, RESUMABLE, trail, 2, 10),
        NextStep::Fail(Code::DeadlinePassed)
    );
}
