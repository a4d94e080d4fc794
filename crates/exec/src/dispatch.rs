//! Sends requests to backend servers and adds the answers to their records.

use crate::admit::requirements;
use crate::record::Record;
use crate::requests::Requests;
use backend::Tag;
use bytes::Bytes;
use conf::{Service, ServiceKind};
use kernel::prelude::*;
use ledger::{Chunk, Input, OwnerEvent};
use opentelemetry::KeyValue;

/// Outcome of one attempt at one backend server.
enum AttemptOutcome {
    Answered,
    /// The request did not reach the server.
    NotSent(Failure),
    /// The attempt failed after the request may have reached the server.
    Failed(Failure),
}

impl Requests {
    /// Runs one attempt of a request, bounded by its deadline, and returns the resulting event.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        record: &Arc<Record>,
        attempt: u32,
    ) -> OwnerEvent {
        let service = match self.services.configuration.current() {
            Ok(current) => current.config.service(&record.spec.service).cloned(),
            Err(_) => None,
        };
        let Some(service) = service else { return not_sent(Code::UnknownService, false) };
        let left = record.time_left(self.clock.now());
        if left.is_zero() {
            return OwnerEvent::Refuse(Code::TooLate);
        }
        let dispatching = self.dispatch_once(record, &service, attempt);
        match tokio::time::timeout(left, dispatching).await {
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
        let left_ms = record.time_left(self.clock.now()).as_millis() as u64;
        let Some(spec) = self.with_table(|table| table.spec(&record.spec.key).cloned()) else {
            return OwnerEvent::Broke { code: Code::Internal, again: false };
        };
        let requirements = requirements(&spec, service, left_ms);
        let Some(choice) = self.services.servers.choose(&record.spec.key, &requirements) else {
            return not_sent(Code::NoServer, false);
        };
        record.add_decision(format!("attempt {attempt} at {}: {:?}", choice.server, choice.reason));
        let tag = Tag { key: record.spec.key.clone(), owner: self.me().clone(), attempt };
        let may_send = self.with_table(|table| table.may_send(&record.spec.key, attempt));
        if !may_send {
            return OwnerEvent::Broke { code: Code::Internal, again: false };
        }
        self.services.servers.record_sent(
            &choice.server,
            requirements.prefix,
            requirements.prompt_tokens,
        );
        let outcome = match service.kind {
            ServiceKind::Model => self.generate(record, service, &choice, &tag, &spec.body).await,
            ServiceKind::Plain => self.call_plain(record, &choice, &tag, &spec.body).await,
        };
        self.services
            .servers
            .record_ended(&choice.server, !matches!(outcome, AttemptOutcome::Answered));
        let again = !matches!(outcome, AttemptOutcome::Answered)
            && self.may_retry(record, &choice, attempt);
        match outcome {
            AttemptOutcome::Answered => OwnerEvent::Answered,
            AttemptOutcome::NotSent(failure) => {
                record.add_decision(failure.to_string());
                not_sent(failure.code, again)
            }
            AttemptOutcome::Failed(failure) => {
                record.add_decision(failure.to_string());
                warn!(self.log, "attempt failed"; "key" => record.spec.key.to_string(),
                    "server" => choice.server.as_str(), "reason" => failure.to_string());
                OwnerEvent::Broke { code: Code::BackendBroke, again }
            }
        }
    }

    /// Whether a failed attempt is retried, up to the maximum number of attempts. When the server
    /// is being reclaimed, the retry budget does not apply.
    fn may_retry(&self, record: &Record, choice: &route::Choice, attempt: u32) -> bool {
        let left = record.time_left(self.clock.now());
        let reclaimed = self.services.servers.is_leaving(&choice.server);
        attempt < self.settings.max_attempts
            && (reclaimed || self.services.servers.may_retry(&record.spec.key.organisation, left))
    }

    async fn generate(
        self: &Arc<Self>,
        record: &Arc<Record>,
        service: &Service,
        choice: &route::Choice,
        tag: &Tag,
        body: &Bytes,
    ) -> AttemptOutcome {
        let text = |chunk: &Chunk| String::from_utf8_lossy(&chunk.data).into_owned();
        let generated: Vec<String> =
            self.with_table(|table| table.chunks(&record.spec.key).iter().map(text).collect());
        if !generated.is_empty() {
            let cause = KeyValue::new("cause", "resumed");
            self.counters.recomputed.add(generated.len() as u64, &[cause]);
            record.add_decision(format!("resuming after {} tokens", generated.len()));
        }
        let started = self.clock.now();
        let left = record.time_left(started);
        let stall_timeout = self.settings.stall_timeout.max(service.between_tokens);
        let generation = self
            .services
            .engine
            .generate(choice.address, tag, body, &generated, left, stall_timeout)
            .await;
        let mut generation = match generation {
            Ok(generation) => generation,
            Err(failure) if failure.code == Code::NotDispatched => {
                return AttemptOutcome::NotSent(failure);
            }
            Err(failure) => return AttemptOutcome::Failed(failure),
        };
        let mut awaits_first_token = generated.is_empty();
        loop {
            match generation.next().await {
                Ok(None) => return AttemptOutcome::Answered,
                Ok(Some(piece)) => {
                    if std::mem::take(&mut awaits_first_token) {
                        let elapsed_s = (self.clock.now() - started) as f64 / 1000.0;
                        self.counters.first_token.record(elapsed_s, &[]);
                    }
                    let chunk = Chunk::new(1, Bytes::from(piece.text));
                    self.append(record, tag.attempt, piece.index as usize, chunk);
                }
                Err(failure) => {
                    let cause = KeyValue::new("cause", failure.context.clone());
                    self.counters.dropped.add(1, &[cause]);
                    return AttemptOutcome::Failed(failure);
                }
            }
        }
    }

    fn append(self: &Arc<Self>, record: &Record, attempt: u32, number: usize, chunk: Chunk) {
        let key = record.spec.key.clone();
        self.feed(Input::Chunk { key, attempt, number, chunk });
    }

    async fn call_plain(
        self: &Arc<Self>,
        record: &Arc<Record>,
        choice: &route::Choice,
        tag: &Tag,
        body: &Bytes,
    ) -> AttemptOutcome {
        let left = record.time_left(self.clock.now());
        let path = format!("/{}{}", record.spec.service, record.spec.path);
        match self.services.plain.call(choice.address, &path, tag, body.clone(), left).await {
            Ok(answer) => {
                let head = format!("{} {}", answer.status, answer.content_type);
                let chunk = |data| Chunk::new(0, data);
                // Chunk 0 holds the status and content type, chunk 1 the body.
                self.append(record, tag.attempt, 0, chunk(Bytes::from(head)));
                self.append(record, tag.attempt, 1, chunk(answer.body));
                AttemptOutcome::Answered
            }
            Err(failure) if failure.code == Code::NotDispatched => AttemptOutcome::NotSent(failure),
            Err(failure) => AttemptOutcome::Failed(failure),
        }
    }
}

fn not_sent(code: Code, again: bool) -> OwnerEvent {
    OwnerEvent::NotSent { code, again }
}
