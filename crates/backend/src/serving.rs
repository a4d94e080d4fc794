//! What fennelfold needs of backend servers to serve requests.

use crate::{EngineLoad, Piece, PlainAnswer, Tag};
use async_trait::async_trait;
use bytes::Bytes;
use kernel::Failure;
use std::net::SocketAddr;
use std::time::Duration;

/// Model engines, by their address.
#[async_trait]
pub trait Engines: Send + Sync {
    /// Starts a generation, or goes on after the pieces that are there already.
    ///
    /// `body` is the caller's chat completion request; `so_far` are the pieces to go on from;
    /// `left` is the time until the deadline; a stream that pauses for `stall` counts as broken.
    ///
    /// # Errors
    /// [`kernel::Code::NotDispatched`] when the engine was not reached,
    /// [`kernel::Code::BackendBroke`] after that.
    async fn generate(
        &self,
        address: SocketAddr,
        tag: &Tag,
        body: &Bytes,
        so_far: &[String],
        left: Duration,
        stall: Duration,
    ) -> Result<Box<dyn Pieces>, Failure>;

    /// Reads the load of an engine.
    ///
    /// # Errors
    /// [`kernel::Code::BackendBroke`] or [`kernel::Code::NotDispatched`] when it does not answer.
    async fn load(&self, address: SocketAddr) -> Result<EngineLoad, Failure>;

    /// Cancels a generation whose caller is gone.
    async fn cancel(&self, address: SocketAddr, tag: &Tag);
}

/// A generation under way.
#[async_trait]
pub trait Pieces: Send {
    /// Reads the next piece; `None` after the final event.
    ///
    /// # Errors
    /// [`kernel::Code::Incomplete`] when the stream stops, stalls, skips a token, or carries
    /// another tag.
    async fn next(&mut self) -> Result<Option<Piece>, Failure>;
}

/// Plain services, by their address.
#[async_trait]
pub trait PlainServices: Send + Sync {
    /// Makes one call and reads the whole answer within the time that is left.
    ///
    /// # Errors
    /// [`kernel::Code::NotDispatched`] when the server was not reached;
    /// [`kernel::Code::BackendBroke`] or [`kernel::Code::Incomplete`] after that.
    async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        tag: &Tag,
        body: Bytes,
        left: Duration,
    ) -> Result<PlainAnswer, Failure>;
}
