//! Tests of retry budgets and admission.

use conf::Priority;
use kernel::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{
    AdmissionDecision, AdmissionPolicy, Choice, ChoiceReason, Requirements, RetryBudgets,
    RetryDecision,
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
        reason: ChoiceReason::InUse,
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
fn refuses_a_request_that_cannot_end_before_its_deadline() {
    assert!(is_admitted(Priority::High, 100.0, 2_100.0));
    assert!(!is_admitted(Priority::High, 100.0, 2_000.0));
}

#[test]
fn a_refusal_returns_the_time_to_retry_after() {
    let decision =
        AdmissionPolicy::default().decide(&requirements(Priority::Low, 1e6), &choice(5_350.0));
    let AdmissionDecision::Refuse(after_ms) = decision else { panic!("the request was admitted") };
    assert!((5_000..=10_000).contains(&after_ms), "{after_ms}");
}

fn proptest_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn admits_a_higher_priority_whenever_a_lower_one_is_admitted(
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
        for (is_retry, organisation) in steps {
            if is_retry {
                let retry = budgets.try_retry(&names[organisation], 1_000, 20);
                retries[organisation] += f64::from(u8::from(retry == RetryDecision::Now));
            } else {
                budgets.record_request(&names[organisation]);
                requests[organisation] += 1.0;
            }
        }
        for organisation in 0..2 {
            prop_assert!(retries[organisation] <= 10.0 + share * requests[organisation] + 1e-6);
        }
    }

    #[test]
    fn does_not_retry_after_the_deadline(left_ms in 0_u64..40) {
        let retry = RetryBudgets::new(1.0).try_retry(&"nadia".into(), left_ms, 20);
        prop_assert_eq!(retry == RetryDecision::TooLate, left_ms <= 20);
    }
}
