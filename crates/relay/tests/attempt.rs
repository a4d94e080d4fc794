//! Classification of server responses and the decision after each attempt.

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use kernel::Code;
use relay::{
    AttemptHistory, AttemptResult, HeaderNames, NextStep, ResponseClass, classify, next_step,
    next_step_without_budget,
};
use rules::RetryPolicy;

const AT_MOST_ONCE: RetryPolicy = RetryPolicy::Once;
const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const RETRY: NextStep = NextStep::Retry { uses_budget: true };

fn names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request: name("id"),
        deadline: name("deadline"),
        key: name("key"),
        organisation: name("organisation"),
        expected: name("expected"),
        not_run: name("not-run"),
        signature: name("seal"),
        urgency: name("urgency"),
        copy_from: name("copy-from"),
        resumes: name("resumes"),
        moved_from: name("moved-from"),
        reserved: Vec::new(),
    }
}

fn classify_response(status: u16, pairs: &[(&'static str, &'static str)]) -> ResponseClass {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("valid status code");
    classify(status, &headers, &names(), b"r1")
}

#[test]
fn response_to_another_request_is_invalid() {
    assert!(matches!(
        classify_response(200, &[("id", "r2"), ("seal", "s")]),
        ResponseClass::Invalid(_)
    ));
    assert!(matches!(
        classify_response(503, &[("id", "r2"), ("not-run", "1")]),
        ResponseClass::Invalid(_)
    ));
}

#[test]
fn success_needs_a_signature_and_no_content_encoding() {
    assert_eq!(classify_response(200, &[("id", "r1"), ("seal", "s")]), ResponseClass::Valid);
    assert!(matches!(classify_response(200, &[("id", "r1")]), ResponseClass::Invalid(_)));
    let encoded = [("id", "r1"), ("seal", "s"), ("content-encoding", "gzip")];
    assert!(matches!(classify_response(200, &encoded), ResponseClass::Invalid(_)));
}

#[test]
fn only_an_explicit_statement_classifies_a_request_as_not_run() {
    assert_eq!(classify_response(503, &[("not-run", "1")]), ResponseClass::NotRun);
    assert_eq!(classify_response(421, &[]), ResponseClass::NotRun);
    for status in [408, 429, 503] {
        assert!(matches!(
            classify_response(status, &[("id", "r1"), ("seal", "s")]),
            ResponseClass::Invalid(_)
        ));
    }
    assert_eq!(classify_response(500, &[("id", "r1"), ("seal", "s")]), ResponseClass::Valid);
}

#[test]
fn non_retryable_request_is_not_resent_once_it_may_have_run() {
    for policy in [AT_MOST_ONCE, STREAM] {
        for result in
            [AttemptResult::ResponseLost, AttemptResult::Failed(StatusCode::INTERNAL_SERVER_ERROR)]
        {
            for attempts in 1..4 {
                let history = AttemptHistory { sends: 1, runs: 1 };
                assert_ne!(
                    next_step(result, policy, history, attempts, 1_000),
                    RETRY,
                    "{policy:?} {result:?}"
                );
            }
        }
        let history = AttemptHistory { sends: 2, runs: 1 };
        for result in [AttemptResult::Unsent, AttemptResult::NotRun] {
            let step = next_step(result, policy, history, 3, 1_000);
            assert!(matches!(step, NextStep::Fail(_)), "{policy:?} {result:?}: {step:?}");
        }
    }
}

#[test]
fn refuses_as_not_run_only_if_no_server_may_have_run_the_request() {
    for policy in [AT_MOST_ONCE, STREAM, RESUMABLE, RetryPolicy::Idempotent] {
        for runs in 0..3 {
            for result in
                [AttemptResult::Unsent, AttemptResult::NotRun, AttemptResult::ResponseLost]
            {
                let history = AttemptHistory { sends: 4, runs };
                for step in [
                    next_step(result, policy, history, 2, 500),
                    next_step_without_budget(result, history),
                ] {
                    if matches!(step, NextStep::Refuse(_)) {
                        assert_eq!(runs, 0, "{policy:?} {result:?}");
                        assert_ne!(result, AttemptResult::ResponseLost);
                    }
                }
            }
        }
    }
}

#[test]
fn idempotent_request_is_retried_up_to_the_route_maximum() {
    let failed = AttemptResult::Failed(StatusCode::INTERNAL_SERVER_ERROR);
    let history = |runs| AttemptHistory { sends: runs, runs };
    assert_eq!(next_step(failed, RetryPolicy::Idempotent, history(1), 2, 500), RETRY);
    assert_eq!(next_step(failed, RetryPolicy::Idempotent, history(2), 2, 500), NextStep::Forward);
    assert_eq!(
        next_step(AttemptResult::ResponseLost, RetryPolicy::Idempotent, history(2), 2, 500),
        NextStep::Fail(Code::BackendBroke)
    );
}

#[test]
fn retry_uses_the_budget_only_if_the_request_was_sent() {
    let history = AttemptHistory { sends: 1, runs: 0 };
    assert_eq!(
        next_step(AttemptResult::Unsent, AT_MOST_ONCE, history, 1, 500),
        NextStep::Retry { uses_budget: false }
    );
    assert_eq!(next_step(AttemptResult::NotRun, AT_MOST_ONCE, history, 1, 500), RETRY);
}

#[test]
fn no_retry_shortly_before_the_deadline() {
    let history = AttemptHistory { sends: 1, runs: 0 };
    assert_eq!(
        next_step(AttemptResult::Unsent, AT_MOST_ONCE, history, 1, 10),
        NextStep::Refuse(Code::NotDispatched)
    );
    let history = AttemptHistory { sends: 1, runs: 1 };
    assert_eq!(
        next_step(AttemptResult::ResponseLost, RESUMABLE, history, 2, 10),
        NextStep::Fail(Code::DeadlinePassed)
    );
}
