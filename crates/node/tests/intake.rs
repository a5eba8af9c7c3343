//! Budgets for clients that aren't controlled, without a network.

use std::time::Duration;

use googletest::prelude::*;
use node::{
    intake::{Budget, Charge, Id, Ledger, MIN_STEP_RECORD_BYTES, Port, Refusal},
    settings::Limits,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Bytes of an ordinary job.
const JOB_BYTES: usize = 4 << 10;

/// What an ordinary job is charged until it is recorded: five copies of its text,
/// and 1 KiB for each of three steps.
const JOB_CHARGE: usize = 5 * JOB_BYTES + 3 * 1024;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ledger(memory_mb: u64, max_fds: usize) -> Ledger {
    let limits = Limits { memory_mb, max_fds, ..Limits::default() };
    Ledger::new(Budget::new(&limits, &work::Limits::default()))
}

/// Opens a connection for which no other has to be closed.
fn open(ledger: &mut Ledger, port: Port, now: Duration) -> Id {
    let (id, evicted) = ledger.open(port, now).expect("the port has room");
    assert_eq!(evicted, None);
    id
}

/// Opens a connection that is in a body of `bytes`.
fn open_body(ledger: &mut Ledger, has_key: bool, bytes: usize, now: Duration) -> Id {
    let id = open(ledger, Port::Clients, now);
    ledger.receive(id, 100, now).expect("the connection is open");
    ledger.begin_body(id, now);
    if has_key {
        ledger.trust(id);
    }
    assert_eq!(ledger.charge(id, bytes, now), Charge::Granted(vec![]));
    id
}

/// Well-behaved clients never meet a limit of the smallest instance: 200 with four
/// connections each, idle for an hour, then with bursts of 400 jobs a second while
/// the store takes 300 ms for each.
#[gtest]
fn ordinary_clients_meet_no_default_limit() {
    assert_that!(Limits::default().memory_mb, eq(120));
    assert_that!(Limits::default().max_fds, eq(3075));
    let mut ledger = ledger(120, 3075);
    let ids: Vec<Id> = (0..800).map(|_| open(&mut ledger, Port::Clients, ms(0))).collect();
    let mut now = ms(0);
    for _ in 0..4 {
        // The connections of the first round have never had a request.
        now += ms(3_600_000);
        expect_that!(ledger.overdue(now), is_empty());
        let in_flight = 400 * 300 / 1000;
        for burst in ids.chunks(in_flight) {
            for id in burst {
                assert_that!(ledger.receive(*id, 300, now), ok(()));
                ledger.begin_body(*id, now);
                // Half of the clients use queues that need no key.
                if id.is_multiple_of(2) {
                    ledger.trust(*id);
                }
                assert_that!(ledger.charge(*id, JOB_CHARGE, now), eq(&Charge::Granted(vec![])));
                ledger.begin_answer(*id);
            }
            now += ms(300);
            expect_that!(ledger.overdue(now), is_empty());
            for id in burst {
                ledger.release(*id, JOB_CHARGE);
                ledger.finish(*id, true, now);
            }
        }
        expect_that!(ledger.held(), eq((0, 0)));
    }
    expect_that!(ledger.connections(Port::Clients), eq(800));
}

/// 200 connections may stay open without any request for as long as they like.
#[gtest]
fn unused_connections_of_ordinary_clients_stay_open() {
    let mut ledger = ledger(120, 3075);
    for _ in 0..200 {
        open(&mut ledger, Port::Clients, ms(0));
    }
    expect_that!(ledger.overdue(ms(86_400_000)), is_empty());
}

/// All that clients can make the process hold stays within three fifths of the
/// memory, and within the descriptors that are not kept for files.
#[gtest]
fn budget_fits_the_instance() {
    for (memory_mb, max_fds) in [(48, 500), (120, 3075), (256, 3075), (512, 10_250)] {
        let limits = Limits { memory_mb, max_fds, ..Limits::default() };
        let requests = work::Limits::default();
        let budget = Budget::new(&limits, &requests);
        let connections = budget.clients + 2 * budget.probes + 2 * budget.links;
        // The doubled receive buffer, the task and the read buffer.
        let connection = (16 << 10) + (8 << 10) + budget.read_buffer;
        let held = budget.held_bytes + budget.link_bytes;
        let memory = (memory_mb << 20) as usize;
        expect_that!(connections * connection + held, le(memory * 3 / 5));
        expect_that!(connections, le(max_fds - 200));
        expect_that!(budget.held_bytes, ge(requests.max_body_bytes));
        expect_that!(budget.link_bytes, ge(limits.job_bytes));
        // A head of the full size fits.
        expect_that!(budget.read_buffer, gt(requests.max_header_bytes));
    }
    // The other 96 instances of the largest deployment fit on the smallest ones.
    expect_that!(Budget::new(&Limits::default(), &work::Limits::default()).links, gt(96));
}

/// A new connection takes the place of the one that has gone longest without
/// progress, not of the newest, of one with a valid key, or of one that waits for
/// its answer.
#[gtest]
fn full_port_closes_the_connection_longest_without_progress() {
    let mut ledger = ledger(48, 500);
    let first = open(&mut ledger, Port::Clients, ms(0));
    ledger.trust(first);
    let second = open(&mut ledger, Port::Clients, ms(1));
    ledger.begin_answer(second);
    let third = open(&mut ledger, Port::Clients, ms(2));
    let fourth = open(&mut ledger, Port::Clients, ms(3));
    while ledger.connections(Port::Clients) < ledger.budget().clients {
        open(&mut ledger, Port::Clients, ms(4));
    }
    assert_that!(ledger.receive(third, 1, ms(5)), ok(()));
    let (_, evicted) = ledger.open(Port::Clients, ms(6)).expect("one makes room");
    expect_that!(evicted, some(eq(fourth)));
    // The closed connection's late bytes are refused.
    expect_that!(ledger.receive(fourth, 1, ms(7)), err(eq(Refusal::Evicted)));
}

/// A port on which all connections wait for answers refuses new ones.
#[gtest]
fn waiting_requests_are_not_cut_off() {
    let mut ledger = ledger(48, 500);
    for _ in 0..ledger.budget().clients {
        let id = open(&mut ledger, Port::Clients, ms(0));
        ledger.begin_answer(id);
    }
    expect_that!(ledger.open(Port::Clients, ms(1)), err(eq(Refusal::Full)));
}

/// Callers with a valid key keep their part of the bytes, and take the rest from
/// callers without one.
#[gtest]
fn callers_with_a_key_come_first() {
    let mut ledger = ledger(48, 500);
    let Budget { held_bytes, keyless_bytes, .. } = *ledger.budget();
    let crowd = open_body(&mut ledger, false, keyless_bytes, ms(0));
    let late = open(&mut ledger, Port::Clients, ms(1));
    expect_that!(ledger.charge(late, 1, ms(1)), eq(&Charge::Refused));
    let caller = open_body(&mut ledger, true, held_bytes - keyless_bytes, ms(2));
    let next = open(&mut ledger, Port::Clients, ms(3));
    ledger.trust(next);
    expect_that!(ledger.charge(next, 1000, ms(3)), eq(&Charge::Granted(vec![crowd])));
    ledger.begin_body(next, ms(3));
    // A caller without a key takes nothing from those with one, however long they
    // have stalled.
    expect_that!(ledger.charge(late, keyless_bytes, ms(60_000)), eq(&Charge::Refused));
    ledger.close(caller);
    ledger.close(next);
    expect_that!(ledger.held(), eq((0, 0)));
}

/// Among equals, only a request without progress makes room.
#[gtest]
fn stalled_bodies_make_room_for_new_ones() {
    let mut ledger = ledger(48, 500);
    let half = ledger.budget().keyless_bytes / 2;
    let first = open_body(&mut ledger, false, half, ms(0));
    let second = open_body(&mut ledger, false, half, ms(10));
    let third = open(&mut ledger, Port::Clients, ms(20));
    expect_that!(ledger.charge(third, half, ms(20)), eq(&Charge::Refused));
    // The first makes progress, so that the second has stalled for longest.
    assert_that!(ledger.receive(first, 1, ms(600)), ok(()));
    expect_that!(ledger.charge(third, half, ms(700)), eq(&Charge::Granted(vec![second])));
}

/// One request is served whatever the memory, as long as it is alone.
#[gtest]
fn lone_request_is_always_served() {
    let mut ledger = ledger(1, 250);
    let id = open(&mut ledger, Port::Clients, ms(0));
    expect_that!(ledger.charge(id, 8 << 20, ms(0)), eq(&Charge::Granted(vec![])));
    expect_that!(ledger.charge(id, 8 << 20, ms(0)), eq(&Charge::Granted(vec![])));
}

/// A head that comes byte by byte ends with its time limit.
#[gtest]
fn slow_heads_end_in_time() {
    let mut ledger = ledger(120, 3075);
    let id = open(&mut ledger, Port::Clients, ms(0));
    for second in 1..=4 {
        assert_that!(ledger.receive(id, 1, ms(second * 1000)), ok(()));
    }
    expect_that!(ledger.overdue(ms(4000)), is_empty());
    expect_that!(ledger.overdue(ms(4001)), elements_are![eq(&(id, Port::Clients, Refusal::Head))]);
    expect_that!(ledger.connections(Port::Clients), eq(0));
}

/// Connections that were never used make room before those between requests, and
/// without a key before those with one.
#[gtest]
fn unused_connections_make_room_first() {
    let mut ledger = ledger(48, 500);
    let keyed = open(&mut ledger, Port::Clients, ms(0));
    ledger.trust(keyed);
    ledger.finish(keyed, true, ms(0));
    let served = open(&mut ledger, Port::Clients, ms(0));
    ledger.finish(served, true, ms(0));
    let refused = open(&mut ledger, Port::Clients, ms(1));
    ledger.finish(refused, false, ms(1));
    while ledger.connections(Port::Clients) < ledger.budget().clients {
        open(&mut ledger, Port::Clients, ms(2));
    }
    // Each new connection is in its answer, so that it is not the next to go.
    let mut next = |now| {
        let (id, evicted) = ledger.open(Port::Clients, ms(now)).expect("one makes room");
        ledger.begin_answer(id);
        evicted.expect("the port is full")
    };
    let evicted: Vec<Id> =
        (0..).map(|now| next(60_000 + now)).take_while(|id| *id != keyed).collect();
    expect_that!(evicted.first(), some(eq(&refused)));
    expect_that!(evicted.last(), some(eq(&served)));
}

/// Before its greeting a link may send little, after it no more than the links'
/// part; complete messages are free again.
#[gtest]
fn messages_on_links_are_bounded() {
    let mut ledger = ledger(48, 500);
    let stranger = open(&mut ledger, Port::Links, ms(0));
    expect_that!(ledger.receive(stranger, 17 << 10, ms(0)), err(eq(Refusal::TooLarge)));
    let max = ledger.budget().link_bytes;
    let peer = open(&mut ledger, Port::Links, ms(0));
    ledger.trust(peer);
    for now in 0..3 {
        assert_that!(ledger.receive(peer, max, ms(now)), ok(()));
        ledger.settle(peer);
    }
    expect_that!(ledger.held(), eq((0, 0)));
    let other = open(&mut ledger, Port::Links, ms(4));
    ledger.trust(other);
    assert_that!(ledger.receive(peer, max, ms(4)), ok(()));
    expect_that!(ledger.receive(other, 17 << 10, ms(4)), err(eq(Refusal::NoRoom)));
    // Links that have greeted are not closed for others.
    while let Ok((_, None)) = ledger.open(Port::Links, ms(5)) {}
    expect_that!(ledger.receive(peer, 0, ms(6)), ok(()));
}

/// A step whose record can't fit must not be refused for its size alone by mistake.
#[gtest]
fn step_records_are_at_least_as_large_as_assumed() {
    let step = work::Step { count: 1, ..work::Step::default() };
    expect_that!(work::encode(&step).len(), ge(MIN_STEP_RECORD_BYTES));
}

/// Whatever happens, the account never exceeds the budget unless one request is
/// alone, and ends empty.
#[gtest]
fn account_holds_under_random_operations() {
    let mut random = StdRng::seed_from_u64(20_261_207);
    for _ in 0..50 {
        let mut ledger = ledger(48, 500);
        let mut ids: Vec<Id> = Vec::new();
        let mut now = ms(0);
        for _ in 0..2000 {
            now += ms(random.random_range(0..200));
            let id = ids.get(random.random_range(0..ids.len().max(1))).copied().unwrap_or(0);
            match random.random_range(0..9) {
                0 | 1 => ids.extend(ledger.open(Port::Clients, now).ok().map(|(id, _)| id)),
                2 => ledger.trust(id),
                3 => ledger.begin_body(id, now),
                4 | 5 => {
                    let bytes = random.random_range(0..300_000);
                    if let Charge::Granted(victims) = ledger.charge(id, bytes, now) {
                        expect_that!(victims.contains(&id), eq(false));
                    }
                }
                6 => ledger.release(id, random.random_range(0..300_000)),
                7 => ledger.finish(id, random.random(), now),
                _ => drop(ledger.overdue(now)),
            }
            let Budget { held_bytes, clients, .. } = *ledger.budget();
            expect_that!(ledger.connections(Port::Clients), le(clients));
            // Parts of 300,000 bytes never need the exception for a lone request
            // while another request is held.
            expect_that!(ledger.held().0 <= held_bytes || ledger.holders() == 1, eq(true));
        }
        ids.iter().for_each(|id| ledger.close(*id));
        expect_that!(ledger.held(), eq((0, 0)));
    }
}

/// The template of the settings gives the limits as numbers in quotes, and an older
/// platform leaves the placeholders in place, which must not stop the node.
#[gtest]
fn limits_are_read_from_filled_and_unfilled_templates() -> googletest::Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("settings.jsonc");
    let read = |memory: &str, fds: &str| {
        let text = format!(r#"{{"limits":{{"memory_mb":{memory},"max_fds":{fds}}}}}"#);
        std::fs::write(&path, text).expect("the folder can be written");
        node::load_settings(&path)
            .map(|settings| (settings.limits.memory_mb, settings.limits.max_fds))
    };
    expect_that!(read("512", "10250"), ok(eq(&(512, 10_250))));
    expect_that!(read("512.0", "10250.0"), ok(eq(&(512, 10_250))));
    expect_that!(read(r#""256""#, r#""5000""#), ok(eq(&(256, 5000))));
    let unfilled = read(r#""{{limits.memoryMb|json}}""#, r#""{{limits.maxFds|json}}""#);
    expect_that!(unfilled, ok(eq(&(120, 3075))));
    expect_that!(read(r#""much""#, "1"), err(anything()));
    Ok(())
}
