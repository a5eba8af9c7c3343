//! Benchmarks of placement and routing decisions, without daemons.

use std::time::{Duration, Instant};

use base::{Name, Resources, Timer};
use place::{Cell, Constraints, Id, Policy, Request, State, Worker};
use rand::{Rng, SeedableRng, rngs::StdRng};
use route::{Discipline, Router, Runner, SlotRequest};
use schema::Urgency;

use crate::figures::{Figures, histogram, record};

/// Seed of all random choices.
const SEED: u64 = 20_261_204;

/// Running tasks per worker at the design size: 77 000 tasks on 3300 workers.
const TASKS_PER_WORKER: usize = 77_000 / 3300;

/// Decisions to time at each cell size.
const DECISIONS: usize = 50_000;

/// Runners of the routing benchmark.
const RUNNERS: u32 = 500;

/// Tasks of the gang, which start together.
const GANG_TASKS: u32 = 256;

/// Kind, CPU in thousandths of a core, memory in MiB and number of accelerators
/// of the workers.
const WORKER_SHAPES: [(&str, u32, u32, u32); 5] = [
    ("standard", 64_000, 262_144, 0),
    ("standard", 16_000, 32_768, 0),
    ("memory", 32_000, 524_288, 0),
    ("accelerated", 64_000, 262_144, 4),
    ("accelerated", 96_000, 524_288, 8),
];

/// Measures placement decisions at three cell sizes, a gang and routing
/// decisions.
pub(crate) fn measure(figures: &mut Figures) {
    let mut means = Vec::new();
    for workers in [50, 500, 3300] {
        let (per_second, p99_us) = time_placements(workers);
        figures.add(format!("placement_decisions_per_s_{workers}w"), per_second);
        figures.add(format!("placement_decision_p99_us_{workers}w"), p99_us);
        means.push(1.0 / per_second);
    }
    figures.add("placement_cost_ratio_3300w_over_50w", means[2] / means[0]);
    figures.add("gang_256_decision_ms", time_gang());
    let (p99_us, mean_us) = time_routes();
    figures.add("route_decision_p99_us", p99_us);
    figures.add("route_decision_mean_us", mean_us);
}

/// Returns a cell and the worker and size of each placed task. The cell is filled
/// until it has the task density of the design size or a request does not fit.
fn filled_cell(workers: usize, rng: &mut StdRng) -> (Cell, Vec<(Id, Resources)>) {
    let mut cell = Cell::default();
    for number in 0..workers {
        let (kind, cpu_milli, memory_mib, accelerators) =
            WORKER_SHAPES[number % WORKER_SHAPES.len()];
        let worker = Worker {
            name: format!("worker-{number}").into(),
            kind: kind.into(),
            rack: format!("rack-{}", number / 8).into(),
            capacity: Resources { cpu_milli, memory_mib, accelerators },
            ..Default::default()
        };
        cell.upsert(worker, State::Ready);
    }
    let mut tasks = Vec::new();
    while tasks.len() < workers * TASKS_PER_WORKER {
        let request = random_request(rng);
        match cell.place(&request, Policy::Pack, &mut Constraints::default()) {
            Ok(choice) => tasks.push((choice.worker, request.size)),
            Err(_) => break,
        }
    }
    (cell, tasks)
}

fn random_request(rng: &mut StdRng) -> Request {
    let accelerators = u32::from(rng.random_ratio(1, 20));
    let size = Resources {
        cpu_milli: 100 * rng.random_range(1..=30),
        memory_mib: 256 * rng.random_range(1..=16),
        accelerators,
    };
    Request { size, ..Default::default() }
}

/// Repeatedly ends a task and places another one, in a cell filled to the task
/// density of the design size. Returns decisions per second and the 99th
/// percentile of their time in microseconds.
fn time_placements(workers: usize) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let (mut cell, mut tasks) = filled_cell(workers, &mut rng);
    let mut times = histogram();
    let mut total = Duration::ZERO;
    for _ in 0..DECISIONS {
        let at = rng.random_range(0..tasks.len());
        let (worker, size) = tasks.swap_remove(at);
        cell.release(worker, size);
        let request = random_request(&mut rng);
        let start = Instant::now();
        let placed = cell.place(&request, Policy::Pack, &mut Constraints::default());
        let took = start.elapsed();
        total += took;
        record(&mut times, took.as_nanos() as u64);
        if let Ok(choice) = placed {
            tasks.push((choice.worker, request.size));
        }
    }
    let per_second = DECISIONS as f64 / total.as_secs_f64();
    (per_second, times.value_at_quantile(0.99) as f64 / 1000.0)
}

/// Returns the time to place a gang, in milliseconds.
fn time_gang() -> f64 {
    let mut rng = StdRng::seed_from_u64(SEED);
    let (mut cell, _) = filled_cell(3300, &mut rng);
    let size = Resources { cpu_milli: 2000, memory_mib: 2048, accelerators: 0 };
    let request = Request { size, ..Default::default() };
    let start = Instant::now();
    let placed = cell.place_all(&request, Policy::Pack, &mut Constraints::default(), GANG_TASKS);
    let took = start.elapsed();
    assert!(placed.is_ok(), "the cell should have free capacity for the gang");
    took.as_secs_f64() * 1000.0
}

/// Returns the 99th percentile and the mean time of a routing decision in
/// microseconds, including the acquisition and release of a slot.
fn time_routes() -> (f64, f64) {
    let router = Router::new(Timer::default(), Discipline::Urgency);
    let service: Name = "counter.Parts".into();
    for number in 0..RUNNERS {
        router.upsert(Runner {
            name: format!("runner-{number}").into(),
            data_centre: format!("dc-{}", number % 14).into(),
            services: [service.clone()].into_iter().collect(),
            slots: 8,
            inherited: 0,
            is_open: true,
            handle: (),
        });
    }
    let slot_request = SlotRequest {
        service: &service,
        data_centre: "dc-3",
        urgency: Urgency::Urgent,
        arrived: Duration::ZERO,
        time_left: Duration::from_secs(1),
        max_wait: Duration::ZERO,
        avoid: &[],
    };
    // Half of the slots are in use.
    let held: Vec<_> = (0..RUNNERS * 4).filter_map(|_| router.try_acquire(&slot_request)).collect();
    let mut times = histogram();
    for _ in 0..DECISIONS {
        let start = Instant::now();
        drop(router.try_acquire(&slot_request));
        record(&mut times, start.elapsed().as_nanos() as u64);
    }
    drop(held);
    (times.value_at_quantile(0.99) as f64 / 1000.0, times.mean() / 1000.0)
}
