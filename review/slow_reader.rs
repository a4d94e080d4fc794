//! A planned stop while consumers read their answers slowly.

use crate::plain::Plain;
use crate::world::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Barrier};

/// The largest answer of a stream at the site: 187 pieces of 360 bytes.
const ANSWER_BYTES: usize = 187 * 360;
/// Time for which a slow consumer does not read.
const PAUSE_MS: u64 = 3_000;
const SIGTERM: i32 = 15;
const SLOW: usize = 5;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"r-start","hostname":"app.example","prefix":"/start/","kind":"non_idempotent","timeoutMs":15000,"targetLatencyMs":1200,"priority":2,"service":"callbook","maxAttempts":1,"public":false}],
"services":[{"name":"callbook","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"t-one","apiKeys":["key-one"]}]}"#;

/// Gives a consumer a small receive window, like that of a phone.
fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Sends two requests on a kept connection, and does not read for a while after the second one. Returns
/// whether both answers arrived whole.
fn consume(who: &str, number: usize, front: SocketAddr, pause_ms: u64, begin: &Barrier) -> bool {
    let stream = TcpStream::connect(front).expect("the front daemon accepts no connection");
    set_receive_buffer(&stream, 4_096);
    let mut reader = BufReader::new(stream);
    for round in 0..2 {
        let id = format!("{:016x}", 0xd0000 + number * 16 + round);
        let request = format!(
            "POST /start/{number} HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
             X-Fennelfold-Deadline-Ms: 15000\r\nX-Fennelfold-Key: key-one\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        if round == 1 {
            begin.wait();
        }
        record(&format!("{who}: sends {id}"));
        reader.get_mut().write_all(request.as_bytes()).expect("the request cannot be sent");
        if round == 1 {
            sleep_ms(pause_ms);
        }
        let answer = read_answer(&mut reader, &mut |_| {}).unwrap_or_default();
        record(&format!(
            "{who}: {id} got {}, {} bytes of {ANSWER_BYTES}{}",
            answer.status,
            answer.body.len(),
            if answer.is_complete { "" } else { ", then the connection ended" }
        ));
        if !answer.is_complete {
            return false;
        }
    }
    true
}

pub fn run() -> i32 {
    let (store, store_address) = Store::start();
    let cloud = start_cloud();
    store.write("op/config", CONFIG);
    let servers: Vec<Plain> = (1..=2)
        .map(|number| Plain::start(number, "callbook", &store, vec![b'x'; ANSWER_BYTES]))
        .collect();
    let mut entries: Vec<Entry> =
        (1..=2).map(|number| Entry::start(number, store_address, cloud, &[])).collect();
    entries.iter().for_each(Entry::wait_ready);
    sleep_ms(1_500);
    if resolve(entries[0].directory).len() < 2 {
        return 2;
    }
    let pause_ms = if has_trouble() { PAUSE_MS } else { 0 };
    let (stopped, other) = (entries[0].front, entries[1].front);
    let begin = Arc::new(Barrier::new(3 * SLOW + 1));
    let start =
        |who: &'static str, numbers: std::ops::Range<usize>, front: SocketAddr, pause_ms: u64| {
            let consumers = numbers.map(|number| {
                let begin = begin.clone();
                std::thread::spawn(move || consume(who, number, front, pause_ms, &begin))
            });
            consumers.collect::<Vec<_>>()
        };
    let slow = start("slow consumer", 0..SLOW, stopped, pause_ms);
    let quick = start("quick consumer", SLOW..2 * SLOW, stopped, 0);
    let elsewhere =
        start("slow consumer of the machine that is not stopped", 20..20 + SLOW, other, pause_ms);
    begin.wait();
    // By then the servers have answered the second requests.
    sleep_ms(300);
    if has_trouble() {
        entries[0].signal(SIGTERM);
    }
    let cut = |consumers: Vec<std::thread::JoinHandle<bool>>| {
        consumers
            .into_iter()
            .map(|consumer| consumer.join().unwrap_or(false))
            .filter(|whole| !whole)
            .count()
    };
    let (slow, quick, elsewhere) = (cut(slow), cut(quick), cut(elsewhere));
    let ran: usize = servers.iter().map(|server| server.runs.lock().unwrap().len()).sum();
    record(&format!(
        "ran {ran}; cut at the stopped machine: {slow} of {SLOW} slow consumers, {quick} of {SLOW} quick ones; \
         cut at the other machine: {elsewhere} of {SLOW} slow consumers"
    ));
    if has_trouble() {
        for _ in 0..80 {
            if !entries[0].is_running() {
                break;
            }
            sleep_ms(100);
        }
        let has_ended = !entries[0].is_running();
        record(&format!("{} has ended: {has_ended}", entries[0].name));
    }
    i32::from(slow + quick > 0)
}
