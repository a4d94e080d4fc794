//! Sends a request to backend servers and takes the answer in.

use crate::admit::wanted;
use crate::record::Record;
use crate::requests::Requests;
use backend::Tag;
use bytes::Bytes;
use conf::{Service, ServiceKind};
use kernel::prelude::*;
use ledger::{Chunk, Input, OwnerEvent};
use opentelemetry::KeyValue;

/// How one attempt at one server ended.
enum Attempt {
    Answered,
    NotSent(Failure),
    Broke(Failure),
}

impl Requests {
    /// Sends a request to a backend server and returns how that went.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        record: &Arc<Record>,
        attempt: u32,
    ) -> OwnerEvent {
        let service = match self.to.configuration.current() {
            Ok(current) => current.config.service(&record.terms.service).cloned(),
            Err(_) => None,
        };
        let Some(service) = service else { return not_sent(Code::UnknownService, false) };
        let left = record.left(self.clock.now());
        if left.is_zero() {
            return OwnerEvent::Refuse(Code::TooLate);
        }
        let run = self.dispatch_once(record, &service, attempt);
        match tokio::time::timeout(left, run).await {
            Ok(event) => event,
            Err(_) => OwnerEvent::Broke { code: Code::Incomplete, again: false },
        }
    }

    async fn dispatch_once(
        self: &Arc<Self>,
        record: &Arc<Record>,
        service: &Service,
        attempt: u32,
    ) -> OwnerEvent {
        let left_ms = record.left(self.clock.now()).as_millis() as u64;
        let wanted = wanted(&record.terms, service, left_ms);
        let Some(choice) = self.to.servers.choose(&record.terms.key, &wanted) else {
            return not_sent(Code::NoServer, false);
        };
        record.note(format!("attempt {attempt} at {}: {:?}", choice.server, choice.reason));
        let tag = Tag { key: record.terms.key.clone(), owner: self.me().clone(), attempt };
        let may_send = self.with_table(|table| table.may_send(&record.terms.key, attempt));
        if !may_send {
            return OwnerEvent::Broke { code: Code::Internal, again: false };
        }
        self.to.servers.sent(&choice.server, wanted.prefix, wanted.prompt_tokens);
        let outcome = match service.kind {
            ServiceKind::Model => self.generate(record, service, &choice, &tag).await,
            ServiceKind::Plain => self.call_plain(record, &choice, &tag).await,
        };
        self.to.servers.ended(&choice.server, !matches!(outcome, Attempt::Answered));
        let again =
            !matches!(outcome, Attempt::Answered) && self.may_repeat(record, &choice, attempt);
        match outcome {
            Attempt::Answered => OwnerEvent::Answered,
            Attempt::NotSent(failure) => {
                record.note(failure.to_string());
                not_sent(failure.code, again)
            }
            Attempt::Broke(failure) => {
                record.note(failure.to_string());
                warn!(self.log, "attempt broke"; "key" => record.terms.key.to_string(),
                    "server" => choice.server.as_str(), "reason" => failure.to_string());
                OwnerEvent::Broke { code: Code::BackendBroke, again }
            }
        }
    }

    /// Decides whether a failed attempt is followed by another one; after a reclaim it always is.
    fn may_repeat(&self, record: &Record, choice: &route::Choice, attempt: u32) -> bool {
        let left = record.left(self.clock.now());
        let reclaimed = self.to.servers.is_leaving(&choice.server);
        attempt < self.settings.attempts
            && (reclaimed || self.to.servers.may_retry(&record.terms.key.organisation, left))
    }

    async fn generate(
        self: &Arc<Self>,
        record: &Arc<Record>,
        service: &Service,
        choice: &route::Choice,
        tag: &Tag,
    ) -> Attempt {
        let text = |chunk: &Chunk| String::from_utf8_lossy(&chunk.data).into_owned();
        let so_far: Vec<String> =
            self.with_table(|table| table.chunks(&record.terms.key).iter().map(text).collect());
        if !so_far.is_empty() {
            let cause = KeyValue::new("cause", "resumed");
            self.counters.recomputed.add(so_far.len() as u64, &[cause]);
            record.note(format!("resumes after {} tokens", so_far.len()));
        }
        let started = self.clock.now();
        let left = record.left(started);
        let stall = self.settings.stall.max(service.between_tokens);
        let body = &record.terms.body;
        let generation =
            self.to.engine.generate(choice.address, tag, body, &so_far, left, stall).await;
        let mut generation = match generation {
            Ok(generation) => generation,
            Err(failure) if failure.code == Code::NotDispatched => {
                return Attempt::NotSent(failure);
            }
            Err(failure) => return Attempt::Broke(failure),
        };
        let mut first = so_far.is_empty();
        loop {
            match generation.next().await {
                Ok(None) => return Attempt::Answered,
                Ok(Some(piece)) => {
                    if std::mem::take(&mut first) {
                        let waited = (self.clock.now() - started) as f64 / 1000.0;
                        self.counters.first_token.record(waited, &[]);
                    }
                    let chunk = Chunk::new(1, Bytes::from(piece.text));
                    self.append(record, tag.attempt, piece.index as usize, chunk);
                }
                Err(failure) => {
                    let cause = KeyValue::new("cause", failure.context.clone());
                    self.counters.dropped.add(1, &[cause]);
                    return Attempt::Broke(failure);
                }
            }
        }
    }

    fn append(self: &Arc<Self>, record: &Record, attempt: u32, number: usize, chunk: Chunk) {
        let key = record.terms.key.clone();
        self.feed(Input::Chunk { key, attempt, number, chunk });
    }

    async fn call_plain(
        self: &Arc<Self>,
        record: &Arc<Record>,
        choice: &route::Choice,
        tag: &Tag,
    ) -> Attempt {
        let left = record.left(self.clock.now());
        let body = record.terms.body.clone();
        let path = format!("/{}{}", record.terms.service, record.terms.path);
        match self.to.plain.call(choice.address, &path, tag, body, left).await {
            Ok(answer) => {
                let head = format!("{} {}", answer.status, answer.content_type);
                let chunk = |data| Chunk::new(0, data);
                self.append(record, tag.attempt, 0, chunk(Bytes::from(head)));
                self.append(record, tag.attempt, 1, chunk(answer.body));
                Attempt::Answered
            }
            Err(failure) if failure.code == Code::NotDispatched => Attempt::NotSent(failure),
            Err(failure) => Attempt::Broke(failure),
        }
    }
}

fn not_sent(code: Code, again: bool) -> OwnerEvent {
    OwnerEvent::NotSent { code, again }
}
