//! Benchmark of membership: one simulated second of idle members on one core, including the simulated
//! network.
//!
//! The items of the throughput are members, so the time per member is the median time divided by the number
//! of members. Run with `cargo bench -p copperspread-testbed --bench membership`.
use copperspread_membership::SECOND;
use copperspread_testbed::membership_simulation::SimulatedNetwork;
use divan::Bencher;
use divan::counter::ItemsCount;

fn main() {
    divan::main();
}

#[divan::bench(args = [10, 30, 100, 300, 1000], sample_count = 30, sample_size = 1)]
fn idle_second(bencher: Bencher<'_, '_>, members: usize) {
    let mut network = SimulatedNetwork::joined(members, 1);
    network.run(120 * SECOND);
    bencher.counter(ItemsCount::new(members)).bench_local(|| network.run(SECOND));
}
