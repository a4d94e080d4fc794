//! Who gets room, and who has to go for it.

use coord::{
    CONNECTION_BYTES, ClientCharge, ClientSettings, Clients, ConnectionId, Content,
    LARGE_HEAD_BYTES, ListenerShare, Listeners, REQUEST_BYTES, Room,
};
use proptest::prelude::*;

const CALLERS: usize = 0;
const INTERNAL: usize = 1;
const MIB: usize = 1 << 20;
/// Time after which a client without progress is overdue, in milliseconds.
const LATE: u64 = 1_001;

fn clients(memory: usize, descriptors: usize) -> Clients {
    let callers = ListenerShare { descriptors, per_request: 1 };
    let internal = ListenerShare { descriptors: 2, per_request: 0 };
    Clients::new(ClientSettings { memory, listeners: vec![callers, internal], body_copies: 1 })
}

fn open(clients: &mut Clients, listener: usize, now: u64) -> ConnectionId {
    clients.open(listener, now).granted.expect("no room for a connection")
}

/// Opens a connection whose request has begun.
fn run(clients: &mut Clients, now: u64) -> ConnectionId {
    let id = open(clients, CALLERS, now);
    clients.receive_head(id, 100, now);
    clients.begin_request(id, now).granted.expect("no room for a request");
    id
}

/// Opens a connection on which a body of this size arrives.
fn send_body(clients: &mut Clients, bytes: usize, now: u64) -> (ConnectionId, Room<ClientCharge>) {
    let id = run(clients, now);
    clients.begin_body(id, now);
    let room = clients.hold(id, bytes, Content::Body(bytes), now);
    (id, room)
}

#[test]
fn a_connection_without_a_word_goes_first() {
    let mut clients = clients(64 * MIB, 3);
    let served = run(&mut clients, 0);
    clients.end_request(served, 1);
    let silent = open(&mut clients, CALLERS, 2);
    open(&mut clients, CALLERS, 3);
    let room = clients.open(CALLERS, 4);
    assert!(room.granted.is_some());
    assert_eq!(room.dismissed, [silent]);
}

#[test]
fn the_connection_that_has_been_idle_for_longest_goes_if_all_have_been_served() {
    let mut clients = clients(64 * MIB, 4);
    let ended_at = [11, 10, 12];
    let served = ended_at.map(|now| {
        let id = run(&mut clients, 0);
        clients.end_request(id, now);
        id
    });
    let next = open(&mut clients, CALLERS, 20);
    clients.receive_head(next, 100, 20);
    let room = clients.begin_request(next, 20);
    assert!(room.granted.is_some());
    assert_eq!(room.dismissed, [served[1]]);
}

#[test]
fn a_request_that_runs_does_not_go_for_a_connection() {
    let mut clients = clients(64 * MIB, 4);
    run(&mut clients, 0);
    run(&mut clients, 0);
    let room = clients.open(CALLERS, 60_000);
    assert!(room.granted.is_none() && room.dismissed.is_empty());
}

#[test]
fn a_crowd_at_one_listener_leaves_the_others_their_descriptors() {
    let mut clients = clients(64 * MIB, 100);
    for now in 0..1_000 {
        if let Some(dismissed) = clients.open(INTERNAL, now).dismissed.first() {
            clients.close(*dismissed);
        }
    }
    assert_eq!(clients.usage().connections, 2);
    run(&mut clients, 1_000);
}

#[test]
fn bodies_that_make_no_progress_go_for_one_that_arrives_the_largest_first() {
    let mut clients = clients(16 * MIB, 100);
    let (small, first) = send_body(&mut clients, MIB, 0);
    let (large, second) = send_body(&mut clients, 4 * MIB, 0);
    let (kept, third) = send_body(&mut clients, 4 * MIB, 0);
    clients.receive_body(kept, 2 * MIB, LATE);
    let (_, room) = send_body(&mut clients, 4 * MIB, LATE);
    assert_eq!(room.dismissed, [large]);
    assert!(room.granted.is_some());
    drop((small, first, second, third));
}

#[test]
fn a_body_is_refused_while_all_others_make_progress() {
    let mut clients = clients(16 * MIB, 100);
    let held: Vec<_> = (0..2).map(|_| send_body(&mut clients, 4 * MIB, 0)).collect();
    let (_, room) = send_body(&mut clients, 4 * MIB, 500);
    assert!(room.granted.is_none() && room.dismissed.is_empty());
    drop(held);
}

/// Keeps part of an answer on a connection.
fn hold_answer(
    clients: &mut Clients,
    id: ConnectionId,
    bytes: usize,
    now: u64,
) -> Option<ClientCharge> {
    clients.hold(id, bytes, Content::Answer(bytes), now).granted
}

#[test]
fn the_largest_part_of_an_answer_is_given_up_once_answers_have_waited_for_memory() {
    let mut clients = clients(8 * MIB, 100);
    let ids: Vec<_> = (0..3).map(|_| run(&mut clients, 0)).collect();
    let parts = [MIB, 3 * MIB, 0];
    let held: Vec<_> = ids
        .iter()
        .zip(parts)
        .map(|(id, bytes)| hold_answer(&mut clients, *id, bytes, 0).expect("no room"))
        .collect();
    assert!(!ids.iter().any(|id| clients.gives_way(*id, 1_000)), "no answer waits");
    for id in &ids {
        assert!(hold_answer(&mut clients, *id, 4 * MIB, 1_000).is_none());
    }
    assert!(!ids.iter().any(|id| clients.gives_way(*id, 1_400)), "they have not waited long");
    let give_way: Vec<bool> = ids.iter().map(|id| clients.gives_way(*id, 1_500)).collect();
    assert_eq!(give_way, [false, true, false]);
    // The next one does not wait as long.
    clients.end_request(ids[1], 1_500);
    assert!(clients.gives_way(ids[0], 1_510));
    drop(held);
    assert!(hold_answer(&mut clients, ids[0], 4 * MIB, 1_520).is_some());
    assert!(!ids.iter().any(|id| clients.gives_way(*id, 2_000)), "one keeps nobody waiting");
}

#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut clients = clients(16 * MIB, 100);
    let held: Vec<_> = (0..2).map(|_| send_body(&mut clients, 4 * MIB, 0)).collect();
    for (id, _) in &held {
        clients.receive_body(*id, 4 * MIB - 10, 1);
        for now in (100..2_000).step_by(100) {
            clients.receive_body(*id, 1, now);
        }
    }
    let (_, room) = send_body(&mut clients, 4 * MIB, 2_000);
    assert!(room.granted.is_some());
    assert_eq!(room.dismissed.len(), 1);
}

#[test]
fn small_requests_are_served_while_large_bodies_use_up_their_part() {
    let mut clients = clients(16 * MIB, 100);
    let held: Vec<_> = (0..2).map(|_| send_body(&mut clients, 4 * MIB, 0)).collect();
    assert!(send_body(&mut clients, 4 * MIB, 0).1.granted.is_none());
    assert!(send_body(&mut clients, 2, 0).1.granted.is_some());
    drop(held);
}

#[test]
fn answers_have_room_that_bodies_have_not() {
    let mut clients = clients(16 * MIB, 100);
    let (id, held) = send_body(&mut clients, 4 * MIB, 0);
    let (_, more) = send_body(&mut clients, 4 * MIB, 0);
    clients.end_body(id, 1);
    assert!(clients.hold(id, 3 * MIB, Content::Body(3 * MIB), 1).granted.is_none());
    assert!(clients.hold(id, 3 * MIB, Content::Answer(3 * MIB), 1).granted.is_some());
    drop((held, more));
}

#[test]
fn a_client_that_reads_nothing_goes_for_the_answer_to_another() {
    let mut clients = clients(16 * MIB, 100);
    let ids: Vec<_> = (0..3).map(|_| run(&mut clients, 0)).collect();
    let answer = Content::Answer(6 * MIB);
    let held: Vec<_> = ids[..2].iter().map(|id| clients.hold(*id, 6 * MIB, answer, 0)).collect();
    clients.send(ids[0], 0, true, 0);
    clients.send(ids[1], 0, true, 0);
    assert!(clients.hold(ids[2], 6 * MIB, answer, 4_000).granted.is_none());
    clients.send(ids[1], MIB, true, 4_000);
    let room = clients.hold(ids[2], 6 * MIB, answer, 5_001);
    assert_eq!(room.dismissed, [ids[0]]);
    assert!(room.granted.is_some());
    drop(held);
}

#[test]
fn the_buffer_of_a_large_head_is_charged_once_and_for_as_long_as_its_connection_is_open() {
    let mut clients = clients(64 * MIB, 100);
    let id = open(&mut clients, CALLERS, 0);
    clients.receive_head(id, LARGE_HEAD_BYTES, 0);
    assert_eq!(clients.usage().memory, CONNECTION_BYTES);
    clients.receive_head(id, 1, 0);
    let charged = clients.usage().memory;
    assert!(charged > CONNECTION_BYTES);
    clients.receive_head(id, 20_000, 0);
    assert_eq!(clients.usage().memory, charged);
    clients.begin_request(id, 0).granted.expect("no room for a request");
    assert_eq!(clients.usage().memory, charged + REQUEST_BYTES);
    clients.end_request(id, 1);
    assert_eq!(clients.usage().memory, charged);
    clients.close(id);
    assert_eq!(clients.usage().memory, 0);
}

#[test]
fn a_body_is_charged_for_all_its_copies() {
    let settings = ClientSettings::divide(160_000_000, 4_100, Listeners::default());
    let mut clients = Clients::new(ClientSettings { body_copies: 3, ..settings });
    let id = run(&mut clients, 0);
    let before = clients.usage().memory;
    let held = [Content::Body(MIB), Content::Answer(MIB)].map(|content| {
        clients.begin_body(id, 0);
        clients.hold(id, MIB, content, 0)
    });
    assert_eq!(clients.usage().memory, before + 4 * MIB);
    drop(held);
    assert_eq!(clients.usage().memory, before);
}

#[test]
fn heads_and_idle_connections_expire_and_requests_do_not() {
    let mut clients = clients(64 * MIB, 100);
    let silent = open(&mut clients, CALLERS, 0);
    let head = open(&mut clients, CALLERS, 0);
    clients.receive_head(head, 10, 0);
    let running = run(&mut clients, 0);
    assert!(clients.expire(10_000, 60_000, 10_000).is_empty());
    assert_eq!(clients.expire(10_000, 60_000, 10_001), [head]);
    assert_eq!(clients.expire(10_000, 60_000, 60_001), [silent]);
    clients.end_request(running, 70_000);
    assert!(clients.expire(10_000, 60_000, 130_000).is_empty());
    assert_eq!(clients.expire(10_000, 60_000, 130_001), [running]);
}

#[test]
fn memory_of_connections_that_have_to_go_is_free_at_once() {
    let mut clients = clients(16 * MIB, 100);
    let held: Vec<_> = (0..2).map(|_| send_body(&mut clients, 4 * MIB, 0)).collect();
    let (_, room) = send_body(&mut clients, 8 * MIB, LATE);
    assert!(room.granted.is_some());
    assert_eq!(room.dismissed.len(), 2);
    for (id, charge) in held {
        drop(charge);
        clients.close(id);
    }
    // The large one holds its part.
    assert!(send_body(&mut clients, 4 * MIB, LATE).1.granted.is_none());
}

#[test]
fn every_entry_of_the_smallest_size_has_room_for_the_largest_body() {
    let listeners = Listeners { has_entries: true, internal: 3 };
    for (memory, descriptors) in [(160_000_000, 4_100), (260_000_000, 4_100), (512_000_000, 8_192)]
    {
        let settings = ClientSettings::divide(memory, descriptors, listeners);
        assert_eq!(settings.listeners.len(), 5);
        let used: usize = settings.listeners.iter().map(|share| share.descriptors).sum();
        assert!(used < descriptors - 200, "{used} of {descriptors}");
        assert!(used * CONNECTION_BYTES <= settings.memory / 2);
        // Requests and connections of a caller each.
        assert!(settings.listeners[0].descriptors > 1_000, "{settings:?}");
        let mut clients = Clients::new(settings);
        while clients.usage().connections < 1_000 {
            open(&mut clients, CALLERS, 0);
        }
        assert!(send_body(&mut clients, 4 * MIB, 0).1.granted.is_some());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Open(usize),
    Head(usize, usize),
    Begin(usize),
    Body(usize, usize),
    Send(usize, bool),
    End(usize),
    Close(usize),
    Expire,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = || 0_usize..20;
    let step = prop_oneof![
        (0_usize..2).prop_map(Step::Open),
        (at(), 1_usize..70_000).prop_map(|(at, bytes)| Step::Head(at, bytes)),
        at().prop_map(Step::Begin),
        (at(), 1_usize..MIB).prop_map(|(at, bytes)| Step::Body(at, bytes)),
        (at(), any::<bool>()).prop_map(|(at, blocked)| Step::Send(at, blocked)),
        at().prop_map(Step::End),
        at().prop_map(Step::Close),
        Just(Step::Expire),
        (0_u64..3_000).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    // Whatever clients do, what they hold stays within the memory, once those that have to go have gone, and nothing is
    // left when all are gone.
    #[test]
    fn clients_hold_no_more_than_they_may(steps in steps()) {
        let memory = 4 * MIB;
        let mut clients = clients(memory, 12);
        let mut held: Vec<(ConnectionId, Vec<ClientCharge>)> = Vec::new();
        let mut now = 0;
        for step in steps {
            let id = |held: &[(ConnectionId, Vec<ClientCharge>)], at: usize| {
                (!held.is_empty()).then(|| at % held.len())
            };
            let mut gone = Vec::new();
            match step {
                Step::Open(listener) => {
                    let room = clients.open(listener, now);
                    gone = room.dismissed;
                    held.extend(room.granted.map(|id| (id, Vec::new())));
                }
                Step::Head(at, bytes) => if let Some(at) = id(&held, at) {
                    gone = clients.receive_head(held[at].0, bytes, now).dismissed;
                },
                Step::Begin(at) => if let Some(at) = id(&held, at) {
                    gone = clients.begin_request(held[at].0, now).dismissed;
                    clients.begin_body(held[at].0, now);
                },
                Step::Body(at, bytes) => if let Some(at) = id(&held, at) {
                    let room = clients.hold(held[at].0, bytes, Content::Body(bytes), now);
                    gone = room.dismissed;
                    held[at].1.extend(room.granted);
                },
                Step::Send(at, blocked) => if let Some(at) = id(&held, at) {
                    clients.send(held[at].0, 10, blocked, now);
                },
                Step::End(at) => if let Some(at) = id(&held, at) {
                    clients.end_body(held[at].0, now);
                    clients.end_request(held[at].0, now);
                    held[at].1.clear();
                },
                Step::Close(at) => if let Some(at) = id(&held, at) {
                    gone.push(held[at].0);
                },
                Step::Expire => gone = clients.expire(2_000, 4_000, now),
                Step::Wait(ms) => now += ms,
            }
            for id in gone {
                held.retain(|(other, _)| *other != id);
                clients.close(id);
            }
            prop_assert!(clients.usage().memory <= memory);
            prop_assert_eq!(clients.usage().connections, held.len());
        }
        for (id, charges) in held.drain(..) {
            drop(charges);
            clients.close(id);
        }
        prop_assert_eq!(clients.usage(), coord::ClientUse::default());
    }
}
