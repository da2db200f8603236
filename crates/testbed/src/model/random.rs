//! Makes the random streams of a run: one for each purpose, all from one seed.
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A reproducible stream of random numbers.
pub type RandomStream = Pcg64Mcg;

/// What a stream is used for. Draws for one purpose do not change those for another.
#[derive(Clone, Copy, Debug)]
pub enum StreamPurpose {
    /// Arrivals and all that a job is when it arrives.
    Arrivals = 1,
    /// The workers' true speeds.
    Fleet,
    /// Which workers a fault meets.
    Faults,
    /// Latencies, losses, resets.
    Network,
    /// Clients' waits before a retry.
    Retries,
    /// Noise in load reports.
    Reports,
}

/// The stream for a purpose under a seed.
pub fn random_stream(seed: u64, purpose: StreamPurpose) -> RandomStream {
    // Neighbouring seeds become far apart; the generator's own seeding mixes the bits.
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((purpose as u64) << 56))
}
