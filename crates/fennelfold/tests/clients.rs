//! Crowds of clients that keep to no limit, against an entry that runs as a process of its own.
//!
//! The tests check that the process lives, that its memory and its descriptors stay within the limits of its settings,
//! and that an ordinary request is answered. They run one at a time.

#[allow(dead_code, reason = "only the tests of the platform use all of it")]
#[path = "../../../platform/tests/clients/crowd.rs"]
mod crowd;
#[allow(dead_code, reason = "only the tests of processes use all of it")]
mod deployment;
#[path = "../../../platform/tests/clients/measure.rs"]
mod measure;

use crowd::{Bytes, Crowd};
use deployment::{Deployment, Told};
use measure::{Limits, Process};
use std::time::Duration;
use tokio::sync::Mutex;

/// Memory of a process, in bytes.
const MEMORY: u64 = 64_000_000;
/// Largest body that the operators allow, in bytes.
const MAX_BODY: usize = 256 << 10;
/// Largest configuration that an operator may send, in bytes.
const MAX_CONFIGURATION: usize = 1 << 20;
/// Time that a server takes while its callers wait.
const SLOW: Duration = Duration::from_secs(3);
/// Path of a service that runs a request at most once.
const REMINDER: &str = "/v1/services/reminder";

/// Sends a crowd against the first of two entries whose processes may open this number of descriptors. A caller is
/// answered while the crowd stays, and after it has left.
async fn check_crowd(descriptors: usize, clients: usize, bytes: &Bytes, slow: Duration) {
    let _alone = RUNNING.lock().await;
    let (deployment, processes) = start(descriptors).await;
    deployment.slow_down(slow);
    let crowd = Crowd::start(deployment.http(0), clients, bytes).await;
    processes[0].wait_until_read().await;
    deployment.slow_down(Duration::ZERO);
    processes.iter().for_each(Process::check);
    check_caller(&deployment, 1).await;
    drop(crowd);
    check_caller(&deployment, 2).await;
    processes.iter().for_each(Process::check);
}

/// One test runs at a time, as each measures the memory of processes under load.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Starts two entries with limits that a small crowd reaches.
async fn start(descriptors: usize) -> (Deployment, [Process; 2]) {
    let sections = format!("[resources]\nmemory = {MEMORY}B\ndescriptors = {descriptors}\n");
    let deployment = Deployment::start_with(2, &sections).await;
    let limits = Limits { memory: MEMORY, descriptors };
    let process = |entry| Process::new(deployment.pid(entry), [deployment.http(entry)], limits);
    let processes = [process(0), process(1)];
    (deployment, processes)
}

/// Checks that a caller of the first entry is answered there.
async fn check_caller(deployment: &Deployment, number: usize) {
    let history = deployment.caller_of_one(number, 0).remind().await;
    let answered = matches!(history.told.last(), Some(Told::Answered { run: 1, .. }));
    assert!(answered, "{history:?}");
}

fn request(path: &str, framing: (&str, &str)) -> Bytes {
    Bytes::post(path, &[("host", "h"), ("x-organisation", "friends"), framing])
}

fn with_length(path: &str, bytes: usize) -> Bytes {
    request(path, ("content-length", &bytes.to_string()))
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_lack_their_last_byte_at_an_entry() {
    let bytes = with_length(REMINDER, MAX_BODY).with_pieces(1, MAX_BODY - 1);
    check_crowd(2_000, 512, &bytes, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_that_lack_their_last_chunk_at_an_entry() {
    let bytes = request(REMINDER, ("transfer-encoding", "chunked"));
    check_crowd(2_000, 32, &bytes.with_chunks(150_000, 1), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_wait_for_slow_servers_at_an_entry() {
    let bytes = with_length(REMINDER, MAX_BODY).with_pieces(1, MAX_BODY);
    check_crowd(2_000, 512, &bytes, SLOW).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configurations_that_lack_their_last_byte_at_an_entry() {
    let path = "/v1/operator/config";
    let bytes = with_length(path, MAX_CONFIGURATION).with_pieces(1, MAX_CONFIGURATION - 1);
    check_crowd(2_000, 128, &bytes, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_at_an_entry() {
    check_crowd(300, 400, &Bytes::nothing(), Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_port_for_entries_of_an_entry() {
    let _alone = RUNNING.lock().await;
    let (deployment, processes) = start(300).await;
    let crowd = Crowd::start(deployment.peer(0), 400, &Bytes::nothing()).await;
    check_caller(&deployment, 1).await;
    processes.iter().for_each(Process::check);
    drop(crowd);
    check_caller(&deployment, 2).await;
}

/// Sends requests one after the other, each with a body of nearly the largest size, and checks that what is left of them
/// when they have ended stays within the memory.
async fn check_ended(path: &str, body: String, deadline_ms: &str) {
    let _alone = RUNNING.lock().await;
    let (deployment, processes) = start(2_000).await;
    let body = bytes::Bytes::from(body);
    for number in 0..400 {
        deployment.post(0, path, 10 + number, body.clone(), deadline_ms).await;
    }
    processes.iter().for_each(Process::check);
    check_caller(&deployment, 1).await;
}

/// Text of nearly the largest size.
fn long_text() -> String {
    "a".repeat(MAX_BODY - 1_000)
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_requests_that_have_ended_at_an_entry() {
    check_ended(REMINDER, long_text(), "10000").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_chats_that_have_ended_at_an_entry() {
    let message = format!("{{\"role\":\"user\",\"content\":\"{}\"}}", long_text());
    let body = format!("{{\"model\":\"small\",\"messages\":[{message}]}}");
    check_ended("/v1/chat/completions", body, "100").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_of_many_small_values_at_an_entry() {
    let values = "[],".repeat(MAX_BODY / 3 - 100);
    let body = format!(
        "{{\"model\":\"small\",\"messages\":[{{\"role\":\"user\",\"content\":[{values}[]]}}]}}"
    );
    let bytes = with_length("/v1/chat/completions", body.len()).with_body(body);
    check_crowd(2_000, 128, &bytes, Duration::ZERO).await;
}
