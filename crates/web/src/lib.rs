//! HTTP client and server helpers over hyper, with bounds on size and time.

mod body;
mod client;
mod client_io;
mod client_meters;
mod clients;
mod head;
mod intake;
mod reply;
mod server;
mod stall;

pub use body::{Body, Reader, client_of, empty, full, read_json, read_limited, receive, stream};
pub use client::{Client, ClientSettings};
pub use client_io::ClientIo;
pub use client_meters::ClientMeters;
pub use clients::{ClientConnection, ClientCounts, ClientRegistry, ClientRequest};
pub use intake::AnswerRoom;
pub use reply::{Reply, json, problem, read_problem, text};
pub use server::{Request, ServerSettings, bind, serve, serve_clients};
