//! The whole path with real entry processes on loopback, one module for each feature.

mod configuring;
mod resuming;
mod serving;
mod stopping;
mod support;
