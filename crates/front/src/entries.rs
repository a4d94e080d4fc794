//! Which entries a caller should use, and for how long.

use crate::router::{Front, Ready};
use kernel::prelude::*;
use ledger::Home;
use member::{Member, MemberState};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use web::{Reply, json};

/// The answer of `GET /v1/entries`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryList {
    /// Entries to use, in this order.
    pub entries: Vec<ListedEntry>,
    /// Milliseconds that the answer may be kept.
    pub valid_for_ms: u64,
}

/// One entry to use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEntry {
    /// Name of the entry.
    pub name: Name,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Prefix of keys for requests that are sent to this entry first.
    pub key_prefix: String,
}

/// Entries listed at most.
const LISTED: usize = 16;

pub(crate) fn list(front: &Front) -> Result<Reply, Failure> {
    let current = front.configuration.current()?;
    let members = front.cluster.members();
    let here = front.cluster.local_member();
    let mut usable: Vec<&Member> =
        members.iter().filter(|member| member.state == MemberState::Alive).collect();
    if front.ready() != Ready::Yes {
        usable.retain(|member| member.node != here.node);
    }
    usable.shuffle(&mut rand::rng());
    let listed = usable.iter().take(LISTED).map(|member| listed(member, &usable)).collect();
    let valid_for_ms = current.config.policy.entries_valid.as_millis() as u64;
    Ok(json(200, &EntryList { entries: listed, valid_for_ms }))
}

fn listed(member: &Member, usable: &[&Member]) -> ListedEntry {
    // The list is shuffled, so the first fit is a random one.
    let others = || usable.iter().filter(|other| other.node != member.node);
    let far = others().find(|other| other.data_centre != member.data_centre);
    let witness = far.or_else(|| others().next()).map_or(&member.node, |other| &other.node);
    let home = Home { owner: member.node.clone(), witness: witness.clone() };
    ListedEntry {
        name: member.node.name.clone(),
        address: member.http,
        data_centre: member.data_centre.clone(),
        key_prefix: home.to_string(),
    }
}
