//! An entry bounds what callers have open, and says when to come back.

use crate::support::{Deployment, Settings, chat, eventually, headers};
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
