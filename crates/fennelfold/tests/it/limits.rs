//! An entry bounds what callers have open, and says when to come back.

use crate::support::{Deployment, ORGANISATION, Settings, chat, eventually, headers};
use hyper::Method;
use std::time::Duration;

const CHAT: &str = "/v1/chat/completions";

#[tokio::test(flavor = "multi_thread")]
async fn a_request_above_the_bound_is_told_at_once_when_to_come_back() {
    let settings = Settings {
        step: Duration::from_millis(20),
        extra: "[limits]\nopen = 2\n",
        ..Settings::default()
    };
    let deployment = Deployment::start(settings).await;
    let body = || chat("Long", 100, true);
    let first = deployment.send(0, Method::POST, CHAT, &headers("first"), body()).await;
    let second = deployment.send(0, Method::POST, CHAT, &headers("second"), body()).await;
    assert_eq!(
        (first.status(), second.status()),
        (200.try_into().unwrap(), 200.try_into().unwrap())
    );
    let third = deployment.send(0, Method::POST, CHAT, &headers("third"), body()).await;
    assert_eq!(third.headers()["retry-after"], "1");
    let (status, refused) = crate::support::read(third).await;
    assert_eq!((status, refused["code"].as_u64()), (503, Some(2008)), "{refused}");
    assert_eq!(
        (&refused["outcome"], &refused["retry_after_ms"]),
        (&"Rejected".into(), &1000.into())
    );
    drop(first);
    eventually("a place is free once a caller is gone", async || {
        let headers = headers("fourth");
        let fourth = deployment.send(0, Method::POST, CHAT, &headers, body()).await;
        fourth.status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_gives_its_place_back_before_its_request_ends() {
    let settings = Settings {
        step: Duration::from_millis(20),
        extra: "[limits]\nopen = 1\n\
                [service story]\nkind = model\nmodel = small\ndeadline = 10m\nmax_tokens = 100000\n",
        ..Settings::default()
    };
    let deployment = Deployment::start(settings).await;
    let story = chat("Without end", 100_000, false).replace("recall", "story");
    let headers_of_story = headers("story");
    let asking = deployment.send(0, Method::POST, CHAT, &headers_of_story, story);
    let begun = eventually("the story is begun", async || {
        deployment.engines.iter().any(|engine| engine.stats().tokens > 0)
    });
    // The connection ends with the request that is not waited for any longer.
    tokio::select! {
        _ = asking => panic!("the story has no end"),
        () = begun => {}
    }
    eventually("its place is free", async || {
        let headers = headers("next");
        deployment.ask(0, Method::POST, CHAT, &headers, chat("Hello", 3, false)).await.0 == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_a_plain_service_above_the_limit_is_told_to_have_run() {
    let settings = Settings { extra: "[limits]\nbody = 3MiB\n", ..Settings::default() };
    let deployment = Deployment::start(settings).await;
    // The service echoes the body as JSON, where each of these characters takes two bytes.
    let body = "\"".repeat(5 << 19);
    let path = "/v1/services/reminder";
    let (_, answer) = deployment.ask(0, Method::POST, path, &headers("large"), body).await;
    assert_eq!((&answer["code"], &answer["outcome"]), (&3001.into(), &"Unknown".into()));
    assert_eq!(deployment.plain.runs().values().sum::<u64>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_is_over_ends_with_a_number() {
    let settings = Settings { step: Duration::from_millis(5), ..Settings::default() };
    let deployment = Deployment::start(settings).await;
    // 1000 tokens take 5 s. Admission refuses what it sees to be late; the usual length of an answer
    // takes 1.3 s, so the last request is accepted and runs into its deadline.
    for (key, deadline, codes) in [
        ("none", "0", [2003, 2003]),
        ("too-short", "500", [2003, 2003]),
        ("short", "2000", [3005, 3001]),
    ] {
        let headers = [&headers(key)[..], &[("x-deadline-ms", deadline)]].concat();
        let body = chat("Too long", 1000, false);
        let (_, answer) = deployment.ask(0, Method::POST, CHAT, &headers, body).await;
        let code = answer["code"].as_u64().unwrap_or_default();
        assert!(codes.contains(&code), "{key}: {answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_finished_answer_is_forgotten_after_its_time() {
    let settings = Settings { extra: "[limits]\nkeep = 1s\n", ..Settings::default() };
    let deployment = Deployment::start(settings).await;
    let key = format!("{}kept", deployment.key_prefix(0).await);
    let body = chat("Hello", 3, false);
    assert_eq!(deployment.ask(0, Method::POST, CHAT, &headers(&key), body).await.0, 200);
    eventually("it is forgotten", async || {
        let path = format!("/v1/requests/{key}");
        let headers = [("x-organisation", ORGANISATION)];
        let (_, answer) = deployment.ask(0, Method::GET, &path, &headers, "").await;
        answer["code"] == 1010
    })
    .await;
}
