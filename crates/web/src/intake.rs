//! Bodies of requests, and answers to them, that are charged to the memory for clients.

use crate::clients::{ClientConnection, no_room};
use bytes::Bytes;
use coord::{ClientCharge, Content};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use kernel::{Code, Failure};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two attempts to get memory for an answer.
const ANSWER_ROOM_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the first buffer for a body, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

impl ClientConnection {
    /// Reads the body of a request, of at most `limit` bytes, that arrives within `time`. It stays charged to the memory
    /// for clients until its last copy is gone.
    ///
    /// # Errors
    /// [`Code::BodyTooLarge`] past the limit, [`Code::BodyLate`] past the time or if the client makes too little progress
    /// when memory is short, [`Code::Overloaded`] if there is no memory for the body, [`Code::MalformedBody`] when the
    /// connection breaks.
    pub async fn receive(
        &self,
        body: Incoming,
        limit: usize,
        time: Duration,
    ) -> Result<Bytes, Failure> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        self.begin_body();
        let late = |text| Err(Failure::new(Code::BodyLate, text));
        let received = tokio::select! {
            received = self.join_body(body, limit) => received,
            () = self.dismissed() => {
                late("it made too little progress while memory was short".to_owned())
            }
            () = tokio::time::sleep(time) => late(format!("the limit is {time:?}")),
        };
        match received {
            Ok(_) => self.set_unread_body(false),
            Err(_) => self.fail_body(),
        }
        self.end_body();
        received
    }

    async fn join_body(&self, mut body: Incoming, limit: usize) -> Result<Bytes, Failure> {
        let too_large = || Failure::new(Code::BodyTooLarge, format!("the limit is {limit} bytes"));
        let announced = body.size_hint().exact();
        if announced.is_some_and(|announced| announced > limit as u64) {
            return Err(too_large());
        }
        let mut joined = Joined::new(announced);
        self.make_room(&mut joined, 1)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Failure::new(Code::MalformedBody, e.to_string()))?;
            let Some(part) = frame.data_ref() else { continue };
            if joined.len() + part.len() > limit {
                return Err(too_large());
            }
            self.receive_body(part.len());
            self.make_room(&mut joined, part.len())?;
            joined.push(part);
        }
        Ok(joined.finish())
    }

    /// Keeps bytes that were made from the body of a request. They are charged to the memory for clients until their last
    /// copy is gone.
    ///
    /// # Errors
    /// [`Code::Overloaded`] if there is no memory for them.
    pub fn keep(&self, bytes: Vec<u8>) -> Result<Bytes, Failure> {
        let capacity = bytes.capacity();
        let charge = self.hold(capacity, Content::Body(capacity));
        let charge = charge.ok_or_else(|| no_room("bodies"))?;
        Ok(Bytes::from_owner(Charged { bytes, _charge: charge }))
    }

    /// Makes room for further bytes of a body.
    fn make_room(&self, joined: &mut Joined, bytes: usize) -> Result<(), Failure> {
        let Some(missing) = joined.missing(bytes) else { return Ok(()) };
        let content = Content::Body(joined.capacity() + missing);
        let charge = self.hold(missing, content).ok_or_else(|| no_room("bodies"))?;
        joined.grow(missing, charge);
        Ok(())
    }

    /// Reads the whole answer of a server to the request of this client, of at most `limit` bytes. Waits while there is
    /// no memory for it. It stays charged to the memory for clients until its last copy is gone.
    ///
    /// # Errors
    /// [`Code::BodyTooLarge`] past the limit, [`Code::BackendBroke`] when the connection breaks, [`Code::Overloaded`] if
    /// the parts of answers take all memory and this one is the largest.
    pub async fn collect_answer(
        &self,
        body: &mut Incoming,
        limit: usize,
    ) -> Result<Bytes, Failure> {
        let mut joined = Joined::new(body.size_hint().exact());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Failure::new(Code::BackendBroke, e.to_string()))?;
            let Some(part) = frame.data_ref() else { continue };
            if joined.len() + part.len() > limit {
                let text = format!("the limit is {limit} bytes");
                return Err(Failure::new(Code::BodyTooLarge, text));
            }
            if let Some(missing) = joined.missing(part.len()) {
                // Both buffers exist while one is copied to the other.
                let capacity = joined.capacity() + missing;
                let charge = self.answer_room(capacity, joined.len() + part.len()).await?;
                let former = joined.move_to(capacity, charge);
                self.release(former.map_or(0, |former| former.bytes()));
            }
            joined.push(part);
        }
        Ok(joined.finish())
    }
}

impl ClientConnection {
    /// Charges further bytes of an answer that has this size with them. Waits while there is no memory for them.
    async fn answer_room(&self, bytes: usize, size: usize) -> Result<ClientCharge, Failure> {
        loop {
            if let Some(charge) = self.hold(bytes, Content::Answer(size)) {
                return Ok(charge);
            }
            if self.gives_way() {
                return Err(no_room("answers"));
            }
            tokio::time::sleep(ANSWER_ROOM_INTERVAL).await;
        }
    }
}

/// Memory for the part of an answer that waits for its rest.
#[derive(Debug)]
pub struct AnswerRoom {
    client: Arc<ClientConnection>,
    charge: Option<ClientCharge>,
}

impl AnswerRoom {
    /// Creates room of the answer to the request of a client, without memory.
    pub fn new(client: Arc<ClientConnection>) -> Self {
        Self { client, charge: None }
    }

    /// Charges what is missing to this number of bytes. Waits while there is no memory for it.
    ///
    /// # Errors
    /// [`Code::Overloaded`] if the parts of answers take all memory and this one is the largest.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), Failure> {
        let held = self.charge.as_ref().map_or(0, ClientCharge::bytes);
        if bytes <= held {
            return Ok(());
        }
        let further = self.client.answer_room(bytes - held, bytes).await?;
        match &mut self.charge {
            Some(charge) => charge.merge(further),
            None => self.charge = Some(further),
        }
        Ok(())
    }

    /// Gives all memory back.
    pub fn clear(&mut self) {
        if let Some(charge) = self.charge.take() {
            self.client.release(charge.bytes());
        }
    }
}

impl Drop for AnswerRoom {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Bytes that are charged until the last copy is gone.
struct Charged {
    bytes: Vec<u8>,
    _charge: ClientCharge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Joins the parts of a body or of an answer as they come.
struct Joined {
    bytes: Vec<u8>,
    charge: Option<ClientCharge>,
    /// Size of the whole, if it was announced, in bytes.
    announced: Option<usize>,
}

impl Joined {
    fn new(announced: Option<u64>) -> Self {
        let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
        Self { bytes: Vec::new(), charge: None, announced }
    }

    /// Returns the capacity that is missing for further bytes, in bytes; `None` if they have room.
    fn missing(&self, bytes: usize) -> Option<usize> {
        let needed = self.bytes.len() + bytes;
        if needed <= self.capacity() {
            return None;
        }
        let doubled = needed.max(2 * self.capacity());
        let capacity = match self.announced {
            // At once, so that a body for which there is no room is refused before it is read.
            Some(announced) if announced >= needed => announced,
            _ => doubled.max(FIRST_BUFFER_BYTES),
        };
        Some(capacity - self.capacity())
    }

    /// Makes room that has been charged.
    fn grow(&mut self, bytes: usize, charge: ClientCharge) {
        self.bytes.reserve_exact(self.capacity() + bytes - self.bytes.len());
        match &mut self.charge {
            Some(held) => held.merge(charge),
            None => self.charge = Some(charge),
        }
    }

    /// Moves to a larger buffer, which has been charged; returns the charge of the former one.
    fn move_to(&mut self, capacity: usize, charge: ClientCharge) -> Option<ClientCharge> {
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.charge.replace(charge)
    }

    fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    fn push(&mut self, part: &[u8]) {
        self.bytes.extend_from_slice(part);
    }

    fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the whole, which stays charged until its last copy is gone.
    fn finish(self) -> Bytes {
        match self.charge {
            Some(charge) => Bytes::from_owner(Charged { bytes: self.bytes, _charge: charge }),
            None => Bytes::new(),
        }
    }
}
