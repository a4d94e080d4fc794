//! Dissemination between entries over loopback, with and without the platform.

use crate::cell::{entry, offer};
use crate::entries::{Entry, Start};
use crate::kv::{Client, Model};
use kernel::Kernel;
use kernel::prelude::*;
use std::net::SocketAddr;

fn start(name: &'static str, seeds: &[SocketAddr], kv: &Arc<Client>) -> Start {
    let seeds = seeds.to_vec();
    Start { name, data_centre: "north", seeds, kv: kv.clone(), fails: 0, frozen: false }
}

fn client(model: &Arc<Model>) -> Arc<Client> {
    Client::new(model.clone(), BTreeMap::new())
}

fn cut_off(model: &Arc<Model>) -> Arc<Client> {
    let client = client(model);
    client.set_down(true);
    client
}

#[tokio::test]
async fn a_generation_that_a_peer_failed_to_hand_over_is_fetched_again() {
    let model = Model::new(None);
    let source = Entry::start(Start { fails: 3, ..start("source", &[], &client(&model)) });
    let other = Entry::start(start("other", &[source.address], &cut_off(&model)));
    source.configuration.accept(offer(0, "first", 1)).await.unwrap();
    assert!(other.reaches(1).await, "generation 1 is not in force within 16 s");
}

#[tokio::test]
async fn one_entry_of_a_data_centre_watches_the_platform() {
    let model = Model::new(None);
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut entries: Vec<Entry> = Vec::new();
    for (place, name) in names.into_iter().enumerate() {
        let seeds: Vec<SocketAddr> = entries.iter().take(1).map(|entry| entry.address).collect();
        let data_centre = if place < 4 { "north" } else { "south" };
        let start = Start { data_centre, ..start(name, &seeds, &client(&model)) };
        entries.push(Entry::start(start));
    }
    entries[0].configuration.accept(offer(0, "first", 1)).await.unwrap();
    for entry in &entries {
        assert!(entry.reaches(1).await, "generation 1 is not in force within 16 s");
    }
    let settled = async {
        while model.watches() != 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let settled = tokio::time::timeout(Duration::from_secs(16), settled).await;
    assert!(settled.is_ok(), "{} watches wait, two data centres", model.watches());
}

#[tokio::test]
async fn an_entry_restarted_in_an_outage_serves_the_highest_generation_of_its_peers() {
    let model = Model::new(None);
    let newest = Entry::start(start("newest", &[], &client(&model)));
    newest.configuration.accept(offer(0, "first", 1)).await.unwrap();
    let start_lagging = start("lagging", &[newest.address], &cut_off(&model));
    let lagging = Entry::start(Start { frozen: true, ..start_lagging });
    let first = newest.configuration.current().unwrap();
    lagging.configuration.activate(first.head.clone(), first.body.text.clone()).unwrap();
    newest.configuration.accept(offer(1, "second", 2)).await.unwrap();
    let restarted = Entry::start(start("restarted", &[lagging.address], &cut_off(&model)));
    let serves = async {
        while restarted.configuration.confirmed().is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(16), serves).await.expect("it serves");
    assert_eq!(restarted.configuration.generation(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_reaches_nobody_stops_taking_requests_and_goes_on_afterwards() {
    let model = Model::new(None);
    let kv = client(&model);
    let alone = entry(kv.clone());
    let kernel = Kernel::new();
    tokio::spawn(alone.clone().run(kernel.stop_signal()));
    alone.accept(offer(0, "first", 1)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    alone.confirmed().unwrap();
    kv.set_down(true);
    tokio::time::sleep(Duration::from_secs(17)).await;
    let refused = alone.confirmed().unwrap_err();
    assert_eq!(refused.code, Code::NoConfiguration);
    assert_eq!(alone.current().unwrap().head.generation, 1);
    kv.set_down(false);
    tokio::time::sleep(Duration::from_secs(8)).await;
    alone.confirmed().unwrap();
    kernel.stop();
}
