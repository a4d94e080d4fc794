//! Choice of the route, the service and the organisation of a request.

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
            WeightedService { service: "large".into(), weight: 9 },
            WeightedService { service: "small".into(), weight: 1 },
        ],
        max_attempts: 1,
        public: false,
        has_prompt: false,
    }
}

#[test]
fn the_route_with_the_longest_prefix_matches_regardless_of_insertion_order() {
    for order in [["/a/", "/a/b/"], ["/a/b/", "/a/"]] {
        let mut rules = Rules::new(1, Limits::default());
        for prefix in order {
            rules = rules.with_route("host".into(), route(prefix, prefix));
        }
        assert_eq!(rules.find_route("host", "/a/b/c").expect("a route matches").name, "/a/b/");
        assert_eq!(rules.find_route("host", "/a/c").expect("a route matches").name, "/a/");
        assert!(rules.find_route("host", "/b").is_none());
        assert!(rules.find_route("other", "/a/b/c").is_none());
    }
}

#[test]
fn services_are_chosen_by_weight() {
    let route = route("r", "/");
    let small = (0..1_000)
        .filter(|random| route.choose_service(*random).is_some_and(|s| s == "small"))
        .count();
    assert_eq!(small, 100);
    assert!(Route { services: Vec::new(), ..route }.choose_service(3).is_none());
}

#[test]
fn an_organisation_is_found_by_each_of_its_keys() {
    let organisation = Organisation { name: "org".into(), priority: Some(2), quota: None };
    let rules = Rules::new(1, Limits::default())
        .with_organisation(organisation, vec!["one".into(), "two".into()]);
    assert!(rules.requires_key);
    assert_eq!(rules.organisation_by_key("two").expect("the key is known").name, "org");
    assert!(rules.organisation_by_key("three").is_none());
    assert!(rules.organisation_named("org").is_some());
}

#[test]
fn requests_without_a_token_count_have_the_default_cost() {
    let quota = Quota { unit: Unit::Tokens, per_s: 1.0, burst: 1.0, default_cost: 200.0 };
    assert_eq!(quota.cost(Some(1_540)), 1_540.0);
    assert_eq!(quota.cost(None), 200.0);
    assert_eq!(Quota { unit: Unit::Requests, ..quota }.cost(Some(9)), 1.0);
}
