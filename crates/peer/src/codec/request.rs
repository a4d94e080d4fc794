//! Codec of requests.

use super::gossip::{read_gossip, write_gossip};
use super::parts::*;
use crate::message::Request;
use kernel::NodeId;
use ledger::Message;
use wire::peer_capnp as w;

pub(crate) fn write_request(mut b: w::request::Builder<'_>, to: &NodeId, req: &Request) {
    write_node(b.reborrow().init_to(), to);
    match req {
        Request::Gossip(gossip) => write_gossip(b.init_gossip(), gossip),
        Request::Record(message) => write_message(b, message),
        Request::Read { key, from, wait_ms, owner_silent } => {
            let mut b = b.init_read();
            b.set_from(*from as u64);
            b.set_wait_ms(*wait_ms);
            b.set_owner_silent(*owner_silent);
            write_key(b.init_key(), key);
        }
        Request::Configuration => b.set_configuration(()),
    }
}

fn write_message(b: w::request::Builder<'_>, message: &Message) {
    match message {
        Message::Hold { terms, round, owner } => {
            let mut b = b.init_hold();
            write_terms(b.reborrow().init_terms(), terms);
            b.set_round(*round);
            write_node(b.init_owner(), owner);
        }
        Message::Ask { key, round } => {
            let mut b = b.init_ask();
            b.set_round(*round);
            write_key(b.init_key(), key);
        }
        Message::Void { key, round } => {
            let mut b = b.init_void();
            b.set_round(*round);
            write_key(b.init_key(), key);
        }
        Message::Progress { key, round, from, chunks, ending } => {
            let mut b = b.init_progress();
            write_key(b.reborrow().init_key(), key);
            b.set_round(*round);
            b.set_from(*from as u64);
            write_chunks(b.reborrow().init_chunks(chunks.len() as u32), chunks);
            b.set_ended(ending.is_some());
            if let Some(ending) = ending {
                write_ending(b.init_ending(), ending);
            }
        }
        Message::HandOver { terms, owner, round, right, chunks } => {
            let mut b = b.init_hand_over();
            write_terms(b.reborrow().init_terms(), terms);
            b.set_round(*round);
            write_node(b.reborrow().init_owner(), owner);
            b.set_right(write_right(*right));
            write_chunks(b.init_chunks(chunks.len() as u32), chunks);
        }
        Message::Submit { terms, round, owner_silent } => {
            let mut b = b.init_submit();
            b.set_round(*round);
            b.set_owner_silent(*owner_silent);
            write_terms(b.init_terms(), terms);
        }
    }
}

pub(crate) fn read_request(r: w::request::Reader<'_>) -> capnp::Result<(NodeId, Request)> {
    use w::request::Which;
    let to = read_node(r.get_to()?)?;
    let req = match r.which()? {
        Which::Gossip(gossip) => Request::Gossip(read_gossip(gossip?)?),
        Which::Hold(r) => Request::Record(Message::Hold {
            terms: read_terms(r.get_terms()?)?,
            round: r.get_round(),
            owner: read_node(r.get_owner()?)?,
        }),
        Which::Ask(r) => {
            Request::Record(Message::Ask { key: read_key(r.get_key()?)?, round: r.get_round() })
        }
        Which::Void(r) => {
            Request::Record(Message::Void { key: read_key(r.get_key()?)?, round: r.get_round() })
        }
        Which::Progress(r) => {
            let ending = if r.get_ended() { Some(read_ending(r.get_ending()?)?) } else { None };
            Request::Record(Message::Progress {
                key: read_key(r.get_key()?)?,
                round: r.get_round(),
                from: r.get_from() as usize,
                chunks: read_chunks(r.get_chunks()?)?,
                ending,
            })
        }
        Which::HandOver(r) => Request::Record(Message::HandOver {
            terms: read_terms(r.get_terms()?)?,
            owner: read_node(r.get_owner()?)?,
            round: r.get_round(),
            right: read_right(r.get_right()?),
            chunks: read_chunks(r.get_chunks()?)?,
        }),
        Which::Submit(r) => Request::Record(Message::Submit {
            terms: read_terms(r.get_terms()?)?,
            round: r.get_round(),
            owner_silent: r.get_owner_silent(),
        }),
        Which::Read(r) => Request::Read {
            key: read_key(r.get_key()?)?,
            from: r.get_from() as usize,
            wait_ms: r.get_wait_ms(),
            owner_silent: r.get_owner_silent(),
        },
        Which::Configuration(()) => Request::Configuration,
    };
    Ok((to, req))
}
