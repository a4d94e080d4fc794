//! Acceptance: what operators are told in single cases.

use crate::cell::{entry, offer};
use crate::kv::{Client, Model};
use kernel::prelude::*;

#[tokio::test(start_paused = true)]
async fn a_repeated_offer_is_accepted_although_a_later_one_replaced_it() {
    let kv = Client::new(Model::new(None), BTreeMap::new());
    let first = offer(0, "first", 1);
    entry(kv.clone()).accept(first.clone()).await.unwrap();
    entry(kv.clone()).accept(offer(1, "second", 2)).await.unwrap();
    let again = entry(kv.clone()).accept(first).await.unwrap();
    assert_eq!(again.head.generation, 1);
    assert_eq!(kv.model.heads().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_offer_without_a_nonce_is_invalid() {
    let kv = Client::new(Model::new(None), BTreeMap::new());
    let refused = entry(kv.clone()).accept(offer(0, "", 1)).await.unwrap_err();
    assert_eq!(refused.code, Code::ConfigInvalid);
    assert!(kv.model.heads().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_nonce_with_another_body_is_not_accepted() {
    let kv = Client::new(Model::new(None), BTreeMap::new());
    entry(kv.clone()).accept(offer(0, "mine", 1)).await.unwrap();
    let refused = entry(kv.clone()).accept(offer(0, "mine", 2)).await.unwrap_err();
    assert_eq!(refused.code, Code::ConfigConflict);
}

#[tokio::test(start_paused = true)]
async fn an_offer_on_an_unknown_generation_is_a_conflict() {
    let kv = Client::new(Model::new(None), BTreeMap::new());
    let refused = entry(kv.clone()).accept(offer(7, "mine", 1)).await.unwrap_err();
    assert_eq!(refused.code, Code::ConfigConflict);
}
