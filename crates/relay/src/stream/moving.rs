//! Moves a stream from a departing server to another one, with the KV cache of its run.

use super::StreamRelay;
use crate::dispatch::{Attempt, ResumePoint, choose_server, try_server};
use crate::move_call::{MoveResult, request_move};
use crate::quarantine;
use crate::retries;
use kernel::boot_ms;
use kernel::prelude::*;
use pick::{Choice, Outcome};

impl StreamRelay {
    /// Moves the stream away from a departing server, or leaves it there if the server did not stop the run.
    /// Returns a failure if it stopped the run and no other server can go on.
    pub(super) async fn move_stream(&mut self) -> Option<Failure> {
        let choice = self.choose_move().await?;
        let (request, cx) = (self.request.clone(), self.cx.clone());
        let response = self.response.as_ref()?;
        let (from, address) = (response.guard.server.clone(), response.connection.address());
        let moved_from = match request_move(&cx, &request, address, choice.address).await {
            MoveResult::Copied(moved_from) => moved_from,
            MoveResult::Stopped(cause) => return self.resume_elsewhere(cause).await,
            MoveResult::NotStopped(cause) => {
                info!(cx.log, "stream stays"; "request" => request.id_text(), "server" => %from,
                    "to" => %choice.id, "cause" => cause);
                return None;
            }
            MoveResult::Unknown(cause) => {
                self.may_have_stopped = true;
                info!(cx.log, "stream may have stopped"; "request" => request.id_text(),
                    "server" => %from, "to" => %choice.id, "cause" => cause);
                return None;
            }
        };
        // The run has stopped. Output that has not arrived is generated again from the copied KV cache, so
        // that none of it may be read, whatever the other server answers.
        if let Some(stopped) = self.response.take() {
            stopped.guard.outcome.set(Outcome::Answered);
        }
        self.events.discard_incomplete();
        self.tried.push(choice.id.clone());
        let resume = ResumePoint {
            last_event_id: self.events.last_event_id(),
            moved_from: Some(moved_from),
            software_version: None,
        };
        let attempted = try_server(&cx, &request, &choice, &resume, self.history).await;
        let response = match attempted {
            Attempt::Answered(response) if self.is_continuation(&response) => Some(*response),
            _ => None,
        };
        info!(cx.log, "stream moved"; "request" => request.id_text(), "server" => %from,
            "to" => %choice.id, "moved" => response.is_some(), "chunks" => self.chunks);
        match response {
            Some(response) => {
                // The stopped response was dropped above.
                drop(self.replace_response(response));
                None
            }
            None => {
                self.resume_elsewhere(
                    "the server that the stream was moved to did not go on".into(),
                )
                .await
            }
        }
    }

    /// Chooses a server to which the stream can move and takes a retry from the budget.
    async fn choose_move(&mut self) -> Option<Choice> {
        let (request, cx) = (self.request.clone(), self.cx.clone());
        let from = self.response.as_ref()?.guard.server.clone();
        self.departing_server = Some(from.clone());
        let supports_moves = cx
            .rules
            .borrow()
            .service_named(&request.service)
            .is_some_and(|service| service.supports_moves);
        if !supports_moves || self.events.last_event_id().is_none() {
            return None;
        }
        // A move is a call to the server.
        let wants_no_calls = cx.picker.borrow().is_paused(&from, boot_ms());
        if quarantine::is_held(&cx, &request) || wants_no_calls {
            return None;
        }
        self.tried.push(from);
        let choice = choose_server(&cx, &request, &self.tried, self.software_version.as_ref())?;
        retries::take_retry(&cx, &request).await.then_some(choice)
    }
}
