//! Whether the whole deployment starts for the first time.

use crate::context::Context;
use kernel::prelude::*;

/// How the process of an entry started, as the store tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartKind {
    /// The whole deployment starts for the first time.
    First,
    /// The deployment has run before.
    Later,
}

impl Context {
    /// Records whether the store shows that this deployment has run before.
    ///
    /// The settings alone do not tell: a process may be started again with those of its first start.
    pub(crate) fn record_start(&self, has_run_before: bool) {
        if self.start_kind.borrow().is_some() {
            return;
        }
        let has_run_before = has_run_before || self.restores() != 0;
        let kind = if self.settings.first_start && !has_run_before {
            StartKind::First
        } else {
            StartKind::Later
        };
        info!(self.log, "kind of start"; "kind" => ?kind, "has_run_before" => has_run_before,
            "first_start" => self.settings.first_start);
        self.start_kind.send_replace(Some(kind));
    }

    /// Whether the whole deployment starts for the first time, as far as this entry knows.
    pub(crate) fn is_first_start(&self) -> bool {
        *self.start_kind.borrow() == Some(StartKind::First)
    }

    /// Waits until the store has told how this process started.
    pub(crate) async fn wait_for_start_kind(&self) -> StartKind {
        let mut kind = self.start_kind.subscribe();
        loop {
            if let Some(kind) = *kind.borrow_and_update() {
                return kind;
            }
            // The sender lives as long as the context.
            drop(kind.changed().await);
        }
    }
}
