//! Model engines: chat completions with server-sent events.

use crate::{Engines, Pieces, Tag};
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use kernel::{Code, Failure};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings, Reader};

/// A client of all model engines.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
}

/// What an engine says about its load, with a lag.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_prompt_tokens: u64,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
    /// Requests that fit into the batch.
    pub batch: u32,
}

/// One piece of a generated answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Number of the token in the answer, from 0.
    pub index: u64,
    /// Text of the token.
    pub text: String,
}

/// A stream of pieces; it ends with `None` only after the engine's final event.
struct Generation {
    reader: Reader,
    tag: String,
    next: u64,
    stall: Duration,
    finished: bool,
}

#[derive(Deserialize)]
struct Event {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    index_of_token: Option<u64>,
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Engine {
    /// Creates the client; `answer` bounds the time until an engine takes a request.
    pub fn new(answer: Duration) -> Self {
        Self { client: Client::new(ClientSettings { answer, ..ClientSettings::default() }) }
    }
}

#[async_trait]
impl Engines for Engine {
    async fn generate(
        &self,
        address: SocketAddr,
        tag: &Tag,
        body: &Bytes,
        so_far: &[String],
        left: Duration,
        stall: Duration,
    ) -> Result<Box<dyn Pieces>, Failure> {
        let malformed = |e: serde_json::Error| Failure::new(Code::MalformedBody, e.to_string());
        let mut asked: Map<String, Value> = serde_json::from_slice(body).map_err(malformed)?;
        asked.insert("stream".into(), json!(true));
        asked.insert("request_id".into(), json!(tag.to_string()));
        asked.insert("deadline_ms".into(), json!(left.as_millis() as u64));
        // Always replaced: a caller must not choose where its answer starts.
        asked.insert("resume_from".into(), json!(so_far));
        let url = format!("http://{address}/v1/chat/completions");
        let tag = tag.to_string();
        let headers = [("content-type", "application/json"), ("x-request-id", tag.as_str())];
        let answer = self
            .client
            .send(Method::POST, &url, &headers, Value::from(asked).to_string().into())
            .await?;
        if !answer.status().is_success() {
            let text = format!("{address} answered {}", answer.status());
            return Err(Failure::new(Code::BackendBroke, text));
        }
        let reader = Reader::events(answer.into_body());
        let next = so_far.len() as u64;
        Ok(Box::new(Generation { reader, tag, next, stall, finished: false }))
    }

    async fn load(&self, address: SocketAddr) -> Result<EngineLoad, Failure> {
        self.client.get(&format!("http://{address}/v1/load")).await
    }

    async fn cancel(&self, address: SocketAddr, tag: &Tag) {
        let url = format!("http://{address}/v1/cancel");
        let body = json!({"request_id": tag.to_string()});
        // The engine stops on its own when the stream closes; this only makes it sooner.
        let _: Result<Value, Failure> = self.client.json(Method::POST, &url, &body).await;
    }
}

#[async_trait]
impl Pieces for Generation {
    async fn next(&mut self) -> Result<Option<Piece>, Failure> {
        while !self.finished {
            let event = tokio::time::timeout(self.stall, self.reader.next()).await;
            let event = event.map_err(|_| incomplete("the stream stalled"))??;
            let Some(event) = event else { return Err(incomplete("no final event")) };
            if event.data == "[DONE]" {
                return Err(incomplete("no finish reason"));
            }
            let event: Event =
                serde_json::from_str(&event.data).map_err(|e| incomplete(&e.to_string()))?;
            if event.id != self.tag {
                return Err(incomplete("the engine sent another request's answer"));
            }
            if let Some(piece) = self.take(event)? {
                return Ok(Some(piece));
            }
        }
        Ok(None)
    }
}

impl Generation {
    fn take(&mut self, event: Event) -> Result<Option<Piece>, Failure> {
        let Some(choice) = event.choices.into_iter().next() else { return Ok(None) };
        self.finished = choice.finish_reason.is_some();
        let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let index = choice.index_of_token.unwrap_or(self.next);
        if index != self.next {
            return Err(incomplete("the engine skipped a token"));
        }
        self.next += 1;
        Ok(Some(Piece { index, text }))
    }
}

fn incomplete(what: &str) -> Failure {
    Failure::new(Code::Incomplete, what)
}
