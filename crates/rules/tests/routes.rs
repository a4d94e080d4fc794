//! Which route, service and organisation a request falls to.

use rules::{Limits, Organisation, Quota, RetryPolicy, Route, Rules, Unit, WeightedService};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: 0,
        priority: 0,
        services: vec![
            WeightedService { service: "most".into(), weight: 9 },
            WeightedService { service: "few".into(), weight: 1 },
        ],
        max_attempts: 1,
        public: false,
        has_prompt: false,
    }
}

#[test]
fn the_longest_prefix_takes_the_request_in_whatever_order_routes_are_added() {
    for order in [["/a/", "/a/b/"], ["/a/b/", "/a/"]] {
        let mut rules = Rules::new(1, Limits::default());
        for prefix in order {
            rules = rules.with_route("host".into(), route(prefix, prefix));
        }
        assert_eq!(rules.find_route("host", "/a/b/c").expect("a route takes it").name, "/a/b/");
        assert_eq!(rules.find_route("host", "/a/c").expect("a route takes it").name, "/a/");
        assert!(rules.find_route("host", "/b").is_none());
        assert!(rules.find_route("other", "/a/b/c").is_none());
    }
}

#[test]
fn services_get_requests_by_their_weights() {
    let route = route("r", "/");
    let few = (0..1_000)
        .filter(|random| route.choose_service(*random).is_some_and(|s| s == "few"))
        .count();
    assert_eq!(few, 100);
    assert!(Route { services: Vec::new(), ..route }.choose_service(3).is_none());
}

#[test]
fn every_key_of_an_organisation_stands_for_it() {
    let organisation = Organisation { name: "org".into(), priority: Some(2), quota: None };
    let rules = Rules::new(1, Limits::default())
        .with_organisation(organisation, vec!["one".into(), "two".into()]);
    assert!(rules.requires_key);
    assert_eq!(rules.organisation_by_key("two").expect("it is known").name, "org");
    assert!(rules.organisation_by_key("three").is_none());
    assert!(rules.organisation_named("org").is_some());
}

#[test]
fn a_quota_of_tokens_counts_requests_without_tokens_by_a_fixed_cost() {
    let quota = Quota { unit: Unit::Tokens, per_s: 1.0, burst: 1.0, default_cost: 200.0 };
    assert_eq!(quota.cost(Some(1_540)), 1_540.0);
    assert_eq!(quota.cost(None), 200.0);
    assert_eq!(Quota { unit: Unit::Requests, ..quota }.cost(Some(9)), 1.0);
}
