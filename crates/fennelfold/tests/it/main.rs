//! The whole path with real entry processes on loopback, one module for each feature.

mod serving;
mod support;
