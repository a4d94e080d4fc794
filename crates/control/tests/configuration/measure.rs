//! Measures the time from the submission of a proposal until it is active on all entries. Run by
//! name with `--ignored`.

use crate::entries::{Entry, EntryOptions};
use crate::fake_kv::{FakeKv, FaultyClient};
use crate::fault_case::proposal;
use futures::future::join_all;
use kernel::prelude::*;
use std::time::Instant;

const DATA_CENTRES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ENTRIES: usize = 35;
const CHANGES: u64 = 100;
/// Interval between two changes, in which the relays start to watch again.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Starts all entries in this process on loopback, each with its own client.
fn start_all(kv_service: &Arc<FakeKv>) -> (Vec<Entry>, Vec<Arc<FaultyClient>>) {
    let mut entries: Vec<Entry> = Vec::new();
    let mut clients = Vec::new();
    for index in 0..ENTRIES {
        let kv = FaultyClient::new(kv_service.clone(), BTreeMap::new());
        let name: &'static str = Box::leak(format!("entry-{index}").into_boxed_str());
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let seeds = entries.iter().take(2).map(|entry| entry.address).collect();
        clients.push(kv.clone());
        entries.push(Entry::start(EntryOptions {
            name,
            data_centre,
            seeds,
            kv,
            failing_replies: 0,
            sync_disabled: false,
        }));
    }
    (entries, clients)
}

/// Submits a proposal, and returns the time until it is active on all entries.
async fn time_change(
    entries: &[Entry],
    clients: &[Arc<FaultyClient>],
    number: u64,
    unreachable: bool,
) -> Duration {
    let started = Instant::now();
    let to = &entries[number as usize % entries.len()].configuration;
    to.accept(proposal(number, &format!("change-{number}"), 1 + number)).await.expect("accepted");
    clients.iter().for_each(|client| client.set_unreachable(unreachable));
    let reached = join_all(entries.iter().map(|entry| entry.reaches(number + 1))).await;
    let elapsed = started.elapsed();
    assert!(
        reached.into_iter().all(|reached| reached),
        "change {number} is not active on all entries"
    );
    clients.iter().for_each(|client| client.set_unreachable(false));
    elapsed
}

async fn measure(label: &str, unreachable: bool) {
    let kv_service = FakeKv::new(None);
    let (entries, clients) = start_all(&kv_service);
    tokio::time::sleep(Duration::from_secs(15)).await;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        times.push(time_change(&entries, &clients, number, unreachable).await);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    times.sort();
    let percentile = |share: f64| times[(share * (times.len() - 1) as f64) as usize];
    println!(
        "{label}: {ENTRIES} entries, {CHANGES} changes, p50 {:?}, p99 {:?}, max {:?}",
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_until_active_everywhere_without_faults() {
    measure("no faults", false).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_until_active_everywhere_with_the_platform_down_after_acceptance() {
    measure("platform down after acceptance", true).await;
}
