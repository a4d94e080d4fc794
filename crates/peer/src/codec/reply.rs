//! Codec of replies.

use super::gossip::{read_gossip, write_gossip};
use super::parts::*;
use crate::message::Reply;
use kernel::{Failure, Outcome};
use ledger::{AnswerPart, AskReply, HoldReply, MessageReply, VoidReply};
use std::time::Duration;
use wire::peer_capnp as w;

pub(crate) fn write_reply(mut b: w::reply::Builder<'_>, reply: &Reply) {
    match reply {
        Reply::Done => b.set_done(()),
        Reply::Failure(failure) => write_failure(b.init_failure(), failure),
        Reply::Gossip(gossip) => write_gossip(b.init_gossip(), gossip),
        Reply::Record(reply) => write_record(b, reply),
        Reply::Read(reply) => write_read(b.init_read(), reply),
        Reply::Configuration { head, body } => {
            let mut b = b.init_configuration();
            b.set_head(head.as_str());
            b.set_body(body.as_str());
        }
    }
}

fn write_record(mut b: w::reply::Builder<'_>, reply: &MessageReply) {
    match reply {
        MessageReply::Done => b.set_done(()),
        MessageReply::Failure(failure) => write_failure(b.init_failure(), failure),
        MessageReply::Hold(reply) => write_hold(b.init_hold(), reply),
        MessageReply::Ask(reply) => write_ask(b.init_ask(), reply),
        MessageReply::Void(reply) => write_void(b.init_void(), reply),
        MessageReply::Have(number) => b.set_have(*number as u64),
        MessageReply::Taken(node) => write_node(b.init_taken(), node),
        MessageReply::Over(round) => b.set_over(*round),
    }
}

pub(crate) fn read_reply(r: w::reply::Reader<'_>) -> capnp::Result<Reply> {
    use w::reply::Which;
    Ok(match r.which()? {
        Which::Done(()) => Reply::Done,
        Which::Failure(failure) => Reply::Failure(read_failure(failure?)?),
        Which::Gossip(gossip) => Reply::Gossip(read_gossip(gossip?)?),
        Which::Hold(r) => Reply::Record(MessageReply::Hold(read_hold(r)?)),
        Which::Ask(r) => Reply::Record(MessageReply::Ask(read_ask(r)?)),
        Which::Void(r) => Reply::Record(MessageReply::Void(read_void(r)?)),
        Which::Have(number) => Reply::Record(MessageReply::Have(number as usize)),
        Which::Taken(node) => Reply::Record(MessageReply::Taken(read_node(node?)?)),
        Which::Over(round) => Reply::Record(MessageReply::Over(round)),
        Which::Read(r) => {
            let ending = if r.get_ended() { Some(read_ending(r.get_ending()?)?) } else { None };
            let chunks = read_chunks(r.get_chunks()?)?;
            let origin = r.get_begun().then(|| r.get_origin());
            Reply::Read(AnswerPart { from: r.get_from() as usize, chunks, origin, ending })
        }
        Which::Configuration(r) => Reply::Configuration {
            head: read_name(r.get_head()?)?,
            body: read_name(r.get_body()?)?,
        },
    })
}

fn write_failure(mut b: w::failure::Builder<'_>, failure: &Failure) {
    b.set_code(failure.code.number());
    b.set_rejected(failure.outcome == Outcome::Rejected);
    b.set_context(failure.context.as_str());
    b.set_retry_ms(failure.retry_after.map_or(0, |after| after.as_millis() as u64));
}

fn read_failure(r: w::failure::Reader<'_>) -> capnp::Result<Failure> {
    let mut failure = Failure::new(read_code(r.get_code()), r.get_context()?.to_str()?);
    if r.get_rejected() {
        failure = failure.rejected();
    }
    failure.retry_after = (r.get_retry_ms() > 0).then(|| Duration::from_millis(r.get_retry_ms()));
    Ok(failure)
}

fn write_hold(mut b: w::reply::hold::Builder<'_>, reply: &HoldReply) {
    match reply {
        HoldReply::Held => b.set_held(()),
        HoldReply::Taken(node) => write_node(b.init_taken(), node),
        HoldReply::Undecided => b.set_undecided(()),
        HoldReply::OtherBody => b.set_other_body(()),
        HoldReply::OtherRun => b.set_other_run(()),
    }
}

fn read_hold(r: w::reply::hold::Reader<'_>) -> capnp::Result<HoldReply> {
    use w::reply::hold::Which;
    Ok(match r.which()? {
        Which::Held(()) => HoldReply::Held,
        Which::Taken(node) => HoldReply::Taken(read_node(node?)?),
        Which::Undecided(()) => HoldReply::Undecided,
        Which::OtherBody(()) => HoldReply::OtherBody,
        Which::OtherRun(()) => HoldReply::OtherRun,
    })
}

fn write_ask(mut b: w::reply::ask::Builder<'_>, reply: &AskReply) {
    match reply {
        AskReply::Granted => b.set_granted(()),
        AskReply::Taken(node) => write_node(b.init_taken(), node),
        AskReply::Undecided => b.set_undecided(()),
        AskReply::NotHeld => b.set_not_held(()),
    }
}

fn read_ask(r: w::reply::ask::Reader<'_>) -> capnp::Result<AskReply> {
    use w::reply::ask::Which;
    Ok(match r.which()? {
        Which::Granted(()) => AskReply::Granted,
        Which::Taken(node) => AskReply::Taken(read_node(node?)?),
        Which::Undecided(()) => AskReply::Undecided,
        Which::NotHeld(()) => AskReply::NotHeld,
    })
}

fn write_void(mut b: w::reply::void::Builder<'_>, reply: &VoidReply) {
    match reply {
        VoidReply::Voided => b.set_voided(()),
        VoidReply::Taken(node) => write_node(b.init_taken(), node),
        VoidReply::Undecided => b.set_undecided(()),
    }
}

fn read_void(r: w::reply::void::Reader<'_>) -> capnp::Result<VoidReply> {
    use w::reply::void::Which;
    Ok(match r.which()? {
        Which::Voided(()) => VoidReply::Voided,
        Which::Taken(node) => VoidReply::Taken(read_node(node?)?),
        Which::Undecided(()) => VoidReply::Undecided,
    })
}

fn write_read(mut b: w::reply::read::Builder<'_>, reply: &AnswerPart) {
    b.set_from(reply.from as u64);
    write_chunks(b.reborrow().init_chunks(reply.chunks.len() as u32), &reply.chunks);
    b.set_origin(reply.origin.unwrap_or(0));
    b.set_begun(reply.origin.is_some());
    b.set_ended(reply.ending.is_some());
    if let Some(ending) = &reply.ending {
        write_ending(b.init_ending(), ending);
    }
}
