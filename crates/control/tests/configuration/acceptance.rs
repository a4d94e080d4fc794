//! Results of acceptance that operators receive in individual cases.

use crate::fake_kv::{FakeKv, FaultyClient};
use crate::fault_case::{entry, proposal};
use kernel::prelude::*;

#[tokio::test(start_paused = true)]
async fn resubmitted_proposal_is_reported_as_accepted_after_it_was_replaced() {
    let client = FaultyClient::new(FakeKv::new(None), BTreeMap::new());
    let first = proposal(0, "first", 1);
    entry(client.clone()).accept(first.clone()).await.unwrap();
    entry(client.clone()).accept(proposal(1, "second", 2)).await.unwrap();
    let resubmitted = entry(client.clone()).accept(first).await.unwrap();
    assert_eq!(resubmitted.head.generation, 1);
    assert_eq!(client.kv.heads().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn proposal_without_a_nonce_is_invalid() {
    let client = FaultyClient::new(FakeKv::new(None), BTreeMap::new());
    let failure = entry(client.clone()).accept(proposal(0, "", 1)).await.unwrap_err();
    assert_eq!(failure.code, Code::ConfigInvalid);
    assert!(client.kv.heads().is_empty());
}

#[tokio::test(start_paused = true)]
async fn reused_nonce_with_another_body_is_a_conflict() {
    let client = FaultyClient::new(FakeKv::new(None), BTreeMap::new());
    entry(client.clone()).accept(proposal(0, "mine", 1)).await.unwrap();
    let failure = entry(client.clone()).accept(proposal(0, "mine", 2)).await.unwrap_err();
    assert_eq!(failure.code, Code::ConfigConflict);
}

#[tokio::test(start_paused = true)]
async fn proposal_based_on_an_unknown_generation_is_a_conflict() {
    let client = FaultyClient::new(FakeKv::new(None), BTreeMap::new());
    let failure = entry(client.clone()).accept(proposal(7, "mine", 1)).await.unwrap_err();
    assert_eq!(failure.code, Code::ConfigConflict);
}
