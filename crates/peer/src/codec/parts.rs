//! Codecs of the types that several messages share.

use capnp::{struct_list, text};
use kernel::{Code, Key, Name, NodeId};
use ledger::{Chunk, Ending, RequestSpec, Right};
use wire::peer_capnp as w;

type Read<T> = capnp::Result<T>;

pub(super) fn read_name(text: text::Reader<'_>) -> Read<Name> {
    Ok(Name::from(text.to_str()?))
}

pub(super) fn write_node(mut b: w::node::Builder<'_>, node: &NodeId) {
    b.set_name(node.name.as_str());
    b.set_incarnation(node.incarnation);
}

pub(super) fn read_node(r: w::node::Reader<'_>) -> Read<NodeId> {
    Ok(NodeId::new(read_name(r.get_name()?)?, r.get_incarnation()))
}

pub(super) fn write_key(mut b: w::key::Builder<'_>, key: &Key) {
    b.set_organisation(key.organisation.as_str());
    b.set_id(key.id.as_str());
}

pub(super) fn read_key(r: w::key::Reader<'_>) -> Read<Key> {
    Ok(Key::new(read_name(r.get_organisation()?)?, read_name(r.get_id()?)?))
}

pub(super) fn write_terms(mut b: w::terms::Builder<'_>, terms: &RequestSpec) {
    write_key(b.reborrow().init_key(), &terms.key);
    b.set_service(terms.service.as_str());
    b.set_path(terms.path.as_str());
    b.set_body(&terms.body);
    b.set_digest(terms.digest);
    b.set_repeatable(terms.repeatable);
    b.set_left_ms(terms.left_ms);
}

pub(super) fn read_terms(r: w::terms::Reader<'_>) -> Read<RequestSpec> {
    Ok(RequestSpec {
        key: read_key(r.get_key()?)?,
        service: read_name(r.get_service()?)?,
        path: read_name(r.get_path()?)?,
        body: r.get_body()?.to_vec().into(),
        digest: r.get_digest(),
        repeatable: r.get_repeatable(),
        left_ms: r.get_left_ms(),
    })
}

pub(super) fn write_chunks(mut b: struct_list::Builder<'_, w::chunk::Owned>, chunks: &[Chunk]) {
    for (i, chunk) in (0..).zip(chunks) {
        let mut item = b.reborrow().get(i);
        item.set_tokens(chunk.tokens);
        item.set_data(&chunk.data);
        item.set_origin(chunk.origin);
    }
}

pub(super) fn read_chunks(r: struct_list::Reader<'_, w::chunk::Owned>) -> Read<Vec<Chunk>> {
    let chunk = |item: w::chunk::Reader<'_>| {
        let data = item.get_data()?.to_vec().into();
        Ok(Chunk { tokens: item.get_tokens(), data, origin: item.get_origin() })
    };
    r.iter().map(chunk).collect()
}

pub(super) fn write_ending(mut b: w::ending::Builder<'_>, ending: &Ending) {
    match ending {
        Ending::Answered => b.set_answered(()),
        Ending::NotRun(code) => b.set_not_run(code.number()),
        Ending::Rejected(code) => b.set_rejected(code.number()),
        Ending::Unknown(code) => b.set_unknown(code.number()),
        Ending::Follow(node) => write_node(b.init_follow(), node),
    }
}

pub(super) fn read_ending(r: w::ending::Reader<'_>) -> Read<Ending> {
    use w::ending::Which;
    Ok(match r.which()? {
        Which::Answered(()) => Ending::Answered,
        Which::NotRun(number) => Ending::NotRun(read_code(number)),
        Which::Rejected(number) => Ending::Rejected(read_code(number)),
        Which::Unknown(number) => Ending::Unknown(read_code(number)),
        Which::Follow(node) => Ending::Follow(read_node(node?)?),
    })
}

/// Decodes a result code; one that only a later version has becomes [`Code::Internal`].
pub(super) fn read_code(number: u16) -> Code {
    Code::from_number(number).unwrap_or(Code::Internal)
}

pub(super) fn write_right(right: Right) -> w::Right {
    match right {
        Right::None => w::Right::None,
        Right::Granted => w::Right::Granted,
        Right::Claimed => w::Right::Claimed,
    }
}

pub(super) fn read_right(right: w::Right) -> Right {
    match right {
        w::Right::None => Right::None,
        w::Right::Granted => Right::Granted,
        w::Right::Claimed => Right::Claimed,
    }
}
