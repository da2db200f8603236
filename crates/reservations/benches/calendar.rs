//! Benchmarks of a calendar with up to 100,000 claims: proposal and withdrawal of another claim, reading
//! allowances, finding the next change, displacement, and replay.
//! Run them with `cargo bench -p copperspread-reservations`.
use copperspread_reservations::{
    Amount, Calendar, Command, CommandBody, CommandId, DAY, Flexibility, HOUR, Interval, Name, Owner,
    ReservationRequest, Schedule, Settings, SpanMillis, UnixMillis,
};
use divan::{Bencher, black_box};

const CLAIM_COUNTS: [u64; 3] = [1_000, 10_000, 100_000];
/// The number of pools among which the claims are distributed.
const POOL_COUNT: u64 = 50;
/// Monday, 7 December 2026, 00:00 UTC.
const START: UnixMillis = UnixMillis(1_796_601_600_000);
const SLOTS_PER_POOL: u32 = 4_000;

fn main() {
    divan::main();
}

fn name(text: &str) -> Name {
    Name::new(text).expect("valid name")
}

fn command(member: &str, sequence: u64, body: CommandBody) -> Command {
    Command { id: CommandId { member: name(member), incarnation: 1, sequence }, body }
}

fn set_capacity(sequence: u64, pool: u64, slots: u32) -> Command {
    command(
        "pools",
        sequence,
        CommandBody::SetCapacity { pool: name(&format!("pool-{pool}")), zone: name("north"), slots },
    )
}

fn random_span(random: &mut fastrand::Rng, min: SpanMillis, max: SpanMillis) -> SpanMillis {
    SpanMillis(random.i64(min.0..max.0))
}

/// The proposal of a claim of 1 to 48 hours. The claims are distributed over the pools and about a year, and
/// every fourth one accepts fewer slots.
fn claim(number: u64, precedence: u32) -> Command {
    let mut random = fastrand::Rng::with_seed(number);
    let start = START + random_span(&mut random, 2 * HOUR, 390 * DAY);
    let interval = Interval { start, end: start + random_span(&mut random, HOUR, 48 * HOUR) };
    let flexibility = Flexibility {
        min_slots: number.is_multiple_of(4).then_some(1),
        allows_split: number.is_multiple_of(8),
    };
    let request = ReservationRequest {
        owner: Owner::Tenant(name(&format!("tenant-{}", number % 200))),
        pool: name(&format!("pool-{}", number % POOL_COUNT)),
        amount: Amount::Slots(random.u32(1..=40)),
        schedule: Schedule::Once(interval),
        precedence,
        flexibility,
        lending_rate_ppm: 10_000,
        hold_end: START + DAY,
    };
    command("claims", number, CommandBody::Reserve(request))
}

fn log_entries(claims: u64) -> Vec<Command> {
    let pools = (0..POOL_COUNT).map(|pool| set_capacity(pool + 1, pool, SLOTS_PER_POOL));
    let confirmed = (1..=claims).flat_map(|number| {
        let proposal = claim(number, 1);
        let confirmation = command("confirms", number, CommandBody::Confirm(proposal.id.clone()));
        [proposal, confirmation]
    });
    pools.chain(confirmed).collect()
}

fn calendar(claims: u64) -> Calendar {
    let mut calendar = Calendar::new(Settings::default()).expect("valid settings");
    for command in log_entries(claims) {
        calendar.apply(START, &command);
    }
    calendar
}

#[divan::bench(args = CLAIM_COUNTS)]
fn propose_and_withdraw_a_claim(bencher: Bencher<'_, '_>, claims: u64) {
    let mut calendar = calendar(claims);
    let mut number = claims;
    bencher.bench_local(|| {
        number += 1;
        black_box(calendar.apply(START, &claim(number, 2)));
        calendar.apply(START, &command("withdraws", number, CommandBody::Withdraw(claim(number, 2).id)))
    });
}

#[divan::bench(args = CLAIM_COUNTS)]
fn read_allowances(bencher: Bencher<'_, '_>, claims: u64) {
    let calendar = calendar(claims);
    let mut at = START;
    bencher.bench_local(|| {
        at = START + (at - START + 7 * HOUR) % (390 * DAY);
        calendar.allowances(black_box(at))
    });
}

#[divan::bench(args = CLAIM_COUNTS)]
fn find_next_change(bencher: Bencher<'_, '_>, claims: u64) {
    let calendar = calendar(claims);
    let mut at = START;
    bencher.bench_local(|| {
        at = START + (at - START + 7 * HOUR) % (390 * DAY);
        calendar.next_change_after(black_box(at))
    });
}

/// Puts all claims into one pool within 31 days, and confirms a claim that displaces all others over 48
/// hours.
#[divan::bench(args = [1_000, 10_000], sample_count = 3, sample_size = 1)]
fn displace_all_overlapping(bencher: Bencher<'_, '_>, claims: u64) {
    let mut calendar = Calendar::new(Settings::default()).expect("valid settings");
    let claim_in_one_pool = |number, precedence| {
        let mut proposal = claim(number, precedence);
        if let CommandBody::Reserve(request) = &mut proposal.body {
            request.pool = name("pool-0");
            if let Schedule::Once(Interval { start, end }) = &mut request.schedule {
                let shift = (*start - START) / (31 * DAY) * (31 * DAY);
                (*start, *end) = (*start - shift, *end - shift);
            }
        }
        proposal
    };
    calendar.apply(START, &set_capacity(1, 0, 10_000_000));
    for number in 1..=claims {
        let proposal = claim_in_one_pool(number, 1);
        calendar.apply(START, &proposal);
        calendar.apply(START, &command("confirms", number, CommandBody::Confirm(proposal.id)));
    }
    let mut large_claim = claim_in_one_pool(claims + 1, 2);
    if let CommandBody::Reserve(request) = &mut large_claim.body {
        request.amount = Amount::Slots(10_000_000);
        request.flexibility = Flexibility::default();
        request.schedule = Schedule::Once(Interval { start: START + 10 * DAY, end: START + 12 * DAY });
    }
    bencher.with_inputs(|| calendar.clone()).bench_local_values(|mut calendar| {
        let proposal_events = calendar.apply(START, &large_claim);
        let confirmation = command("confirms", claims + 1, CommandBody::Confirm(large_claim.id.clone()));
        (proposal_events, calendar.apply(START, &confirmation), calendar)
    });
}

/// Shrinks all pools, so that the claims last in rank are displaced, each with a search for its nearest
/// alternative.
#[divan::bench(args = CLAIM_COUNTS, sample_count = 3, sample_size = 1)]
fn shrink_all_pools(bencher: Bencher<'_, '_>, claims: u64) {
    let calendar = calendar(claims);
    bencher.with_inputs(|| calendar.clone()).bench_local_values(|mut calendar| {
        for pool in 0..POOL_COUNT {
            calendar.apply(START, &set_capacity(POOL_COUNT + 1 + pool, pool, 60));
        }
        calendar
    });
}

#[divan::bench(args = CLAIM_COUNTS, sample_count = 3, sample_size = 1)]
fn replay_the_log(bencher: Bencher<'_, '_>, claims: u64) {
    let log = log_entries(claims);
    bencher.bench_local(|| {
        let mut calendar = Calendar::new(Settings::default()).expect("valid settings");
        log.iter().for_each(|command| drop(calendar.apply(START, command)));
        calendar
    });
}
