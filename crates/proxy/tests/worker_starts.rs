//! Tests the estimates of workers' start times when the wall clock is stepped.
//!
//! No worker may be taken for older than it is, nor for younger than the list that first shows its start.
//! Time is simulated.
use copperspread_dispatcher::{Micros, SECOND};
use copperspread_proxy::clock::ClockReading;
use copperspread_proxy::endpoints::{EndpointTable, ListOrigin};
use copperspread_settings::{EndpointList, EndpointPhase, ListedEndpoint, ProxySettings};

/// Start of the scheduler, on its own clock.
const OWN_START: Micros = 1_700_000_000 * SECOND;
const HOUR: Micros = 3_600 * SECOND;
/// Sizes of the wall clock's steps.
const STEPS: [Micros; 6] = [SECOND, 5 * SECOND, 20 * SECOND, 60 * SECOND, HOUR, 24 * HOUR];

fn settings() -> ProxySettings {
    ProxySettings {
        classes: Vec::new(),
        idempotency: Vec::new(),
        tenants: Vec::new(),
        zones: Vec::new(),
        worker_kinds: Vec::new(),
        connect_timeout: SECOND,
        keep_alive_timeout: SECOND,
        sends_retry_after: false,
        max_retry_after: SECOND,
    }
}

fn record(id: &str, started_at: Option<Micros>) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        zone: "a".into(),
        kind: "m".into(),
        cell: 0,
        phase: EndpointPhase::Serving,
        started_at,
        size: None,
    }
}

/// Endpoint table of a scheduler, with the scheduler's own clock and the wall clock.
struct Fixture {
    table: EndpointTable,
    now: Micros,
    /// Wall clock minus the scheduler's own clock, in microseconds.
    wall_clock_offset: i64,
    revision: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { table: EndpointTable::new(&settings()), now: OWN_START, wall_clock_offset: 0, revision: 0 }
    }

    /// Returns a fixture that received a list without worker `w` at the scheduler's start, and then answers
    /// without a change for `unchanged_for`.
    fn after_first_list(unchanged_for: Micros) -> Fixture {
        let mut fixture = Fixture::new();
        fixture.apply(ListOrigin::Discovery, &[record("other", None)]);
        fixture.answer_unchanged_for(unchanged_for);
        fixture
    }

    fn unix_time(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.wall_clock_offset)
    }

    /// Applies a list, and returns the start of its first endpoint on the scheduler's clock.
    fn apply(&mut self, origin: ListOrigin, endpoints: &[ListedEndpoint]) -> Option<Micros> {
        self.revision += 1;
        let list = EndpointList { revision: self.revision, complete: false, endpoints: endpoints.to_vec() };
        let reading = ClockReading { started_at: OWN_START, now: self.now, unix: self.unix_time(self.now) };
        let applied = self.table.apply(&list, origin, reading).expect("list is newer than the table");
        applied.first().and_then(|endpoint| endpoint.started_at)
    }

    /// Advances the clock while a watch is answered every two seconds without a change.
    fn answer_unchanged_for(&mut self, duration: Micros) {
        for _ in 0..duration / (2 * SECOND) {
            self.now += 2 * SECOND;
            self.apply(ListOrigin::Discovery, &[]);
        }
    }

    /// Lists worker `w` with this start, in Unix time, and returns its estimated start on the scheduler's
    /// clock.
    fn list_worker(&mut self, unix_start: Micros) -> Micros {
        self.apply(ListOrigin::Discovery, &[record("w", Some(unix_start))]).expect("worker has a start time")
    }

    fn step_wall_clock(&mut self, offset: i64) {
        self.wall_clock_offset += offset;
    }
}

fn steps_both_ways() -> impl Iterator<Item = i64> {
    STEPS.into_iter().flat_map(|step| [step as i64, -(step as i64)])
}

/// Delays of the list that first shows a worker.
const LIST_DELAYS: [Micros; 4] = [0, 20_000, 2 * SECOND, 6 * SECOND];

#[test]
fn without_a_clock_step_a_start_is_as_listed() {
    for delay in [0, 1, SECOND, 6 * SECOND, 29 * SECOND] {
        for unchanged_for in [0, 10 * SECOND, HOUR] {
            let mut fixture = Fixture::after_first_list(unchanged_for);
            let started_at = fixture.now;
            fixture.answer_unchanged_for(delay);
            fixture.now += delay % (2 * SECOND);
            assert_eq!(
                fixture.list_worker(started_at),
                started_at,
                "{delay} us late after {unchanged_for} us"
            );
        }
    }
    // A small difference, caused by a delay between reading the two clocks, is not taken for a step.
    let mut fixture = Fixture::after_first_list(10 * SECOND);
    fixture.wall_clock_offset = -150_000;
    let started_at = fixture.now - SECOND;
    assert_eq!(fixture.list_worker(started_at), started_at);
}

/// All machines share a clock, which is stepped before the worker starts, or between its start and its list.
#[test]
fn after_a_step_of_all_clocks_a_new_worker_is_not_taken_for_older_than_it_is() {
    for step in steps_both_ways() {
        for delay in LIST_DELAYS {
            for time_after_step in [0, 10 * SECOND, 2 * HOUR] {
                let mut fixture = Fixture::after_first_list(20 * SECOND);
                fixture.step_wall_clock(step);
                fixture.answer_unchanged_for(time_after_step);
                let (started_at, listed_start) = (fixture.now, fixture.unix_time(fixture.now));
                fixture.now += delay;
                let estimate = fixture.list_worker(listed_start);
                let context =
                    format!("step {step} us, list {delay} us late, {time_after_step} us after the step");
                assert!((started_at..=fixture.now).contains(&estimate), "{context}: {estimate}");
            }
            let mut fixture = Fixture::after_first_list(20 * SECOND);
            let (started_at, listed_start) = (fixture.now, fixture.unix_time(fixture.now));
            fixture.now += delay / 2;
            fixture.step_wall_clock(step);
            fixture.now += delay - delay / 2;
            let estimate = fixture.list_worker(listed_start);
            let context = format!("step {step} us after the start, list {delay} us late");
            assert!((started_at..=fixture.now).contains(&estimate), "{context}: {estimate}");
        }
    }
}

/// Only the clock of the scheduler's machine is stepped, while the scheduler runs.
#[test]
fn after_a_step_of_the_schedulers_clock_a_new_worker_is_not_taken_for_older_than_it_is() {
    for step in steps_both_ways() {
        for delay in LIST_DELAYS {
            let mut fixture = Fixture::after_first_list(20 * SECOND);
            fixture.step_wall_clock(step);
            fixture.answer_unchanged_for(10 * SECOND);
            let started_at = fixture.now;
            fixture.now += delay;
            let estimate = fixture.list_worker(started_at);
            assert!(
                (started_at..=fixture.now).contains(&estimate),
                "step {step} us, list {delay} us late: {estimate}"
            );
        }
    }
}

/// The worker's clock was wrong when it started, or those of all other machines were corrected since.
///
/// Only the earlier lists, which don't have the worker, contradict its start.
#[test]
fn a_start_that_earlier_lists_contradict_is_replaced_by_the_time_of_its_list() {
    for clock_error in [40 * SECOND, HOUR] {
        for delay in LIST_DELAYS {
            let mut fixture = Fixture::after_first_list(20 * SECOND);
            fixture.answer_unchanged_for(60 * SECOND);
            let started_at = fixture.now;
            fixture.answer_unchanged_for(delay);
            let estimate = fixture.list_worker(started_at - clock_error);
            assert!(
                (started_at..=fixture.now).contains(&estimate),
                "clock wrong by {clock_error} us, list {delay} us late: {estimate}"
            );
            // If the worker is listed again, its estimated start is the same.
            fixture.answer_unchanged_for(20 * SECOND);
            assert_eq!(fixture.list_worker(started_at - clock_error), estimate);
            // The worker restarts.
            fixture.answer_unchanged_for(20 * SECOND);
            let restarted_at = fixture.now;
            assert_eq!(fixture.list_worker(restarted_at - clock_error), restarted_at);
        }
    }
}

/// The worker is then in slow start for no longer than after any other start.
#[test]
fn a_start_in_the_future_is_replaced_by_the_current_time() {
    for ahead in STEPS {
        let mut fixture = Fixture::after_first_list(20 * SECOND);
        let listed_start = fixture.now + ahead;
        assert_eq!(fixture.list_worker(listed_start), fixture.now);
    }
}

/// The wall clock was stepped back before the scheduler started, which shows only by starts in the future.
#[test]
fn a_future_start_in_the_first_list_is_placed_before_the_schedulers_start() {
    for (origin, delay) in
        [(ListOrigin::Cache, 1), (ListOrigin::Discovery, 1), (ListOrigin::Discovery, SECOND)]
    {
        let mut fixture = Fixture::new();
        fixture.now += delay;
        let listed_start = fixture.now + 5 * SECOND;
        let estimate = fixture.apply(origin, &[record("w", Some(listed_start))]);
        assert_eq!(estimate, Some(OWN_START - 1), "{origin:?} after {delay} us");
    }
    // Long after the scheduler's start, the machines' clocks disagree, and the worker may just have started.
    let mut fixture = Fixture::new();
    fixture.now += 60 * SECOND;
    let listed_start = fixture.now + 5 * SECOND;
    assert_eq!(fixture.list_worker(listed_start), fixture.now);
}

#[test]
fn an_outage_or_a_change_of_discovery_contradicts_no_start() {
    for outage in [8 * SECOND, 60 * SECOND, HOUR] {
        let mut fixture = Fixture::after_first_list(20 * SECOND);
        let started_at = fixture.now + SECOND;
        fixture.now += outage;
        assert_eq!(fixture.list_worker(started_at), started_at, "after {outage} us without an answer");
        let mut fixture = Fixture::after_first_list(20 * SECOND);
        fixture.answer_unchanged_for(outage);
        fixture.table.reset_revision();
        let started_at = fixture.now - outage;
        assert_eq!(fixture.list_worker(started_at), started_at, "after a change of discovery");
    }
}
