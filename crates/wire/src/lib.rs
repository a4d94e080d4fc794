//! Cap'n Proto schema of the protocol between entries, and the code generated from it.

// Generated code is committed as it comes from the generator.
#[allow(clippy::all, clippy::unimplemented, missing_docs, unreachable_pub, rust_2018_idioms, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod peer_capnp;
