//! Tests of placement decisions and worker health.

use std::time::Duration;

use base::{Name, Resources};
use googletest::prelude::*;
use place::{Cell, Constraints, Health, Id, Outcome, Policy, Request, State, Transition, Worker};
use proptest::prelude::*;

fn size(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> Resources {
    Resources { cpu_milli, memory_mib, accelerators }
}

fn worker(name: &str, rack: &str, capacity: Resources) -> Worker {
    Worker { name: name.into(), rack: rack.into(), capacity, ..Default::default() }
}

fn request(size: Resources) -> Request {
    Request { size, ..Default::default() }
}

#[gtest]
fn pack_uses_one_worker_and_spread_uses_all() {
    for (policy, expected) in [(Policy::Pack, 1), (Policy::Spread, 4)] {
        let mut cell = Cell::default();
        for name in ["a", "b", "c", "d"] {
            cell.upsert(worker(name, "r", size(4000, 4000, 0)), State::Ready);
        }
        let placed: std::collections::BTreeSet<Id> = (0..4)
            .map(|_| cell.place(&request(size(1000, 1000, 0)), policy, &mut Constraints::default()))
            .map(|choice| choice.expect("a worker has free capacity").worker)
            .collect();
        expect_that!(placed.len(), eq(expected));
    }
}

#[gtest]
fn tasks_without_accelerators_leave_accelerated_workers_free() {
    let mut cell = Cell::default();
    cell.upsert(worker("accelerated", "r", size(4000, 4000, 4)), State::Ready);
    let plain = cell.upsert(worker("plain", "r", size(4000, 4000, 0)), State::Ready);
    let choice =
        cell.place(&request(size(500, 500, 0)), Policy::Spread, &mut Constraints::default());
    expect_that!(choice.map(|choice| choice.worker), ok(eq(plain)));
}

#[gtest]
fn task_fits_a_worker_whose_scarce_dimension_it_barely_needs() {
    let mut cell = Cell::default();
    let id = cell.upsert(worker("a", "r", size(10_000, 10_000, 0)), State::Ready);
    cell.allocate(id, size(9500, 0, 0));
    let wide = request(size(500, 9000, 0));
    let choice = cell.place(&wide, Policy::Pack, &mut Constraints::default());
    expect_that!(choice.map(|choice| choice.worker), ok(eq(id)));
}

#[gtest]
fn refusals_are_counted_by_reason() {
    let mut cell = Cell::default();
    cell.upsert(worker("small", "r", size(100, 100, 0)), State::Ready);
    let full = cell.upsert(worker("full", "r", size(4000, 4000, 0)), State::Ready);
    cell.allocate(full, size(4000, 4000, 0));
    cell.upsert(worker("silent", "r", size(4000, 4000, 0)), State::Silent);
    let task = request(size(1000, 1000, 0));
    let refusals = cell.place(&task, Policy::Pack, &mut Constraints::default()).unwrap_err();
    expect_that!(refusals.too_small, eq(1));
    expect_that!(refusals.no_room, eq(1));
    expect_that!(refusals.not_ready, eq(1));
    expect_that!(refusals.is_permanent(), eq(false));
    let oversized = request(size(9000, 1000, 0));
    let refusals = cell.place(&oversized, Policy::Pack, &mut Constraints::default()).unwrap_err();
    expect_that!(refusals.is_permanent(), eq(true));
}

#[gtest]
fn place_all_places_every_task_or_none() {
    let mut cell = Cell::default();
    for (name, rack) in [("a", "r1"), ("b", "r1"), ("c", "r2")] {
        cell.upsert(worker(name, rack, size(4000, 4000, 0)), State::Ready);
    }
    let task = request(size(2000, 2000, 0));
    let mut constraints = Constraints::default();
    expect_that!(cell.place_all(&task, Policy::Pack, &mut constraints, 7).is_err(), eq(true));
    expect_that!(cell.totals().allocated, eq(Resources::ZERO));
    let mut constraints = Constraints { max_per_rack: Some(2), ..Default::default() };
    expect_that!(cell.place_all(&task, Policy::Pack, &mut constraints, 5).is_err(), eq(true));
    expect_that!(constraints.tasks_per_rack.is_empty(), eq(true));
    expect_that!(cell.place_all(&task, Policy::Pack, &mut constraints, 4).is_ok(), eq(true));
}

#[gtest]
fn worker_is_suspected_only_after_failures_of_several_jobs() {
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let at = Duration::from_secs;
    let mut health = Health::default();
    for _ in 0..50 {
        // Neither failures of a single job nor refusals for lack of capacity count.
        expect_that!(health.record(Outcome::Failed, &a, at(0)), none());
        expect_that!(health.record(Outcome::NoRoom, &b, at(0)), none());
    }
    expect_that!(health.record(Outcome::Failed, &b, at(1)), some(eq(Transition::Suspected)));
    expect_that!(health.is_probe_due(at(2)), eq(false));
    expect_that!(health.is_probe_due(at(11)), eq(true));
    expect_that!(health.record(Outcome::Failed, &b, at(11)), none());
    expect_that!(health.is_probe_due(at(30)), eq(false));
    expect_that!(health.record(Outcome::Succeeded, &b, at(31)), some(eq(Transition::Cleared)));
    expect_that!(health.is_suspected(), eq(false));
}

/// An operation on a cell: place a size by a policy, end a task, change a state.
#[derive(Clone, Debug)]
enum Operation {
    Place(u32, u32, u32, u8),
    End(prop::sample::Index),
    SetState(prop::sample::Index, u8),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (1..3000u32, 1..3000u32, 0..3u32, 0..3u8)
            .prop_map(|(c, m, a, p)| Operation::Place(c, m, a, p)),
        any::<prop::sample::Index>().prop_map(Operation::End),
        (any::<prop::sample::Index>(), 0..4u8)
            .prop_map(|(at, state)| Operation::SetState(at, state)),
    ]
}

proptest! {
    #[test]
    fn allocations_are_exact_and_never_exceed_capacity(
        operations in proptest::collection::vec(operation(), 1..120),
    ) {
        let shapes = [size(4000, 4000, 0), size(8000, 2000, 0), size(4000, 8000, 2)];
        let mut cell = Cell::default();
        for number in 0..6 {
            let name = format!("w{number}");
            cell.upsert(worker(&name, &format!("r{}", number % 2), shapes[number % 3]), State::Ready);
        }
        let ids: Vec<Id> = cell.ids().collect();
        let mut tasks: Vec<(Id, Resources)> = Vec::new();
        for operation in operations {
            match operation {
                Operation::Place(cpu, memory, accelerators, policy) => {
                    let task = request(size(cpu, memory, accelerators));
                    let policy = [Policy::Pack, Policy::Spread, Policy::FirstFit][policy as usize];
                    let any_fits = ids.iter().any(|id| {
                        let free = cell.worker(*id).capacity - cell.allocated(*id);
                        cell.state(*id) == State::Ready && task.size.fits(&free)
                    });
                    match cell.place(&task, policy, &mut Constraints::default()) {
                        Ok(choice) => tasks.push((choice.worker, task.size)),
                        Err(_) => prop_assert!(!any_fits, "a worker with enough free capacity was overlooked"),
                    }
                }
                Operation::End(at) if !tasks.is_empty() => {
                    let (id, size) = tasks.swap_remove(at.index(tasks.len()));
                    cell.release(id, size);
                }
                Operation::End(_) => {}
                Operation::SetState(at, state) => {
                    let states = [State::Ready, State::Silent, State::Leaving, State::Suspect];
                    cell.set_state(ids[at.index(ids.len())], states[state as usize]);
                }
            }
            for id in &ids {
                let on_worker = tasks.iter().filter(|(at, _)| at == id);
                let sum = on_worker.fold(Resources::ZERO, |sum, (_, size)| sum + *size);
                prop_assert_eq!(cell.allocated(*id), sum);
                prop_assert!(sum.fits(&cell.worker(*id).capacity));
            }
        }
    }
}
