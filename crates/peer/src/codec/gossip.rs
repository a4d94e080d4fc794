//! Codec of the membership protocol.

use super::parts::{read_name, read_node, write_node};
use capnp::text;
use kernel::{Millis, NodeId};
use member::{Body, Member, MemberState, Message, Update};
use std::net::{IpAddr, SocketAddr};
use wire::peer_capnp as w;

type Read<T> = capnp::Result<T>;

/// Milliseconds per second; ages of members are sent in whole seconds.
const MS_PER_SECOND: Millis = 1000;

pub(super) fn write_gossip(mut b: w::gossip::Builder<'_>, message: &Message) {
    write_node(b.reborrow().init_from(), &message.from);
    b.set_generation(message.generation);
    write_body(b.reborrow().init_body(), &message.body);
    write_updates(b, &message.updates);
}

pub(super) fn read_gossip(r: w::gossip::Reader<'_>) -> Read<Message> {
    let members = r.get_members()?.iter().map(read_member);
    let servers = r.get_leaving_servers()?.iter().map(|r| {
        Ok(Update::ServerLeaving { server: read_name(r.get_name()?)?, age: r.get_age_ms() })
    });
    Ok(Message {
        from: read_node(r.get_from()?)?,
        generation: r.get_generation(),
        body: read_body(r.get_body())?,
        updates: members.chain(servers).collect::<Read<_>>()?,
    })
}

fn write_body(mut b: w::gossip::body::Builder<'_>, body: &Body) {
    match body {
        Body::Probe => b.set_probe(()),
        Body::Join => b.set_join(()),
        Body::ProbeFor(node) => write_node(b.init_probe_for(), node),
        Body::Push => b.set_push(()),
        Body::Digest(buckets) => {
            let mut list = b.init_digest(buckets.len() as u32);
            for (i, bucket) in (0..).zip(buckets) {
                list.set(i, *bucket);
            }
        }
        Body::Differences(mask) => b.set_differences(mask),
        Body::Ack => b.set_ack(()),
        Body::Nack => b.set_nack(()),
    }
}

fn read_body(r: w::gossip::body::Reader<'_>) -> Read<Body> {
    use w::gossip::body::Which;
    Ok(match r.which()? {
        Which::Probe(()) => Body::Probe,
        Which::Join(()) => Body::Join,
        Which::ProbeFor(node) => Body::ProbeFor(read_node(node?)?),
        Which::Push(()) => Body::Push,
        Which::Digest(list) => Body::Digest(list?.iter().collect()),
        Which::Differences(mask) => Body::Differences(mask?.to_vec()),
        Which::Ack(()) => Body::Ack,
        Which::Nack(()) => Body::Nack,
    })
}

fn write_updates(mut b: w::gossip::Builder<'_>, updates: &[Update]) {
    let servers =
        updates.iter().filter(|update| matches!(update, Update::ServerLeaving { .. })).count();
    let mut members = b.reborrow().init_members((updates.len() - servers) as u32);
    let member_updates = updates.iter().filter_map(|update| match update {
        Update::Member { member, age } => Some((member, *age)),
        Update::ServerLeaving { .. } => None,
    });
    for (i, (member, age)) in (0..).zip(member_updates) {
        write_member(members.reborrow().get(i), member, age);
    }
    let mut leaving = b.init_leaving_servers(servers as u32);
    let server_updates = updates.iter().filter_map(|update| match update {
        Update::ServerLeaving { server, age } => Some((server, *age)),
        Update::Member { .. } => None,
    });
    for (i, (server, age)) in (0..).zip(server_updates) {
        let mut b = leaving.reborrow().get(i);
        b.set_name(server.as_str());
        b.set_age_ms(age);
    }
}

fn write_member(mut b: w::member::Builder<'_>, member: &Member, age: Millis) {
    b.set_name(member.node.name.as_str());
    b.set_incarnation(member.node.incarnation);
    b.set_refutation(member.refutation);
    b.set_age_s(u32::try_from(age / MS_PER_SECOND).unwrap_or(u32::MAX));
    b.set_peer_port(member.peer.port());
    b.set_http_port(member.http.port());
    b.set_peer_ip(member.peer.ip().to_string());
    if member.http.ip() != member.peer.ip() {
        b.set_http_ip(member.http.ip().to_string());
    }
    b.set_region(member.region.as_str());
    b.set_data_centre(member.data_centre.as_str());
    b.set_state(match member.state {
        MemberState::Alive => w::MemberState::Alive,
        MemberState::Suspect => w::MemberState::Suspect,
        MemberState::Leaving => w::MemberState::Leaving,
        MemberState::Dead => w::MemberState::Dead,
    });
}

fn read_member(r: w::member::Reader<'_>) -> Read<Update> {
    let peer_ip = read_ip(r.get_peer_ip()?)?;
    let http_ip = if r.has_http_ip() { read_ip(r.get_http_ip()?)? } else { peer_ip };
    let member = Member {
        node: NodeId::new(read_name(r.get_name()?)?, r.get_incarnation()),
        http: SocketAddr::new(http_ip, r.get_http_port()),
        peer: SocketAddr::new(peer_ip, r.get_peer_port()),
        region: read_name(r.get_region()?)?,
        data_centre: read_name(r.get_data_centre()?)?,
        state: match r.get_state()? {
            w::MemberState::Alive => MemberState::Alive,
            w::MemberState::Suspect => MemberState::Suspect,
            w::MemberState::Leaving => MemberState::Leaving,
            w::MemberState::Dead => MemberState::Dead,
        },
        refutation: r.get_refutation(),
    };
    Ok(Update::Member { member, age: Millis::from(r.get_age_s()) * MS_PER_SECOND })
}

fn read_ip(text: text::Reader<'_>) -> Read<IpAddr> {
    text.to_str()?.parse().map_err(|e| capnp::Error::failed(format!("invalid IP address: {e}")))
}
