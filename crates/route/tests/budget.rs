//! Retry budgets and admission.

use conf::Priority;
use kernel::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{
    AdmissionDecision, AdmissionPolicy, Choice, Reason, Requirements, RetryBudgets, RetryDecision,
};
use std::net::SocketAddr;

fn choice(predicted_ms: f64) -> Choice {
    Choice {
        server: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        predicted_ms,
        between_tokens_ms: 20.0,
        price_per_hour: 1.0,
        cached: false,
        candidates: 1,
        reason: Reason::InUse,
    }
}

fn requirements(priority: Priority, left_ms: f64) -> Requirements<'static> {
    Requirements {
        serves: "m",
        prefix: 0,
        prefix_tokens: 0,
        prompt_tokens: 100,
        answer_tokens: 100,
        first_token_ms: 350.0,
        between_tokens_ms: 40.0,
        left_ms,
        priority,
        avoid: &[],
        random: 7,
    }
}

fn is_admitted(priority: Priority, predicted_ms: f64, left_ms: f64) -> bool {
    AdmissionPolicy::default().decide(&requirements(priority, left_ms), &choice(predicted_ms))
        == AdmissionDecision::Admit
}

#[test]
fn a_request_that_cannot_end_before_its_deadline_is_refused() {
    assert!(is_admitted(Priority::High, 100.0, 2_100.0));
    assert!(!is_admitted(Priority::High, 100.0, 2_000.0));
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let verdict =
        AdmissionPolicy::default().decide(&requirements(Priority::Low, 1e6), &choice(5_350.0));
    let AdmissionDecision::Refuse(after_ms) = verdict else { panic!("admitted") };
    assert!((5_000..=10_000).contains(&after_ms), "{after_ms}");
}

fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_higher_priority_is_admitted_whenever_a_lower_one_is(
        predicted_ms in 0.0_f64..5_000.0, left_ms in 0.0_f64..60_000.0,
    ) {
        let admitted = |priority| is_admitted(priority, predicted_ms, left_ms);
        prop_assert!(admitted(Priority::High) || !admitted(Priority::Normal));
        prop_assert!(admitted(Priority::Normal) || !admitted(Priority::Low));
    }

    #[test]
    fn retries_stay_within_the_share_of_the_organisations_own_requests(
        steps in proptest::collection::vec((any::<bool>(), 0_usize..2), 0..500),
        share in 0.0_f64..1.0,
    ) {
        let mut budgets = RetryBudgets::new(share);
        let names = [Name::from("large"), Name::from("small")];
        let mut requests = [0.0_f64; 2];
        let mut retries = [0.0_f64; 2];
        for (is_retry, one) in steps {
            if is_retry {
                let retry = budgets.try_retry(&names[one], 1_000, 20);
                retries[one] += f64::from(u8::from(retry == RetryDecision::Now));
            } else {
                budgets.record_request(&names[one]);
                requests[one] += 1.0;
            }
        }
        for one in 0..2 {
            prop_assert!(retries[one] <= 10.0 + share * requests[one] + 1e-6);
        }
    }

    #[test]
    fn nothing_is_sent_again_past_its_deadline(left_ms in 0_u64..40) {
        let retry = RetryBudgets::new(1.0).try_retry(&"nadia".into(), left_ms, 20);
        prop_assert_eq!(retry == RetryDecision::TooLate, left_ms <= 20);
    }
}
