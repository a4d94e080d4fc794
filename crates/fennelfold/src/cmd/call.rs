//! `call`: sends a request, follows its answer, and reconnects by key and offset.

use crate::cmd::caller::{Caller, accept, problem};
use crate::cmd::inspect::organisation_arg;
use crate::cmd::{entries, entries_arg, out, text};
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use front::EntryList;
use hyper::Method;
use kernel::prelude::*;
use rand::RngExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Instant;
use web::Reader;

/// Time an entry may take until the head of an answer.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Pause before the next entry is tried.
const PAUSE: Duration = Duration::from_millis(100);

pub(crate) fn command() -> Command {
    Command::new("call")
        .about("Sends a request and prints its whole answer")
        .after_help(
            "Examples:\n  fennelfold call --entry 10.0.0.1:7101 --organisation friends --model recall 'Who is Mrs Sen?'\n  \
             fennelfold call --entry 10.0.0.1:7101 --organisation friends --service reminder '{\"elder\": 7}'",
        )
        .arg(entries_arg())
        .arg(organisation_arg())
        .arg(Arg::new("model").long("model").value_name("NAME").help("Service or model to ask").conflicts_with("service"))
        .arg(Arg::new("service").long("service").value_name("NAME").help("Plain service to call"))
        .arg(Arg::new("key").long("key").value_name("KEY").help("Idempotency key; drawn if not given"))
        .arg(Arg::new("no-stream").long("no-stream").help("Asks for the answer in one piece").action(ArgAction::SetTrue))
        .arg(
            Arg::new("tokens")
                .long("tokens")
                .value_name("COUNT")
                .help("Longest answer in tokens")
                .value_parser(clap::value_parser!(u64)),
        )
        .arg(
            Arg::new("patience")
                .long("patience")
                .value_name("SECONDS")
                .help("Time to keep trying")
                .default_value("60")
                .value_parser(clap::value_parser!(u64)),
        )
        .arg(Arg::new("body").value_name("TEXT").help("Prompt, or body for a plain service").required(true))
}

/// A request that is being made.
struct Call {
    caller: Caller,
    entries: Vec<SocketAddr>,
    organisation: String,
    key: String,
    path: String,
    body: Bytes,
    stream: bool,
    /// Id of the last event seen; empty before the first one.
    seen: String,
    /// Entries that found the home of the key gone.
    lost: usize,
    give_up: Instant,
}

/// What to do after one try.
enum Next {
    Done,
    Again(Failure),
    Fail(eyre::Report),
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<()> {
    let mut call = Call::new(matches).await?;
    let mut turn = 0;
    loop {
        let entry = call.entries[turn % call.entries.len()];
        let failure = match call.try_at(entry).await {
            Next::Done => return Ok(()),
            Next::Fail(report) => return Err(report),
            Next::Again(failure) => failure,
        };
        if Instant::now() >= call.give_up {
            return Err(failure.into());
        }
        turn += 1;
        if turn % call.entries.len() == 0 {
            tokio::time::sleep(failure.retry_after.unwrap_or(PAUSE)).await;
        }
    }
}

impl Call {
    /// Asks which entries to use and prepares the request.
    async fn new(matches: &ArgMatches) -> Result<Self, Failure> {
        let named = entries(matches);
        let caller = Caller::new(named.clone(), HEAD_TIME);
        let list: EntryList = caller.get("/v1/entries").await?;
        let none = || Failure::new(Code::PeerUnreachable, "no entry is in use");
        let first = list.entries.first().ok_or_else(none)?;
        let drawn = || format!("{}{:016x}", first.key_prefix, rand::rng().random::<u64>());
        let key = matches.get_one::<String>("key").cloned().unwrap_or_else(drawn);
        let mut entries: Vec<SocketAddr> = list.entries.iter().map(|entry| entry.address).collect();
        entries.extend(
            named
                .iter()
                .filter(|address| !list.entries.iter().any(|entry| entry.address == **address)),
        );
        let service = text(matches, "service");
        let stream = service.is_empty() && !matches.get_flag("no-stream");
        let (path, body) = match service {
            "" => ("/v1/chat/completions".to_owned(), chat_body(matches, stream)),
            service => (format!("/v1/services/{service}"), text(matches, "body").to_owned()),
        };
        let patience = matches.get_one::<u64>("patience").copied().unwrap_or(60);
        Ok(Self {
            caller,
            entries,
            organisation: text(matches, "organisation").to_owned(),
            key,
            path,
            body: body.into(),
            stream,
            seen: String::new(),
            lost: 0,
            give_up: Instant::now() + Duration::from_secs(patience),
        })
    }

    async fn try_at(&mut self, entry: SocketAddr) -> Next {
        let seen = self.seen.clone();
        let resume = !seen.is_empty();
        let path = if resume { format!("/v1/requests/{}", self.key) } else { self.path.clone() };
        let mut headers = vec![
            ("x-organisation", self.organisation.as_str()),
            ("idempotency-key", self.key.as_str()),
        ];
        headers.push(("content-type", "application/json"));
        if resume {
            headers.push(("last-event-id", seen.as_str()));
        }
        let (method, body) =
            if resume { (Method::GET, Bytes::new()) } else { (Method::POST, self.body.clone()) };
        let answer = match self.caller.send(entry, method, &path, &headers, body).await {
            Ok(answer) => answer,
            Err(failure) => return Next::Again(failure),
        };
        let is_stream =
            answer.headers().get("content-type").is_some_and(|kind| kind == "text/event-stream");
        if self.stream && is_stream {
            return self.follow(Reader::events(answer.into_body())).await;
        }
        match accept(answer).await {
            Ok(bytes) => printed(out::line(whole_text(&bytes))),
            Err(failure) => self.after(failure),
        }
    }

    /// Tries again what may be tried again under the same key.
    fn after(&mut self, failure: Failure) -> Next {
        // A new run would give another answer than the one that is printed in part.
        let over = !self.seen.is_empty() && failure.outcome == Outcome::NotRun;
        let again = match failure.code {
            Code::PeerUnreachable | Code::Leaving | Code::NoConfiguration | Code::Incomplete => {
                true
            }
            // One entry may be cut off from a home that others still reach.
            Code::HomeLost => {
                self.lost += 1;
                self.lost < self.entries.len()
            }
            _ => false,
        };
        if !over && (again || failure.retry_after.is_some()) {
            Next::Again(failure)
        } else {
            Next::Fail(failure.into())
        }
    }

    /// Prints a stream until its final event.
    async fn follow(&mut self, mut reader: Reader) -> Next {
        loop {
            let event = match reader.next().await {
                Ok(Some(event)) => event,
                Ok(None) => {
                    return Next::Again(Failure::new(Code::Incomplete, "the connection ended"));
                }
                Err(failure) => return Next::Again(failure),
            };
            if event.event == "error" {
                return self.after(problem(event.data.as_bytes()));
            }
            if event.data == "[DONE]" {
                return printed(out::line(""));
            }
            let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
            let content = value["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            if let Err(e) = out::print(content) {
                return Next::Fail(e.into());
            }
            if !event.id.is_empty() {
                self.seen = event.id;
            }
        }
    }
}

/// Ends the command once the answer is printed.
fn printed(result: std::io::Result<()>) -> Next {
    match result {
        Ok(()) => Next::Done,
        Err(e) => Next::Fail(e.into()),
    }
}

fn chat_body(matches: &ArgMatches, stream: bool) -> String {
    let message = json!({"role": "user", "content": text(matches, "body")});
    let mut body =
        json!({"model": text(matches, "model"), "messages": [message], "stream": stream});
    if let Some(tokens) = matches.get_one::<u64>("tokens") {
        body["max_tokens"] = json!(tokens);
    }
    body.to_string()
}

/// Returns the text of a chat completion, or the body as it is.
fn whole_text(bytes: &Bytes) -> String {
    let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
    match value["choices"][0]["message"]["content"].as_str() {
        Some(content) => content.to_owned(),
        None => String::from_utf8_lossy(bytes).into_owned(),
    }
}
