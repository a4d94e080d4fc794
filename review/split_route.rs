//! An entry is killed while it passes on streams of a route that is split between two services, whose servers have
//! different versions. Its callers resume their streams at the other entries.
//!
//! `split_route RECORD` runs the case; `split_route server ID VERSION` is a server. With `TROUBLE=0` the entry is not
//! killed.

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
use std::time::Duration;
use store::Store;
use streams::{Server, Stream, call, run_server};

const ENTRIES: usize = 4;
/// Servers of each service.
const SERVERS: usize = 2;
/// Services of the route, with the versions of their servers.
const SERVICES: [(&str, &str); 2] = [("pool-a", "v1"), ("pool-b", "v2")];
/// Streams that begin at the entry that is killed.
const STREAMS: usize = 16;
/// Time from the first request until the entry is killed.
const KILLED_AFTER: Duration = Duration::from_secs(3);
/// Time for which the killed entry is down.
const DOWN: Duration = Duration::from_millis(3_500);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"drafts","hostname":"host.example","prefix":"/drafts/",
"kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,"gapAimMs":0,"priority":0,
"trafficSplit":[{"service":"pool-a","weight":50},{"service":"pool-b","weight":50}],"maxAttempts":2,"public":false,
"sticky":false,"resumable":true}],"services":[{"name":"pool-a","healthPath":"/healthz","maxConns":360},
{"name":"pool-b","healthPath":"/healthz","maxConns":360}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let folder = record::temporary_folder("split");
    let store = Store::new();
    store.put("op/config", CONFIG);
    let mut servers = Vec::new();
    for (service, version) in SERVICES {
        for number in 0..SERVERS {
            servers.push(Server::start(&format!("i-{service}-{number}"), service, version, record));
        }
    }
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
    std::thread::sleep(Duration::from_secs(5));

    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.front).collect();
    let streams: Arc<Mutex<BTreeMap<usize, Stream>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        // The first attempt goes to the entry that is killed, the next one to another entry.
        let mut fronts = fronts.clone();
        fronts[1..].rotate_left(number % (ENTRIES - 1));
        let (record, streams) = (record.clone(), streams.clone());
        callers.push(std::thread::spawn(move || {
            let stream = call(&format!("s{number}"), &fronts, 0, &record);
            streams.lock().expect("a caller has failed").insert(number, stream);
        }));
    }
    std::thread::sleep(KILLED_AFTER);
    if has_trouble {
        entries[0].kill();
        record.line("front-0 is killed");
        std::thread::sleep(DOWN);
        entries[0].run();
        record.line("front-0 starts again");
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(entries);
    drop(servers);
    let streams = streams.lock().expect("a caller has failed");
    let _ = std::fs::remove_dir_all(&folder);
    let whole = streams.values().filter(|stream| stream.is_complete).count();
    let joined: Vec<&usize> = streams
        .iter()
        .filter(|(_, stream)| stream.versions().len() > 1)
        .map(|(number, _)| number)
        .collect();
    record.line(&format!(
        "{whole} of {STREAMS} streams complete; joined from two versions: {joined:?}"
    ));
    if whole == 0 {
        return Err("no stream was served".to_owned());
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
