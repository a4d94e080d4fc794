//! Cloud API, VM list, weight store and plain service, by the adapters that fennelfold uses.

#![allow(clippy::unwrap_used, reason = "a step that fails ends its test")]

use backend::{Plain as Client, PlainServices, Tag};
use infra::{
    Cloud, HttpCloud, HttpVmList, HttpWeightStore, Market, Price, StartVm, VmList, VmRole, VmState,
    WeightStore, Weights,
};
use kernel::{Code, Failure, Key, NodeId};
use standin::platform_api::{Faults, Platform, Reclaim};
use standin::{Running, plain, weights};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use web::{Reply, Request};

const SOON: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(30);

async fn start<T, F, R>(standin: &Arc<T>, handle: F) -> Running
where
    T: Send + Sync + 'static,
    F: Fn(Arc<T>, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let standin = standin.clone();
    let handler = move |req| handle(standin.clone(), req);
    standin::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap()
}

fn wanted(token: &str) -> StartVm {
    StartVm {
        token: token.into(),
        data_centre: "north".into(),
        class: "large".into(),
        reclaimable: true,
        role: VmRole::Model,
        serves: vec!["small".into()],
    }
}

fn price() -> Price {
    Price { data_centre: "north".into(), class: "large".into(), reclaimable: true, per_hour: 1.25 }
}

#[tokio::test]
async fn a_vm_is_started_once_for_each_token_at_the_present_price() {
    let platform = Platform::new(Vec::new(), Duration::ZERO);
    let running = start(&platform, Platform::handle).await;
    platform.set_prices(vec![price()]);
    let cloud = HttpCloud::new(running.address, Duration::ZERO);
    assert_eq!(cloud.prices().await.unwrap(), [price()]);
    let first = cloud.start(&wanted("t-1")).await.unwrap();
    assert_eq!((first.price_per_hour, first.state), (1.25, VmState::Live));
    assert_eq!(cloud.start(&wanted("t-1")).await.unwrap(), first);
    assert_ne!(cloud.start(&wanted("t-2")).await.unwrap().name, first.name);
    let list = HttpVmList::new(running.address, LONG);
    assert_eq!(list.list().await.unwrap().len(), 2);
    cloud.stop(&first.name).await.unwrap();
    cloud.stop(&first.name).await.unwrap();
    assert_eq!(list.list().await.unwrap().len(), 1);
}

#[tokio::test]
async fn a_start_is_refused_and_one_whose_answer_is_lost_is_found_by_its_token() {
    let platform = Platform::new(Vec::new(), Duration::ZERO);
    let running = start(&platform, Platform::handle).await;
    let cloud = HttpCloud::new(running.address, Duration::ZERO);
    platform.set_faults(Faults { refuse_starts: 1, ..Faults::default() });
    assert_eq!(cloud.start(&wanted("t-1")).await.unwrap_err().code, Code::VmRefused);
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    assert_eq!(cloud.start(&wanted("t-1")).await.unwrap_err().code, Code::PlatformUnreachable);
    let found = cloud.start(&wanted("t-1")).await.unwrap();
    let listed = HttpVmList::new(running.address, LONG).list().await.unwrap();
    assert_eq!(listed, [found]);
}

#[tokio::test]
async fn a_notice_comes_at_once_and_the_list_follows_after_its_lag() {
    let platform = Platform::new(Vec::new(), LONG);
    let running = start(&platform, Platform::handle).await;
    let cloud = HttpCloud::new(running.address, LONG);
    let vm = cloud.start(&wanted("t-1")).await.unwrap();
    let waiting = cloud.notices(0, LONG.as_millis() as u64);
    let reclaiming = async { platform.reclaim(Reclaim { vm: vm.name.clone(), in_ms: 500 }) };
    let (notices, ()) = tokio::join!(waiting, reclaiming);
    assert_eq!(notices.unwrap()[0].vm, vm.name);
    assert!(cloud.notices(1, 0).await.unwrap().is_empty());
    let listed = HttpVmList::new(running.address, LONG).list().await.unwrap();
    assert_eq!(listed[0].state, VmState::Live);
}

#[tokio::test]
async fn the_weight_store_queues_transfers_and_refuses_a_long_queue() {
    let held = Weights { model: "small".into(), version: "1".into(), bytes: 10_000 };
    let store = weights::WeightStore::new(vec![held.clone()], 1000, Duration::from_secs(5));
    let running = start(&store, weights::WeightStore::handle).await;
    let client = HttpWeightStore::new(running.address, LONG);
    assert_eq!(client.list().await.unwrap(), std::slice::from_ref(&held));
    assert!(client.pull(&held).await.unwrap() >= Duration::from_secs(10));
    let busy = client.pull(&held).await.unwrap_err();
    assert_eq!(busy.code, Code::WeightsBusy);
    assert!(busy.retry_after.unwrap() > Duration::from_secs(1), "{busy:?}");
    let unknown = Weights { version: "2".into(), ..held };
    assert_eq!(client.pull(&unknown).await.unwrap_err().code, Code::PlatformUnreachable);
}

#[tokio::test]
async fn a_plain_service_counts_runs_by_key_even_when_the_answer_is_lost_or_crossed() {
    let service = plain::Plain::new(Duration::ZERO);
    let running = start(&service, plain::Plain::handle).await;
    let client = Client::new(1 << 20);
    let tag = |name: &str| Tag {
        key: Key::new("friends", name),
        owner: NodeId::new("entry", 1),
        attempt: 1,
    };
    let call = async |name: &str, limit: Duration| {
        client.call(running.address, "/reminder", &tag(name), "{}".into(), limit).await
    };
    assert_eq!(call("a", LONG).await.unwrap().status, 200);
    service.set_faults(plain::Faults { lose_answers: 1, ..plain::Faults::default() });
    assert_eq!(call("b", SOON).await.unwrap_err().code, Code::BackendBroke);
    service.set_faults(plain::Faults { cross_answers: 1, ..plain::Faults::default() });
    assert_eq!(call("c", LONG).await.unwrap_err().code, Code::Incomplete);
    let runs: Vec<u64> = ["a", "b", "c"].iter().map(|key| service.runs()[*key]).collect();
    assert_eq!(runs, [1, 1, 1]);
}
