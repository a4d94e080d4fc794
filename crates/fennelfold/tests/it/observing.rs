//! Operators see what an entry does: log lines, metrics and probes.

use crate::support::{Deployment, Settings, chat, eventually, headers};
use hyper::Method;
use serde_json::Value;

const CHAT: &str = "/v1/chat/completions";

async fn text(deployment: &Deployment, n: usize, path: &str) -> String {
    let answer = deployment.send(n, Method::GET, path, &[], "").await;
    let body = web::read_limited(answer.into_body(), 1 << 22).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_routing_decision_has_a_line_with_its_reason() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}logged", deployment.key_prefix(0).await);
    let answer =
        deployment.ask(0, Method::POST, CHAT, &headers(&key), chat("Hello", 3, false)).await;
    assert_eq!(answer.0, 200);
    let mut routed = Value::Null;
    eventually("the line is written", async || {
        let log = deployment.entries[0].log();
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let mut lines = lines.filter(|line| {
            line["msg"] == "routed" && line["key"].as_str().is_some_and(|k| k.ends_with(&key))
        });
        routed = lines.next().unwrap_or_default();
        routed.is_object()
    })
    .await;
    for field in ["server", "reason", "predicted_ms", "candidates", "ts", "process"] {
        assert!(!routed[field].is_null(), "{field} in {routed}");
    }
    assert!(deployment.entries[0].log().lines().all(|line| line.starts_with('{')));
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_and_calls_to_the_platform() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}counted", deployment.key_prefix(0).await);
    let answer =
        deployment.ask(0, Method::POST, CHAT, &headers(&key), chat("Hello", 3, false)).await;
    assert_eq!(answer.0, 200);
    let metrics = text(&deployment, 0, "/metrics").await;
    for line in [
        "fennelfold_requests_accepted_total",
        "fennelfold_requests_ended_total{ending=\"answered\"",
        "fennelfold_first_token_seconds_count",
        "fennelfold_platform_calls_total{result=\"answered\",service=\"VM list\"",
        "fennelfold_platform_calls_total{result=\"answered\",service=\"key-value service\"",
    ] {
        assert!(metrics.lines().any(|found| found.starts_with(line)), "{line} in\n{metrics}");
    }
    let described = |line: &&str| line.starts_with("# HELP fennelfold_");
    let undescribed = |line: &&str| described(line) && line.split(' ').count() < 4;
    assert_eq!(metrics.lines().find(undescribed), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_that_callers_are_told_are_counted_by_code() {
    let deployment = Deployment::start(Settings::default()).await;
    for _ in 0..2 {
        let unknown = chat("Hello", 3, false).replace("recall", "huge");
        let answer = deployment.ask(0, Method::POST, CHAT, &headers("k"), unknown).await;
        assert_eq!(answer.0, 404);
    }
    let metrics = text(&deployment, 0, "/metrics").await;
    let counted = metrics.lines().find(|line| {
        line.starts_with("fennelfold_failures_total{") && line.contains("code=\"1004\"")
    });
    assert!(counted.is_some_and(|line| line.ends_with(" 2")), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn probes_tell_life_and_readiness() {
    let deployment = Deployment::start(Settings::default()).await;
    assert_eq!(text(&deployment, 0, "/healthz").await, "ok\n");
    assert_eq!(text(&deployment, 0, "/readyz").await, "ready\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_stays_ready_through_an_outage_of_the_platform() {
    let deployment = Deployment::start(Settings::default()).await;
    deployment.kv.set_faults(standin::kv::Faults { outage: true, ..Default::default() });
    let key = format!("{}outage", deployment.key_prefix(0).await);
    let (status, answer) =
        deployment.ask(0, Method::POST, "/v1/services/reminder", &headers(&key), "{}").await;
    assert_eq!((status, &answer["run"]), (200, &1.into()), "{answer}");
    assert_eq!(text(&deployment, 0, "/readyz").await, "ready\n");
}
