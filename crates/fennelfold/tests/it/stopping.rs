//! Planned stops cut no request short.

use crate::support::{Deployment, Settings, chat, eventually, headers, out};
use hyper::Method;
use standin::engine::expected_answer;
use std::time::Duration;

fn slow() -> Settings {
    Settings { step: Duration::from_millis(20), ..Settings::default() }
}

async fn running(deployment: &Deployment, tokens: u64) {
    eventually("tokens are generated", async || {
        deployment.engines.iter().map(|engine| engine.stats().tokens).sum::<u64>() >= tokens
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_lets_open_requests_finish_and_then_ends_the_process() {
    let mut deployment = Deployment::start(slow()).await;
    let key = format!("{}stopped", deployment.key_prefix(0).await);
    let headers = headers(&key);
    let asking = deployment.ask(
        0,
        Method::POST,
        "/v1/chat/completions",
        &headers,
        chat("Until the end", 150, false),
    );
    let stopping = async {
        running(&deployment, 10).await;
        deployment.entries[0].terminate();
    };
    let ((status, answer), ()) = tokio::join!(asking, stopping);
    assert_eq!(status, 200, "{answer}");
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(*content, expected_answer("Until the end", 150));
    assert_eq!(deployment.entries[0].exit_code().await, Some(0));
    let log = deployment.entries[0].log();
    assert!(log.contains(r#""msg":"leaving""#) && log.contains(r#""msg":"stopped""#), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_lets_an_open_stream_finish_on_its_connection() {
    let mut deployment = Deployment::start(slow()).await;
    let key = format!("{}streamed", deployment.key_prefix(0).await);
    let path = "/v1/chat/completions";
    let body = chat("To the last word", 100, true);
    let answer = deployment.send(0, Method::POST, path, &headers(&key), body).await;
    running(&deployment, 10).await;
    deployment.entries[0].terminate();
    let mut reader = web::Reader::events(answer.into_body());
    let mut text = String::new();
    loop {
        let event = reader.next().await.unwrap().expect("the stream goes on to its end");
        if event.data == "[DONE]" {
            break;
        }
        let value: serde_json::Value = serde_json::from_str(&event.data).unwrap();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    assert_eq!(text, expected_answer("To the last word", 100));
    assert_eq!(deployment.entries[0].exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_is_not_listed_and_says_so() {
    let mut deployment = Deployment::start(slow()).await;
    let key = format!("{}leaving", deployment.key_prefix(0).await);
    let headers_of_open = headers(&key);
    let body = chat("Still open", 150, false);
    let open = deployment.ask(0, Method::POST, "/v1/chat/completions", &headers_of_open, body);
    let looking = async {
        running(&deployment, 10).await;
        deployment.entries[0].terminate();
        eventually("it is not ready", async || {
            deployment.send(0, Method::GET, "/readyz", &[], "").await.status() == 503
        })
        .await;
        let (status, refused) =
            deployment.ask(0, Method::POST, "/v1/services/thumbnail", &headers("new"), "{}").await;
        assert_eq!((status, refused["code"].as_u64()), (503, Some(2004)), "{refused}");
        assert_eq!(refused["outcome"], "Rejected");
        eventually("it is not listed", async || {
            let (_, list) = deployment.ask(1, Method::GET, "/v1/entries", &[], "").await;
            !list.to_string().contains("\"entry-0\"")
        })
        .await;
    };
    let ((status, _), ()) = tokio::join!(open, looking);
    assert_eq!(status, 200);
    assert_eq!(deployment.entries[0].exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_finishes_its_work_and_gets_no_more_at_any_entry() {
    let deployment = Deployment::start(slow()).await;
    let headers_of_open = headers("before-the-drain");
    let path = "/v1/chat/completions";
    let open = deployment.ask(1, Method::POST, path, &headers_of_open, chat("Before", 100, false));
    let draining = async {
        running(&deployment, 5).await;
        let busy = deployment.engines.iter().position(|e| e.stats().requests > 0).unwrap();
        let drained = deployment.run(&["drain", &format!("engine-{busy}")]).await;
        assert_eq!(out(&drained), format!("engine-{busy} takes no new work\n"));
        for n in 0..3 {
            eventually("every entry knows", async || {
                let status = deployment.status(n).await.unwrap();
                let servers = status["servers"].as_array().unwrap().clone();
                servers
                    .iter()
                    .any(|s| s["name"] == format!("engine-{busy}") && s["leaving"] == true)
            })
            .await;
        }
        let before = deployment.engines[busy].stats().requests;
        for n in 0..6 {
            let key = format!("after-{n}");
            let body = chat("After", 3, false);
            let path = "/v1/chat/completions";
            let answer = deployment.ask(n % 3, Method::POST, path, &headers(&key), body).await;
            assert_eq!(answer.0, 200, "{}", answer.1);
        }
        assert_eq!(deployment.engines[busy].stats().requests, before);
    };
    let ((status, answer), ()) = tokio::join!(open, draining);
    assert_eq!(status, 200);
    assert_eq!(answer["choices"][0]["message"]["content"], expected_answer("Before", 100));
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_an_unknown_server_is_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let refused = deployment.run(&["drain", "no-such-server"]).await;
    assert_eq!(refused.status.code(), Some(2));
    assert!(crate::support::err(&refused).contains("FF-1003"), "{refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reclaimed_entry_gives_its_streams_away_before_it_ends() {
    let mut deployment = Deployment::start(slow()).await;
    let key = format!("{}reclaimed", deployment.key_prefix(0).await);
    let tokens = ["--model", "recall", "--tokens", "150", "--key", &key, "Moved"];
    let calling = deployment.call(&tokens);
    let reclaiming = async {
        running(&deployment, 10).await;
        deployment
            .platform
            .reclaim(standin::platform_api::Reclaim { vm: "entry-0".into(), in_ms: 3000 });
    };
    let (answer, ()) = tokio::join!(calling, reclaiming);
    assert_eq!(out(&answer), format!("{}\n", expected_answer("Moved", 150)), "{answer:?}");
    assert_eq!(deployment.entries[0].exit_code().await, Some(0));
}
