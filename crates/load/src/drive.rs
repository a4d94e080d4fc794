//! Drives a running entry or engine over HTTP, to measure the cost of the entry itself.

use bytes::Bytes;
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use web::{Client, ClientSettings};

/// What is sent.
#[derive(Clone, Debug)]
pub struct DriveSettings {
    /// Address of an entry or an engine.
    pub target: SocketAddr,
    /// Organisation.
    pub organisation: String,
    /// Model.
    pub model: String,
    /// Streams that are open at once.
    pub streams: u64,
    /// Requests in all.
    pub requests: u64,
    /// Tokens of each answer.
    pub tokens: u64,
}

/// What came back.
#[derive(Debug)]
pub struct Driven {
    /// Time of the whole run.
    pub took: Duration,
    /// Requests that failed.
    pub failed: u64,
    /// Why the last of them failed.
    pub reason: String,
    /// Events that came.
    pub events: u64,
    /// Times to the first piece of a body, in microseconds.
    pub first: Histogram<u64>,
    /// Times to the end of a body, in microseconds.
    pub whole: Histogram<u64>,
}

struct Timed {
    first_us: u64,
    whole_us: u64,
    events: u64,
}

/// Sends the requests, a fixed number at once.
///
/// # Errors
/// A histogram that can't be made.
pub async fn drive(settings: DriveSettings) -> Result<Driven> {
    let answer = Duration::from_secs(60);
    let idle_per_server = settings.streams as usize;
    let client = Client::new(ClientSettings { answer, idle_per_server, ..Default::default() });
    let settings = Arc::new(settings);
    let next = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut workers = JoinSet::new();
    for _ in 0..settings.streams {
        workers.spawn(work(client.clone(), settings.clone(), next.clone()));
    }
    let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3);
    let (first, whole) = (histogram()?, histogram()?);
    let mut driven =
        Driven { took: Duration::ZERO, failed: 0, reason: String::new(), events: 0, first, whole };
    while let Some(done) = workers.join_next().await {
        for one in done? {
            driven.add(one);
        }
    }
    driven.took = started.elapsed();
    Ok(driven)
}

impl Driven {
    fn add(&mut self, one: Result<Timed>) {
        match one {
            Ok(timed) => {
                self.events += timed.events;
                self.first.saturating_record(timed.first_us);
                self.whole.saturating_record(timed.whole_us);
            }
            Err(report) => {
                self.failed += 1;
                self.reason = report.to_string();
            }
        }
    }
}

async fn work(
    client: Client,
    settings: Arc<DriveSettings>,
    next: Arc<AtomicU64>,
) -> Vec<Result<Timed>> {
    let mut all = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= settings.requests {
            return all;
        }
        all.push(ask(&client, &settings, number).await);
    }
}

async fn ask(client: &Client, settings: &DriveSettings, number: u64) -> Result<Timed> {
    let url = format!("http://{}/v1/chat/completions", settings.target);
    let body = serde_json::json!({
        "model": settings.model, "stream": true, "max_tokens": settings.tokens,
        "messages": [{"role": "user", "content": format!("question {number}")}],
    });
    let headers =
        [("content-type", "application/json"), ("x-organisation", settings.organisation.as_str())];
    let asked = Instant::now();
    let answer = client.send(Method::POST, &url, &headers, Bytes::from(body.to_string())).await;
    let answer = answer.map_err(|failure| eyre!("{failure}"))?;
    if !answer.status().is_success() {
        let body = answer.into_body().collect().await?.to_bytes();
        return Err(eyre!("{}", String::from_utf8_lossy(&body)));
    }
    let mut body = answer.into_body();
    let mut timed = Timed { first_us: 0, whole_us: 0, events: 0 };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if timed.events == 0 {
            timed.first_us = asked.elapsed().as_micros() as u64;
        }
        timed.events += data.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
    }
    timed.whole_us = asked.elapsed().as_micros() as u64;
    Ok(timed)
}
