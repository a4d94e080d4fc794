//! The key-value service, by the adapter that fennelfold uses.

#![allow(clippy::unwrap_used, reason = "a step that fails ends its test")]

use infra::{Etcd, Kv as _, Swap};
use kernel::Code;
use standin::Running;
use standin::kv::{Faults, Kv};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const SOON: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(30);

async fn start() -> (Arc<Kv>, Running, Etcd) {
    let kv = Kv::new();
    let handling = kv.clone();
    let handler = move |req| handling.clone().handle(req);
    let running = standin::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    let client = Etcd::new(running.address, LONG);
    (kv, running, client)
}

#[tokio::test]
async fn a_swap_takes_effect_only_at_the_expected_revision() {
    let (_kv, _running, client) = start().await;
    let Swap::Done(revision) = client.swap("k", 0, "one".into(), None).await.unwrap() else {
        panic!("the key did not exist");
    };
    let other = client.swap("k", 0, "two".into(), None).await.unwrap();
    assert!(matches!(other, Swap::Other(Some(stored)) if stored.value == "one"));
    assert!(matches!(client.swap("k", revision, "two".into(), None).await.unwrap(), Swap::Done(_)));
    assert_eq!(client.get("k").await.unwrap().unwrap().value, "two");
    assert_eq!(client.get("none").await.unwrap(), None);
}

#[tokio::test]
async fn a_range_lists_the_keys_of_a_prefix() {
    let (_kv, _running, client) = start().await;
    for key in ["a/1", "a/2", "b/1"] {
        client.swap(key, 0, "v".into(), None).await.unwrap();
    }
    let listed = client.range("a/").await.unwrap();
    let keys: Vec<&str> = listed.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
}

#[tokio::test]
async fn a_watch_returns_the_next_change() {
    let (kv, _running, client) = start().await;
    let Swap::Done(revision) = client.swap("k", 0, "one".into(), None).await.unwrap() else {
        panic!("the key did not exist");
    };
    let changing = async {
        while kv.stats().watches == 0 {
            tokio::task::yield_now().await;
        }
        client.swap("k", revision, "two".into(), None).await.unwrap();
    };
    let (changed, ()) = tokio::join!(client.changed("k", revision), changing);
    assert_eq!(changed.unwrap().value, "two");
}

#[tokio::test]
async fn a_key_goes_with_its_lease() {
    let (_kv, _running, client) = start().await;
    let lease = client.grant(3).await.unwrap();
    client.swap("k", 0, "v".into(), Some(lease)).await.unwrap();
    assert!(client.renew(lease).await.unwrap());
    assert!(client.get("k").await.unwrap().is_some());
    while client.get("k").await.unwrap().is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(!client.renew(lease).await.unwrap());
}

#[tokio::test]
async fn nothing_is_answered_and_nothing_takes_effect_during_an_outage() {
    let (kv, running, client) = start().await;
    let hasty = Etcd::new(running.address, SOON);
    kv.set_faults(Faults { outage: true, ..Faults::default() });
    let refused = hasty.swap("k", 0, "v".into(), None).await.unwrap_err();
    assert_eq!(refused.code, Code::PlatformUnreachable);
    kv.set_faults(Faults::default());
    assert_eq!(client.get("k").await.unwrap(), None);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_has_taken_effect() {
    let (kv, running, client) = start().await;
    let hasty = Etcd::new(running.address, SOON);
    kv.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let lost = hasty.swap("k", 0, "v".into(), None).await.unwrap_err();
    assert_eq!(lost.code, Code::PlatformUnreachable);
    assert_eq!(client.get("k").await.unwrap().unwrap().value, "v");
}

#[tokio::test]
async fn a_slow_service_answers_late_and_calls_are_counted() {
    let (kv, running, client) = start().await;
    let hasty = Etcd::new(running.address, SOON);
    kv.set_faults(Faults { slow_ms: 3000, ..Faults::default() });
    assert!(hasty.get("k").await.is_err());
    assert!(client.get("k").await.is_ok());
    client.swap("k", 0, "v".into(), None).await.unwrap();
    let stats = kv.stats();
    assert!(stats.reads >= 1 && stats.writes == 1, "{stats:?}");
}
