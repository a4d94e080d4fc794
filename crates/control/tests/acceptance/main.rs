//! Acceptance of a configuration: single cases, and the fault matrix.

mod cell;
mod kv;
mod matrix;
mod single;
