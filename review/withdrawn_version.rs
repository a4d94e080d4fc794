//! A new version of the servers comes and is withdrawn while the entry that keeps the history of versions is down.
//!
//! `withdrawn_version RECORD` runs the case; `withdrawn_version server ID VERSION` is a server. With `TROUBLE=0` the
//! entry is not killed.

#![allow(dead_code, reason = "each case uses a part of the shared modules")]

#[path = "second_entry.rs"]
mod entry;
#[path = "second_http.rs"]
mod http;
#[path = "second_json.rs"]
mod json;
#[path = "second_record.rs"]
mod record;
#[path = "second_store.rs"]
mod store;
#[path = "second_streams.rs"]
mod streams;

use entry::Entry;
use record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::Store;
use streams::{Server, Stream, call, run_server};

const ENTRIES: usize = 4;
/// With that of the new version there are eight, so that the one taken away is a share of 0.125.
const OLD_SERVERS: usize = 7;
/// Streams that begin while the new version serves.
const STREAMS: usize = 48;
/// Time for which the killed entry is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// Time for which the server of the new version is registered.
const REGISTERED: Duration = Duration::from_millis(1_500);
/// Time for which it serves after that: the drain time and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_300);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"drafts","hostname":"host.example","prefix":"/drafts/",
"kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,"gapAimMs":0,"priority":0,"service":"pool","maxAttempts":2,
"public":false,"sticky":false,"resumable":true}],"services":[{"name":"pool","healthPath":"/healthz","maxConns":360}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

/// Returns which entry wrote the history of versions, when no other writes it any more.
fn find_keeper(store: &Store) -> Option<usize> {
    let mut keeper = None;
    for _ in 0..40 {
        std::thread::sleep(Duration::from_millis(100));
        for seen in store.take_seen() {
            if seen.keys.iter().any(|key| key.contains("/versions/other")) {
                keeper = Some(seen.entry);
            }
        }
    }
    keeper
}

fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let folder = record::temporary_folder("withdrawn");
    let store = Store::new();
    store.put("op/config", CONFIG);
    let servers: Vec<Server> = (0..OLD_SERVERS)
        .map(|number| Server::start(&format!("i-old-{number}"), "pool", "v1", record))
        .collect();
    servers.iter().for_each(|server| server.register(&store));
    let zones = ["north", "south"];
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|number| {
            let endpoint = store.endpoint(number);
            Entry::start(&format!("front-{number}"), zones[number % 2], endpoint, &folder)
        })
        .collect();
    if !entries.iter().all(Entry::wait_until_ready) {
        return Err("an entry did not get ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    // A service of its own shows which entry writes the history: a server of it is replaced by one of a newer version.
    store.take_seen();
    for version in ["a", "b"] {
        let entry = format!(
            "{{\"service\":\"other\",\"address\":\"{}\",\"zone\":\"north\",\"version\":\"{version}\",\"slots\":4,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1}}",
            servers[0].address
        );
        store.put("servers/i-other", &entry);
        std::thread::sleep(Duration::from_millis(1_500));
    }
    let keeper = find_keeper(&store).ok_or("no entry wrote a history of versions")?;
    record.line(&format!("{} keeps the history of versions", entries[keeper].name));
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();

    // The entry has just renewed its registration, which it does every 0.9 s.
    let until = Instant::now() + Duration::from_secs(5);
    store.take_seen();
    while !store
        .take_seen()
        .iter()
        .any(|seen| seen.entry == keeper && seen.path.contains("kv-keep"))
    {
        if Instant::now() > until {
            return Err("the entry does not renew its registration".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let began_at = Instant::now();
    if has_trouble {
        entries[keeper].kill();
        record.line(&format!("{} is killed", entries[keeper].name));
    }
    std::thread::sleep(Duration::from_millis(100));
    let new = Server::start("i-new", "pool", "v2", record);
    new.register(&store);
    record.line("the server of v2 is registered");
    std::thread::sleep(Duration::from_millis(700));
    let streams: Arc<Mutex<BTreeMap<usize, Stream>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let mut fronts = fronts.clone();
        let running: Vec<SocketAddr> =
            (0..ENTRIES).filter(|index| *index != keeper).map(|index| fronts[index]).collect();
        // The first attempt goes to an entry that runs, the later ones to all in turn.
        fronts.rotate_left((number + keeper + 1) % ENTRIES);
        let first = running[number % running.len()];
        let at = fronts.iter().position(|front| *front == first).unwrap_or(0);
        let (record, streams) = (record.clone(), streams.clone());
        callers.push(std::thread::spawn(move || {
            let stream = call(&format!("s{number}"), &fronts, at, &record);
            streams.lock().expect("a caller has failed").insert(number, stream);
        }));
    }
    std::thread::sleep(REGISTERED.saturating_sub(Duration::from_millis(700)));
    store.remove(&new.key());
    record.line("the entry of the server of v2 is removed");
    let removed_at = Instant::now();
    let mut new = Some(new);
    let mut is_back = !has_trouble;
    while new.is_some() || !is_back {
        std::thread::sleep(Duration::from_millis(10));
        if removed_at.elapsed() >= SERVES_ON && new.take().is_some() {
            record.line("the server of v2 exits");
        }
        if !is_back && began_at.elapsed() >= DOWN {
            entries[keeper].run();
            record.line(&format!("{} starts again", entries[keeper].name));
            is_back = true;
        }
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    record.line(&format!("history of versions: {:?}", store.get("fennelfold/versions/pool")));
    drop(entries);
    let streams = streams.lock().expect("a caller has failed");
    let resumed = streams.values().filter(|stream| stream.versions().contains(&"v2")).count();
    let joined: Vec<&usize> = streams
        .iter()
        .filter(|(_, stream)| stream.versions().len() > 1)
        .map(|(number, _)| number)
        .collect();
    record.line(&format!("{resumed} streams began at v2; joined from two versions: {joined:?}"));
    let _ = std::fs::remove_dir_all(&folder);
    if resumed == 0 {
        return Err("no stream began at the new version".to_owned());
    }
    Ok(joined.is_empty())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, kind, id, version] = &args[..]
        && kind == "server"
    {
        run_server(id, version);
        return ExitCode::SUCCESS;
    }
    let record = Record::create(args.get(1).map_or("record.txt", String::as_str));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&record, has_trouble) {
        Ok(true) => {
            record.line("ORDER held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("ORDER broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
