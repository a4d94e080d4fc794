//! Keeps up with the platform and with other entries, as [`crate::Upkeep`] decides.

use crate::configuration::{Configuration, pause};
use crate::keys;
use crate::upkeep::{Event, Next, Role, role};
use cluster::Cluster;
use conf::Head;
use futures::future::join_all;
use kernel::Stop;
use kernel::prelude::*;
use member::{Change, Member, MemberState};
use peer::{Reply, Request};
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::sync::atomic::Ordering;
use tokio::sync::broadcast;

impl Configuration {
    /// Reads, watches and asks until the stop.
    pub(crate) async fn keep_up(&self, mut stop: Stop) {
        let mut changes = self.cluster.changes();
        let mut event = Event::Started;
        while !stop.is_stopping() {
            let role = self.role();
            let next = self.upkeep().next(event, role, self.now(), rand::rng().random());
            debug!(self.log, "upkeep"; "next" => format!("{next:?}"), "role" => format!("{role:?}"));
            tokio::select! {
                done = self.perform(next, role, &mut changes) => event = done,
                () = stop.wait() => return,
            }
        }
    }

    /// Fetches what gossip tells of, until the stop.
    pub(crate) async fn follow_gossip(&self, mut stop: Stop) {
        let mut heard = self.cluster.highest_generation();
        let mut failures = 0;
        while !stop.is_stopping() {
            let (generation, from) = heard.borrow_and_update().clone();
            if generation <= self.generation() {
                failures = 0;
                tokio::select! {
                    changed = heard.changed() => if changed.is_err() { return },
                    () = stop.wait() => return,
                }
                continue;
            }
            let to = from.filter(|_| failures % 2 == 0).or_else(|| self.draw(1).pop());
            if let Some(to) = to
                && let Err(failure) = self.read_peer(&to).await
            {
                warn!(self.log, "configuration not read from entry"; "entry" => to.to_string(),
                    "reason" => failure.to_string());
            }
            if generation <= self.generation() {
                continue;
            }
            failures += 1;
            tokio::select! {
                () = tokio::time::sleep(pause(failures)) => {}
                () = stop.wait() => return,
            }
        }
    }

    async fn perform(
        &self,
        next: Next,
        role: Role,
        changes: &mut broadcast::Receiver<Change>,
    ) -> Event {
        match next {
            Next::Read => self.read().await,
            Next::AskPeers(count) => self.ask_peers(count).await,
            Next::Wait(until) => tokio::select! {
                () = tokio::time::sleep_until(self.instant(until)) => Event::Waited,
                () = self.role_changes(role, changes) => Event::MembersChanged,
            },
            Next::Watch(until) => tokio::select! {
                changed = self.kv.changed(keys::HEAD, self.revision.load(Ordering::SeqCst)) => {
                    if changed.is_ok() { Event::Changed } else { Event::WatchEnded }
                }
                () = tokio::time::sleep_until(self.instant(until)) => Event::Waited,
                () = self.role_changes(role, changes) => Event::MembersChanged,
            },
        }
    }

    async fn read(&self) -> Event {
        let sent = self.now();
        match self.read_platform().await {
            Ok(()) => Event::Read(sent),
            Err(failure) => {
                warn!(self.log, "configuration not read"; "reason" => failure.to_string());
                Event::ReadFailed
            }
        }
    }

    /// Reads the head, and its body if it is new.
    async fn read_platform(&self) -> Result<(), Failure> {
        let Some(stored) = self.kv.get(keys::HEAD).await? else { return Ok(()) };
        let head: Head = serde_json::from_slice(&stored.value)
            .map_err(|e| Failure::new(Code::ConfigInvalid, format!("head: {e}")))?;
        if head.generation > self.generation() {
            let body = self.kv.get(&keys::body(&head.digest)).await?;
            let gone =
                || Failure::new(Code::ConfigInvalid, format!("body {} is missing", head.digest));
            let body = body.ok_or_else(gone)?;
            self.adopt(head, String::from_utf8_lossy(&body.value).into_owned())?;
        }
        self.revision.store(stored.revision, Ordering::SeqCst);
        Ok(())
    }

    /// Asks several entries at once, and takes the highest generation.
    async fn ask_peers(&self, count: usize) -> Event {
        let sent = self.now();
        let to = self.draw(count);
        let replies = join_all(to.iter().map(|node| self.read_peer(node))).await;
        if replies.iter().any(Result::is_ok) {
            Event::PeerAnswered(sent)
        } else {
            Event::PeersSilent
        }
    }

    async fn read_peer(&self, from: &NodeId) -> Result<(), Failure> {
        let reply = self.cluster.call(from, Request::Configuration, None).await?;
        let Reply::Configuration { head, body } = reply else {
            return Err(Failure::new(Code::PeerUnreachable, "unexpected reply"));
        };
        let head = serde_json::from_str(&head)
            .map_err(|e| Failure::new(Code::ConfigInvalid, e.to_string()))?;
        self.adopt(head, body.to_string()).map(drop)
    }

    /// Draws other entries that may answer.
    fn draw(&self, count: usize) -> Vec<NodeId> {
        let others = others(&self.cluster).filter(|member| member.state != MemberState::Dead);
        others.map(|member| member.node).sample(&mut rand::rng(), count)
    }

    fn role(&self) -> Role {
        let me = self.cluster.local_member();
        let near: Vec<Name> = others(&self.cluster)
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| member.data_centre == me.data_centre)
            .map(|member| member.node.name)
            .collect();
        role(&me.node.name, near.iter())
    }

    async fn role_changes(&self, known: Role, changes: &mut broadcast::Receiver<Change>) {
        while self.role() == known {
            // A lagging receiver has missed changes; the role is looked at again all the same.
            let _ = changes.recv().await;
        }
    }
}

fn others(cluster: &Cluster) -> impl Iterator<Item = Member> {
    let me = cluster.local_node().clone();
    cluster.members().into_iter().filter(move |member| member.node.name != me.name)
}
