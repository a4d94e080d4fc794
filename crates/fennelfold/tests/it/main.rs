//! The whole path with real entry processes on loopback, one module for each feature.

#![allow(clippy::unwrap_used, reason = "a step that fails ends its test")]

mod any_input;
mod bad_input;
mod command_line;
mod configuring;
mod examples;
mod limits;
mod observing;
mod resuming;
mod serving;
mod starting;
mod stopping;
mod story;
mod support;
