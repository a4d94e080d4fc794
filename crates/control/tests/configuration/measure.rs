//! Measures the time from an offer to its being in force everywhere; run it by name with `--ignored`.

use crate::cell::offer;
use crate::entries::{Entry, Start};
use crate::kv::{Client, Model};
use futures::future::join_all;
use kernel::prelude::*;
use std::time::Instant;

const DATA_CENTRES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ENTRIES: usize = 35;
const CHANGES: u64 = 100;
/// Time between two changes, for the relays to watch again.
const BETWEEN: Duration = Duration::from_millis(1_500);

/// Entries of this process on loopback, each with a client of its own.
fn start_all(model: &Arc<Model>) -> (Vec<Entry>, Vec<Arc<Client>>) {
    let mut entries: Vec<Entry> = Vec::new();
    let mut clients = Vec::new();
    for place in 0..ENTRIES {
        let kv = Client::new(model.clone(), BTreeMap::new());
        let name: &'static str = Box::leak(format!("entry-{place}").into_boxed_str());
        let data_centre = DATA_CENTRES[place % DATA_CENTRES.len()];
        let seeds = entries.iter().take(2).map(|entry| entry.address).collect();
        clients.push(kv.clone());
        entries.push(Entry::start(Start { name, data_centre, seeds, kv, fails: 0, frozen: false }));
    }
    (entries, clients)
}

/// Offers, and returns the times until each entry has the generation in force.
async fn change(entries: &[Entry], clients: &[Arc<Client>], number: u64, down: bool) -> Duration {
    let started = Instant::now();
    let to = &entries[number as usize % entries.len()].configuration;
    to.accept(offer(number, &format!("change-{number}"), 1 + number)).await.expect("accepted");
    clients.iter().for_each(|client| client.set_down(down));
    let there = join_all(entries.iter().map(|entry| entry.reaches(number + 1))).await;
    let took = started.elapsed();
    assert!(there.into_iter().all(|there| there), "change {number} is not in force everywhere");
    clients.iter().for_each(|client| client.set_down(false));
    took
}

async fn measure(what: &str, down: bool) {
    let model = Model::new(None);
    let (entries, clients) = start_all(&model);
    tokio::time::sleep(Duration::from_secs(15)).await;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        times.push(change(&entries, &clients, number, down).await);
        tokio::time::sleep(BETWEEN).await;
    }
    times.sort();
    let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize];
    println!(
        "{what}: {ENTRIES} entries, {CHANGES} changes, p50 {:?}, p99 {:?}, worst {:?}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_until_in_force_everywhere_while_quiet() {
    measure("quiet", false).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_until_in_force_everywhere_with_the_platform_down_after_acceptance() {
    measure("platform down after acceptance", true).await;
}
