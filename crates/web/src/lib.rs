//! HTTP client and server helpers over hyper, with bounds on size and time.

mod body;
mod client;
mod head;
mod reply;
mod server;
mod stall;

pub use body::{Body, Reader, empty, full, read_json, read_limited, receive, stream};
pub use client::{Client, ClientSettings};
pub use reply::{Reply, json, problem, read_problem, text};
pub use server::{Request, ServerSettings, bind, serve};
