//! A release begins while the store turns one machine away, and a stream that another machine began is taken up
//! there.

use crate::world::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

const EVENTS: u32 = 60;
const EVENT_MS: u64 = 60;
const STREAMS: usize = 16;
const MACHINES: usize = 5;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"r-draft","hostname":"app.example","prefix":"/draft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":800}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":500000,"moves":false}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"t-one","apiKeys":["key-one"]}]}"#;

/// Starts a model server of a software version, whose events name that version.
fn start_server(number: usize, version: &'static str) -> (String, SocketAddr) {
    let id = format!("i-{number:08x}");
    let own = id.clone();
    let address = listen(move |stream| serve(&stream, &own, version));
    (id, address)
}

fn serve(mut stream: &TcpStream, server: &str, version: &str) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(head) = read_head(&mut reader) {
        if read_body(&head, &mut reader).is_none() {
            return;
        }
        let id = head.field("x-fennelfold-attempt-id").unwrap_or("").to_owned();
        if head.field("x-fennelfold-expect-instance").is_some_and(|expected| expected != server) {
            respond(
                stream,
                "421 Misdirected Request",
                &[("X-Fennelfold-Instance-Id", server)],
                b"",
            );
            continue;
        }
        let after: u32 =
            head.field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record(&format!("{server} ({version}): runs {id} from event {}", after + 1));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Fennelfold-Attempt-Id: {id}\r\nX-Fennelfold-Server-Seal: {server}.{id}\r\n\r\n"
        );
        let mut is_sound = stream.write_all(text.as_bytes()).is_ok();
        for event in after + 1..=EVENTS {
            sleep_ms(EVENT_MS);
            let event = format!("id: {event}\ndata: piece {event} of {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sound = is_sound && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_sound {
                record(&format!("{server} ({version}): {id} was left by the system"));
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Returns the key and the registration of a server.
fn entry_of(
    server: &(String, SocketAddr),
    version: &str,
    state: &str,
    seq: u32,
) -> (String, String) {
    let value = format!(
        "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"salt-lake\",\"version\":\"{version}\",\"slots\":64,\
         \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq}}}",
        server.1
    );
    (format!("servers/{}", server.0), value)
}

fn request(id: &str, number: usize, resume: Option<(&str, &str)>) -> String {
    let resume = resume.map_or(String::new(), |(earlier, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {earlier}\r\n")
    });
    format!(
        "POST /draft/{number} HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
         X-Fennelfold-Model: m\r\nX-Fennelfold-Token-Usage: 628,300\r\n\
         X-Fennelfold-Prompt-Prefix: 7a00{number:x}:628\r\nX-Fennelfold-Deadline-Ms: 12000\r\n\
         X-Fennelfold-Key: key-one\r\n{resume}Content-Length: 2\r\n\r\n"
    )
}

fn last_id(text: &str) -> String {
    let whole = text.rfind("\n\n").map_or("", |at| &text[..at + 2]);
    whole.lines().filter_map(|line| line.strip_prefix("id: ")).next_back().unwrap_or("").to_owned()
}

/// Sends a request, and takes its stream up at another machine when the connection breaks.
fn consume(number: usize, first: SocketAddr, second: SocketAddr) -> (String, bool) {
    let id = format!("{:016x}", 0xe0000 + number);
    record(&format!("consumer: sends {id}"));
    let answer = send(first, &request(&id, number, None), b"{}", |_| {}).unwrap_or_default();
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let last = last_id(&text);
    if answer.is_complete || answer.status != 200 || last.is_empty() {
        record(&format!(
            "consumer: {id} got {}, complete: {}, last event {last:?}",
            answer.status, answer.is_complete
        ));
        return (text, answer.is_complete && answer.status == 200);
    }
    let next = format!("{:016x}", 0xf0000 + number);
    record(&format!("consumer: {id} broke off after event {last}; {next} takes it up"));
    let whole = text[..text.rfind("\n\n").unwrap() + 2].to_owned();
    let answer = send(second, &request(&next, number, Some((&id, &last))), b"{}", |_| {})
        .unwrap_or_default();
    let rest = String::from_utf8_lossy(&answer.body).into_owned();
    record(&format!("consumer: {next} got {}, complete: {}", answer.status, answer.is_complete));
    (whole + &rest, answer.is_complete && answer.status == 200)
}

pub fn run() -> i32 {
    let (store, _) = Store::start();
    let cloud = start_cloud();
    store.write("op/config", CONFIG);
    let old: Vec<_> = (1..=2).map(|number| start_server(number, "v1")).collect();
    let new: Vec<_> = (11..=12).map(|number| start_server(number, "v2")).collect();
    store.write_all(
        &old.iter().map(|server| entry_of(server, "v1", "ready", 1)).collect::<Vec<_>>(),
    );
    let endpoints: Vec<_> = (0..MACHINES).map(|_| store.endpoint()).collect();
    let mut entries: Vec<Entry> = endpoints
        .iter()
        .enumerate()
        .map(|(at, (address, _))| Entry::start(at + 1, *address, cloud, &[]))
        .collect();
    entries.iter().for_each(Entry::wait_ready);
    sleep_ms(3_000);
    if has_trouble() {
        record(&format!("store: turns {} away, silently", entries[0].name));
        endpoints[0].1.store(true, Ordering::SeqCst);
    }
    sleep_ms(100);
    record("release: v2 serves, v1 drains");
    let new = new.iter().map(|server| entry_of(server, "v2", "ready", 1));
    let release: Vec<_> =
        new.chain(old.iter().map(|server| entry_of(server, "v1", "draining", 2))).collect();
    store.write_all(&release);
    sleep_ms(150);
    let results: Arc<Mutex<Vec<(usize, String, bool)>>> = Arc::default();
    let (first, second) = (entries[1].front, entries[0].front);
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let results = results.clone();
            std::thread::spawn(move || {
                let (text, whole) = consume(number, first, second);
                results.lock().unwrap().push((number, text, whole));
            })
        })
        .collect();
    sleep_ms(400);
    if has_trouble() {
        entries[1].restart();
    }
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    let mut joined = 0;
    for (number, text, whole) in results.lock().unwrap().iter() {
        let pieces = |version: &str| {
            text.lines().filter(|line| line.ends_with(&format!(" of {version}"))).count()
        };
        let (old, new) = (pieces("v1"), pieces("v2"));
        let is_joined = *whole && old > 0 && new > 0;
        joined += usize::from(is_joined);
        record(&format!(
            "stream {number}: {old} pieces of v1, {new} of v2, ended as complete: {whole}{}",
            if is_joined { "  <-- ORDER broken" } else { "" }
        ));
    }
    record(&format!("streams joined from two versions: {joined} of {STREAMS}"));
    i32::from(joined > 0)
}
