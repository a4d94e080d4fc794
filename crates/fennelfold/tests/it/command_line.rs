//! The command line explains itself, and fails with numbered errors.

use crate::support::{Deployment, FENNELFOLD, Settings, err, fennelfold, out};
use serde_json::json;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

/// Every subcommand.
const SUBCOMMANDS: &[&[&str]] = &[
    &["entry"],
    &["config", "check"],
    &["config", "show"],
    &["config", "diff"],
    &["config", "apply"],
    &["config", "history"],
    &["where"],
    &["call"],
    &["status"],
    &["explain"],
    &["relay"],
    &["story"],
    &["drain"],
    &["completions"],
];

#[tokio::test]
async fn the_help_of_each_subcommand_shows_an_example_of_it() {
    for subcommand in SUBCOMMANDS {
        let help = out(&fennelfold(&[subcommand, &["--help"][..]].concat()).await);
        let example = format!("fennelfold {} ", subcommand.join(" "));
        let examples = help.split("Example").nth(1).unwrap_or_default();
        assert!(examples.contains(&example), "no example of {subcommand:?} in {help}");
    }
}

#[tokio::test]
async fn completions_for_each_shell_name_every_subcommand() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let completions = out(&fennelfold(&["completions", shell]).await);
        for name in
            ["entry", "config", "where", "call", "status", "explain", "drain", "relay", "story"]
        {
            assert!(completions.contains(name), "{name} for {shell}");
        }
    }
}

#[tokio::test]
async fn a_misspelt_option_is_refused_with_usage() {
    let refused = fennelfold(&["where", "--entyr", "127.0.0.1:1"]).await;
    assert_eq!(refused.status.code(), Some(2));
    assert!(err(&refused).contains("--entry"), "{}", err(&refused));
}

#[tokio::test]
async fn an_entry_that_does_not_answer_is_a_numbered_failure() {
    // Port 1 of an address that no deployment uses.
    for command in [&["where"][..], &["status"], &["drain", "engine-1"], &["config", "show"]] {
        let failed = fennelfold(&[command, &["--entry", "127.255.0.1:1"]].concat()).await;
        assert_eq!(failed.status.code(), Some(10), "{failed:?}");
        assert!(err(&failed).starts_with("fennelfold: FF-5004: "), "{failed:?}");
    }
}

#[tokio::test]
async fn printing_to_a_closed_pipe_ends_without_a_panic() {
    let shells = ["bash", "zsh", "fish"];
    for shell in shells {
        let mut child = Command::new(FENNELFOLD)
            .args(["completions", shell])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        drop(child.stdout.take());
        let ended = child.wait_with_output().unwrap();
        assert!(!err(&ended).contains("panicked"), "{}", err(&ended));
        assert!(ended.status.success(), "{ended:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_closed_pipe_ends_without_a_panic() {
    let deployment = Deployment::start(Settings::default()).await;
    let entries = deployment.addresses();
    let call = ["call", "--organisation", "friends", "--model", "recall", "--tokens", "50", "Hi"];
    for args in [&["status"][..], &["where"], &["config", "show"], &["config", "history"], &call] {
        let mut child = Command::new(FENNELFOLD)
            .args(args)
            .args(["--entry", &entries])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        drop(child.stdout.take());
        let ended = tokio::task::spawn_blocking(move || child.wait_with_output().unwrap());
        let ended = ended.await.unwrap();
        assert!(!err(&ended).contains("panicked"), "{args:?}: {}", err(&ended));
        assert!(ended.status.success(), "{args:?}: {ended:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_entries_and_backend_servers() {
    let deployment = Deployment::start(Settings::default()).await;
    let status = out(&deployment.run(&["status"]).await);
    assert!(status.starts_with("entry entry-0."), "{status}");
    assert!(status.contains(" ready yes generation 1 "), "{status}");
    assert_eq!(status.matches(" alive\n").count(), 3, "{status}");
    for server in ["engine-0", "engine-1", "plain-0"] {
        assert!(status.contains(&format!("  server {server} north live ")), "{status}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_asks_the_home_of_the_key_and_tells_each_decision() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}explained", deployment.key_prefix(1).await);
    let answered =
        deployment.call(&["--model", "recall", "--tokens", "3", "--key", &key, "Why?"]).await;
    assert!(answered.status.success());
    for entry in &deployment.entries {
        let entry = entry.http.to_string();
        let args = ["explain", "--organisation", "friends", "--entry", &entry, &key];
        let explained = out(&fennelfold(&args).await);
        assert!(explained.contains("entry-1."), "at {entry}: {explained}");
        assert!(explained.contains(": owner "), "at {entry}: {explained}");
        assert!(explained.contains(": witness "), "at {entry}: {explained}");
        assert!(explained.contains("attempt 1 at engine-"), "at {entry}: {explained}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn explaining_an_unknown_key_is_a_numbered_failure() {
    let deployment = Deployment::start(Settings::default()).await;
    let unknown = deployment.run(&["explain", "--organisation", "friends", "no-such-key"]).await;
    assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    assert!(err(&unknown).contains("FF-1010"), "{unknown:?}");
    let malformed = deployment.run(&["explain", "--organisation", "friends", "a key/?"]).await;
    assert!(err(&malformed).contains("FF-1008"), "{malformed:?}");
}

/// A stand-in for two entries: the first breaks off, the second takes only what goes on from there.
async fn broken_stream(req: web::Request, addresses: [SocketAddr; 2]) -> web::Reply {
    let event = |id: &str, text: &str| {
        let data = json!({"choices": [{"delta": {"content": text}}]});
        format!("id: {id}\ndata: {data}\n\n")
    };
    let (path, seen) = (req.uri().path(), req.headers().get("last-event-id"));
    let text = match (path, seen.and_then(|seen| seen.to_str().ok())) {
        ("/v1/entries", _) => {
            let entry = |n: usize| {
                json!({"name": format!("e{n}"), "address": addresses[n], "data_centre": "north",
                    "key_prefix": "ff1.e0.1.e1.1."})
            };
            return web::json(200, &json!({"entries": [entry(0), entry(1)], "valid_for_ms": 1}));
        }
        ("/v1/chat/completions", None) => event("1-ab", "one ") + &event("2-ab", "two "),
        (path, Some("2-ab")) if path.starts_with("/v1/requests/ff1.e0.1.e1.1.") => {
            event("3-ab", "three") + "data: [DONE]\n\n"
        }
        other => panic!("not what a call sends: {other:?}"),
    };
    let body = web::stream(futures::stream::iter([bytes::Bytes::from(text)]));
    let mut reply = web::Reply::new(body);
    reply.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
    reply
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_goes_on_at_the_next_entry_after_the_last_event_it_saw() {
    let (tx, rx) = tokio::sync::watch::channel(None);
    let handler = move |req| {
        let mut rx = rx.clone();
        async move {
            let addresses = *rx.wait_for(Option::is_some).await.unwrap();
            Ok(broken_stream(req, addresses.unwrap()).await)
        }
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let first = standin::start(any, handler.clone()).await.unwrap();
    let second = standin::start(any, handler).await.unwrap();
    tx.send_replace(Some([first.address, second.address]));
    let entry = first.address.to_string();
    let args = ["call", "--organisation", "friends", "--model", "m", "--entry", &entry, "Count"];
    let called = fennelfold(&args).await;
    assert_eq!(out(&called), "one two three\n", "{}", err(&called));
}
