//! Handles requests from other entries.

use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Input, Message, MessageReply, Response};
use peer::{Reply, Request};

impl Requests {
    /// Handles a request from another entry that concerns a record. Gossip and configuration
    /// requests are handled by other services.
    pub async fn handle_peer_request(self: &Arc<Self>, req: Request) -> Reply {
        match req {
            Request::Record(message) => self.handle_message(message).await,
            Request::Read { key, from, wait_ms, owner_silent } => {
                self.handle_read(&key, from, wait_ms, owner_silent).await
            }
            Request::Gossip(_) | Request::Configuration => Reply::Done,
        }
    }

    async fn handle_message(self: &Arc<Self>, message: Message) -> Reply {
        if let Message::Submit { terms, .. } = &message
            && let Err(failure) = self.admit_new(terms)
        {
            return Reply::Failure(failure);
        }
        match self.feed_and_wait(|ticket| Input::Message { ticket, message }).await {
            Response::Located(_) => Reply::Done,
            Response::Over(round) => Reply::Record(MessageReply::Over(round)),
            Response::Failed(failure) | Response::Reply(MessageReply::Failure(failure)) => {
                Reply::Failure(failure)
            }
            Response::Reply(MessageReply::Done) => Reply::Done,
            Response::Reply(reply) => Reply::Record(reply),
        }
    }
}
