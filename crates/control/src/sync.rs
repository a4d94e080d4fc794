//! Performs the steps that [`crate::ConfigSync`] chooses, and fetches generations announced by
//! gossip.

use crate::config_sync::{Event, Role, Step, role};
use crate::configuration::{Configuration, backoff};
use crate::keys;
use cluster::Cluster;
use conf::Head;
use futures::future::join_all;
use kernel::StopSignal;
use kernel::prelude::*;
use member::{Change, Member, MemberState};
use peer::{Reply, Request};
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::sync::atomic::Ordering;
use tokio::sync::broadcast;

impl Configuration {
    /// Reads and watches the platform and queries other entries until the stop signal.
    pub(crate) async fn run_sync(&self, mut stop: StopSignal) {
        let mut changes = self.cluster.changes();
        let mut event = Event::Started;
        while !stop.is_stopping() {
            let role = self.role();
            let step = self.sync().next(event, role, self.now(), rand::rng().random());
            debug!(self.log, "upkeep"; "next" => format!("{step:?}"),
                "role" => format!("{role:?}"));
            tokio::select! {
                result = self.sync_step(step, role, &mut changes) => event = result,
                () = stop.wait() => return,
            }
        }
    }

    /// Fetches generations announced by gossip until the stop signal.
    pub(crate) async fn fetch_gossiped(&self, mut stop: StopSignal) {
        let mut announced = self.cluster.highest_generation();
        let mut failures = 0;
        while !stop.is_stopping() {
            let (generation, from) = announced.borrow_and_update().clone();
            if generation <= self.generation() {
                failures = 0;
                tokio::select! {
                    changed = announced.changed() => if changed.is_err() { return },
                    () = stop.wait() => return,
                }
                continue;
            }
            // Alternates between the entry that announced the generation and a random one.
            let peer = from.filter(|_| failures % 2 == 0).or_else(|| self.random_peers(1).pop());
            if let Some(peer) = peer
                && let Err(failure) = self.fetch_from_peer(&peer).await
            {
                warn!(self.log, "failed to fetch the configuration from another entry";
                    "entry" => peer.to_string(), "reason" => failure.to_string());
            }
            if generation <= self.generation() {
                continue;
            }
            failures += 1;
            tokio::select! {
                () = tokio::time::sleep(backoff(failures)) => {}
                () = stop.wait() => return,
            }
        }
    }

    async fn sync_step(
        &self,
        step: Step,
        role: Role,
        changes: &mut broadcast::Receiver<Change>,
    ) -> Event {
        match step {
            Step::Read => self.poll_platform().await,
            Step::AskPeers(count) => self.query_peers(count).await,
            Step::Wait(until) => tokio::select! {
                () = tokio::time::sleep_until(self.instant(until)) => Event::Waited,
                () = self.wait_for_role_change(role, changes) => Event::MembersChanged,
            },
            Step::Watch(until) => tokio::select! {
                changed = self.kv.changed(keys::HEAD, self.revision.load(Ordering::SeqCst)) => {
                    if changed.is_ok() { Event::Changed } else { Event::WatchEnded }
                }
                () = tokio::time::sleep_until(self.instant(until)) => Event::Waited,
                () = self.wait_for_role_change(role, changes) => Event::MembersChanged,
            },
        }
    }

    async fn poll_platform(&self) -> Event {
        let sent = self.now();
        match self.read_platform().await {
            Ok(()) => Event::Read(sent),
            Err(failure) => {
                warn!(self.log, "failed to read the configuration from the platform";
                    "reason" => failure.to_string());
                Event::ReadFailed
            }
        }
    }

    /// Reads the head, and its body if the head is new.
    async fn read_platform(&self) -> Result<(), Failure> {
        let Some(stored) = self.kv.get(keys::HEAD).await? else { return Ok(()) };
        let head: Head = serde_json::from_slice(&stored.value).map_err(|e| {
            Failure::new(
                Code::ConfigInvalid,
                format!("malformed configuration head in the key-value service: {e}"),
            )
        })?;
        if head.generation > self.generation() {
            let body = self.kv.get(&keys::body(&head.digest)).await?;
            let missing = || {
                Failure::new(
                    Code::ConfigInvalid,
                    format!("configuration body {} is missing", head.digest),
                )
            };
            let body = body.ok_or_else(missing)?;
            self.activate(head, String::from_utf8_lossy(&body.value).into_owned())?;
        }
        self.revision.store(stored.revision, Ordering::SeqCst);
        Ok(())
    }

    /// Queries several entries concurrently; the highest generation received becomes active.
    async fn query_peers(&self, count: usize) -> Event {
        let sent = self.now();
        let peers = self.random_peers(count);
        let replies = join_all(peers.iter().map(|peer| self.fetch_from_peer(peer))).await;
        if replies.iter().any(Result::is_ok) {
            Event::PeerAnswered(sent)
        } else {
            Event::NoPeerAnswered
        }
    }

    async fn fetch_from_peer(&self, peer: &NodeId) -> Result<(), Failure> {
        let reply = self.cluster.call(peer, Request::Configuration, None).await?;
        let Reply::Configuration { head, body } = reply else {
            return Err(Failure::new(
                Code::PeerUnreachable,
                "peer sent an unexpected reply to a configuration request",
            ));
        };
        let head = serde_json::from_str(&head)
            .map_err(|e| Failure::new(Code::ConfigInvalid, e.to_string()))?;
        self.activate(head, body.to_string()).map(drop)
    }

    /// Returns up to `count` random entries other than this one that are not known to be dead.
    fn random_peers(&self, count: usize) -> Vec<NodeId> {
        let candidates =
            other_members(&self.cluster).filter(|member| member.state != MemberState::Dead);
        candidates.map(|member| member.node).sample(&mut rand::rng(), count)
    }

    fn role(&self) -> Role {
        let me = self.cluster.local_member();
        let neighbours: Vec<Name> = other_members(&self.cluster)
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| member.data_centre == me.data_centre)
            .map(|member| member.node.name)
            .collect();
        role(&me.node.name, neighbours.iter())
    }

    /// Returns once the role of this entry is no longer `role`.
    async fn wait_for_role_change(&self, role: Role, changes: &mut broadcast::Receiver<Change>) {
        while self.role() == role {
            // An error means that the receiver lagged and lost changes; the loop checks the role in
            // any case.
            let _ = changes.recv().await;
        }
    }
}

fn other_members(cluster: &Cluster) -> impl Iterator<Item = Member> {
    let me = cluster.local_node().clone();
    cluster.members().into_iter().filter(move |member| member.node.name != me.name)
}
