//! Distribution of the configuration between entries over loopback, with and without the platform.

use crate::entries::{Entry, EntryOptions};
use crate::fake_kv::{FakeKv, FaultyClient};
use crate::fault_case::{entry, proposal};
use kernel::Kernel;
use kernel::prelude::*;
use std::net::SocketAddr;

fn options(name: &'static str, seeds: &[SocketAddr], kv: &Arc<FaultyClient>) -> EntryOptions {
    let seeds = seeds.to_vec();
    EntryOptions {
        name,
        data_centre: "north",
        seeds,
        kv: kv.clone(),
        failing_replies: 0,
        sync_disabled: false,
    }
}

fn client(kv: &Arc<FakeKv>) -> Arc<FaultyClient> {
    FaultyClient::new(kv.clone(), BTreeMap::new())
}

fn unreachable_client(kv: &Arc<FakeKv>) -> Arc<FaultyClient> {
    let client = client(kv);
    client.set_unreachable(true);
    client
}

#[tokio::test]
async fn fetch_of_a_generation_is_retried_after_a_peer_failure() {
    let kv = FakeKv::new(None);
    let source =
        Entry::start(EntryOptions { failing_replies: 3, ..options("source", &[], &client(&kv)) });
    let other = Entry::start(options("other", &[source.address], &unreachable_client(&kv)));
    source.configuration.accept(proposal(0, "first", 1)).await.unwrap();
    assert!(other.reaches(1).await, "generation 1 is not active within 16 s");
}

#[tokio::test]
async fn one_entry_per_data_centre_watches_the_platform() {
    let kv = FakeKv::new(None);
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut entries: Vec<Entry> = Vec::new();
    for (index, name) in names.into_iter().enumerate() {
        let seeds: Vec<SocketAddr> = entries.iter().take(1).map(|entry| entry.address).collect();
        let data_centre = if index < 4 { "north" } else { "south" };
        let options = EntryOptions { data_centre, ..options(name, &seeds, &client(&kv)) };
        entries.push(Entry::start(options));
    }
    entries[0].configuration.accept(proposal(0, "first", 1)).await.unwrap();
    for entry in &entries {
        assert!(entry.reaches(1).await, "generation 1 is not active within 16 s");
    }
    let settled = async {
        while kv.watch_count() != 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let settled = tokio::time::timeout(Duration::from_secs(16), settled).await;
    assert!(
        settled.is_ok(),
        "{} pending watches, expected one for each of two data centres",
        kv.watch_count()
    );
}

#[tokio::test]
async fn entry_restarted_during_an_outage_serves_the_highest_generation_of_its_peers() {
    let kv = FakeKv::new(None);
    let newest = Entry::start(options("newest", &[], &client(&kv)));
    newest.configuration.accept(proposal(0, "first", 1)).await.unwrap();
    let lagging_options = options("lagging", &[newest.address], &unreachable_client(&kv));
    let lagging = Entry::start(EntryOptions { sync_disabled: true, ..lagging_options });
    let first = newest.configuration.current().unwrap();
    lagging.configuration.activate(first.head.clone(), first.body.text.clone()).unwrap();
    newest.configuration.accept(proposal(1, "second", 2)).await.unwrap();
    let restarted =
        Entry::start(options("restarted", &[lagging.address], &unreachable_client(&kv)));
    let serving = async {
        while restarted.configuration.confirmed().is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(16), serving)
        .await
        .expect("the restarted entry serves");
    assert_eq!(restarted.configuration.generation(), 2);
}

#[tokio::test(start_paused = true)]
async fn isolated_entry_rejects_requests_until_it_is_reconnected() {
    let kv = FakeKv::new(None);
    let client = client(&kv);
    let isolated = entry(client.clone());
    let kernel = Kernel::new();
    tokio::spawn(isolated.clone().run(kernel.stop_signal()));
    isolated.accept(proposal(0, "first", 1)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    isolated.confirmed().unwrap();
    client.set_unreachable(true);
    tokio::time::sleep(Duration::from_secs(17)).await;
    let failure = isolated.confirmed().unwrap_err();
    assert_eq!(failure.code, Code::NoConfiguration);
    assert_eq!(isolated.current().unwrap().head.generation, 1);
    client.set_unreachable(false);
    tokio::time::sleep(Duration::from_secs(8)).await;
    isolated.confirmed().unwrap();
    kernel.stop();
}
