//! A request that is open at a backend server.

use crate::context::Context;
use crate::request::AdmittedRequest;
use coord::SendId;
use hyper::StatusCode;
use kernel::boot_ms;
use kernel::prelude::*;
use pick::{Choice, Outcome, Prompt};
use std::cell::Cell;
use std::rc::Rc;

/// Tracks a request that is open at a backend server; reports the outcome to the picker on drop.
pub(crate) struct AttemptGuard {
    cx: Rc<Context>,
    pub(crate) server: Name,
    uncached_tokens: Cell<u64>,
    pub(crate) outcome: Cell<Outcome>,
    /// The request among those that a server has not survived yet.
    sent: Cell<Option<SendId>>,
}

impl AttemptGuard {
    pub(crate) fn start(cx: &Rc<Context>, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        cx.picker.borrow_mut().record_sent(&choice.id, choice.uncached_tokens, prompt);
        Self {
            cx: cx.clone(),
            server: choice.id.clone(),
            uncached_tokens: Cell::new(choice.uncached_tokens),
            outcome: Cell::new(Outcome::Unknown),
            sent: Cell::new(None),
        }
    }

    /// Tracks a request that another entry took over, which reports the outcome itself.
    pub(crate) fn for_entry(cx: &Rc<Context>, entry: &Name) -> Self {
        Self {
            cx: cx.clone(),
            server: entry.clone(),
            uncached_tokens: Cell::new(0),
            outcome: Cell::new(Outcome::Unknown),
            sent: Cell::new(None),
        }
    }

    /// Records that the request is sent to the server.
    pub(crate) fn mark_sent(&self, request: &AdmittedRequest) {
        let marks = request.marks().collect();
        let id = self.cx.quarantine.borrow_mut().record_sent(&self.server, marks, boot_ms());
        self.sent.set(Some(id));
    }

    /// Records that the server states that it has not run the request.
    pub(crate) fn mark_not_run(&self) {
        if let Some(id) = self.sent.take() {
            self.cx.quarantine.borrow_mut().forget_sent(id);
        }
    }

    /// Records that the answer began.
    pub(crate) fn mark_answered(&self) {
        if let Some(id) = self.sent.get() {
            self.cx.quarantine.borrow_mut().record_head(id, boot_ms());
        }
    }

    /// Records that more of the answer arrived.
    pub(crate) fn mark_progress(&self) {
        if let Some(id) = self.sent.get() {
            self.cx.quarantine.borrow_mut().record_more(id, boot_ms());
        }
    }

    /// Records that the answer is complete. A server that failed may not have come to what crashes others.
    pub(crate) fn mark_completed(&self, status: StatusCode) {
        let Some(id) = self.sent.take() else { return };
        let mut quarantine = self.cx.quarantine.borrow_mut();
        if status.is_server_error() {
            quarantine.forget_sent(id);
        } else {
            quarantine.record_completion(id, boot_ms());
        }
    }

    /// Records that the server has processed the prompt.
    pub(crate) fn mark_prompt_read(&self) {
        self.cx
            .picker
            .borrow_mut()
            .record_prompt_read(&self.server, self.uncached_tokens.replace(0));
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(id) = self.sent.get() {
            self.cx.quarantine.borrow_mut().record_end(id, boot_ms());
        }
        self.mark_prompt_read();
        self.cx.picker.borrow_mut().record_outcome(&self.server, self.outcome.get(), boot_ms());
    }
}
