//! Callers get the whole answer to their own request.

use crate::support::{Deployment, Settings, chat, err, headers, out};
use hyper::Method;
use serde_json::json;
use standin::engine::expected_answer;

#[tokio::test(flavor = "multi_thread")]
async fn a_recall_arrives_whole_when_streamed_and_in_one_piece() {
    let deployment = Deployment::start(Settings::default()).await;
    let expected = format!("{}\n", expected_answer("Who is Mrs Sen?", 20));
    let streamed =
        deployment.call(&["--model", "recall", "--tokens", "20", "Who is Mrs Sen?"]).await;
    assert_eq!(out(&streamed), expected, "{}", err(&streamed));
    let args = ["--no-stream", "--model", "recall", "--tokens", "20", "Who is Mrs Sen?"];
    let whole = deployment.call(&args).await;
    assert_eq!(out(&whole), expected, "{}", err(&whole));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_runs_once_under_one_key() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}call-7", deployment.key_prefix(0).await);
    for n in 0..3 {
        let path = "/v1/services/reminder";
        let (status, answer) =
            deployment.ask(n, Method::POST, path, &headers(&key), r#"{"elder":7}"#).await;
        assert_eq!(
            (status, &answer["run"], &answer["echo"]),
            (200, &json!(1), &json!(r#"{"elder":7}"#))
        );
    }
    assert_eq!(deployment.plain.runs()[&key], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_the_caller_made_up_runs_once_at_whichever_entry_it_is_sent_to() {
    let deployment = Deployment::start(Settings::default()).await;
    for n in 0..3 {
        let (status, answer) = deployment
            .ask(n, Method::POST, "/v1/services/reminder", &headers("my-own-key"), "{}")
            .await;
        assert_eq!((status, &answer["run"]), (200, &json!(1)), "{answer}");
    }
    assert_eq!(deployment.plain.runs().values().sum::<u64>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_gets_the_rest_of_the_path() {
    let deployment = Deployment::start(Settings::default()).await;
    let (status, answer) = deployment
        .ask(1, Method::POST, "/v1/services/thumbnail/part/3", &headers("part-3"), "{}")
        .await;
    assert_eq!((status, &answer["path"]), (200, &json!("/thumbnail/part/3")));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_list_names_every_entry_with_its_address_and_how_long_to_keep_it() {
    let deployment = Deployment::start(Settings::default()).await;
    let (status, list) = deployment.ask(0, Method::GET, "/v1/entries", &[], "").await;
    assert_eq!((status, &list["valid_for_ms"]), (200, &json!(10_000)));
    let listed = list["entries"].as_array().unwrap();
    for entry in &deployment.entries {
        let found = listed.iter().find(|listed| listed["name"] == entry.name.as_str()).unwrap();
        assert_eq!(found["address"], entry.http.to_string());
        assert!(found["key_prefix"].as_str().unwrap().starts_with(&format!("ff1.{}.", entry.name)));
    }
    let printed = out(&deployment.run(&["where"]).await);
    assert!(printed.starts_with("valid for 10000 ms\n"), "{printed}");
    assert_eq!(printed.lines().count(), 4, "{printed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_answer_names_its_key_and_counts_its_tokens() {
    let deployment = Deployment::start(Settings::default()).await;
    let answer = deployment
        .send(
            0,
            Method::POST,
            "/v1/chat/completions",
            &headers("my-recall"),
            chat("Hello", 7, false),
        )
        .await;
    let key = answer.headers()["idempotency-key"].to_str().unwrap().to_owned();
    assert!(key.ends_with(".my-recall"), "{key}");
    let (_, value) = crate::support::read(answer).await;
    assert_eq!(value["usage"]["completion_tokens"], 7);
    assert_eq!(value["choices"][0]["message"]["content"], expected_answer("Hello", 7));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_key_gets_one_by_which_its_answer_is_found() {
    let deployment = Deployment::start(Settings::default()).await;
    let organisation = [("x-organisation", crate::support::ORGANISATION)];
    let path = "/v1/chat/completions";
    let answer =
        deployment.send(0, Method::POST, path, &organisation, chat("Hello", 3, false)).await;
    let key = answer.headers()["idempotency-key"].to_str().unwrap().to_owned();
    let path = format!("/v1/requests/{key}");
    let (status, again) = deployment.ask(1, Method::GET, &path, &organisation, "").await;
    assert_eq!((status, &again["id"]), (200, &json!(key)), "{again}");
}
