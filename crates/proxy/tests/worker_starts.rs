//! Workers' starts while the wall clock is set, in virtual time: no worker passes for older than it is, and none
//! for younger than the list that first shows its start.
use copperspread_dispatcher::{Micros, SECOND};
use copperspread_proxy::clock::ClockReading;
use copperspread_proxy::endpoints::{EndpointTable, ListOrigin};
use copperspread_settings::{EndpointList, EndpointPhase, EndpointRecord, ProxySettings};

/// When the scheduler starts, by its own clock.
const OWN_START: Micros = 1_700_000_000 * SECOND;
const HOUR: Micros = 3_600 * SECOND;
/// How far the wall clock is set.
const STEPS: [Micros; 6] = [SECOND, 5 * SECOND, 20 * SECOND, 60 * SECOND, HOUR, 24 * HOUR];

fn settings() -> ProxySettings {
    ProxySettings {
        classes: Vec::new(),
        idempotency: Vec::new(),
        tenants: Vec::new(),
        zones: Vec::new(),
        kinds: Vec::new(),
        connect_timeout: SECOND,
        keep_alive_timeout: SECOND,
        sends_retry_after: false,
        max_retry_after: SECOND,
    }
}

fn record(id: &str, started_at: Option<Micros>) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".into(),
        kind: "m".into(),
        cell: 0,
        phase: EndpointPhase::Serving,
        started_at,
        size: None,
    }
}

/// A scheduler's table, its clock and the wall clock.
struct Fixture {
    table: EndpointTable,
    now: Micros,
    /// By how much the wall clock is ahead of the scheduler's own.
    wall_ahead: i64,
    revision: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { table: EndpointTable::new(&settings()), now: OWN_START, wall_ahead: 0, revision: 0 }
    }

    /// One that has a complete list without the worker since its start, and has had answers since.
    fn watching(quiet_for: Micros) -> Fixture {
        let mut fixture = Fixture::new();
        fixture.apply(ListOrigin::Discovery, &[record("other", None)]);
        fixture.answers_for(quiet_for);
        fixture
    }

    fn unix(&self, at: Micros) -> Micros {
        at.saturating_add_signed(self.wall_ahead)
    }

    /// Applies a list; the start of its first endpoint by the scheduler's clock.
    fn apply(&mut self, origin: ListOrigin, endpoints: &[EndpointRecord]) -> Option<Micros> {
        self.revision += 1;
        let list = EndpointList { revision: self.revision, complete: false, endpoints: endpoints.to_vec() };
        let reading = ClockReading { started_at: OWN_START, now: self.now, unix: self.unix(self.now) };
        let applied = self.table.apply(&list, origin, reading).expect("a newer list");
        applied.first().and_then(|endpoint| endpoint.started_at)
    }

    /// A watch that is answered every two seconds, with nothing new.
    fn answers_for(&mut self, duration: Micros) {
        for _ in 0..duration / (2 * SECOND) {
            self.now += 2 * SECOND;
            self.apply(ListOrigin::Discovery, &[]);
        }
    }

    /// Discovery lists a worker with this start.
    fn listed(&mut self, started_at: Micros) -> Micros {
        self.apply(ListOrigin::Discovery, &[record("w", Some(started_at))]).expect("a start")
    }

    fn step(&mut self, seconds_ahead: i64) {
        self.wall_ahead += seconds_ahead;
    }
}

fn steps_both_ways() -> impl Iterator<Item = i64> {
    STEPS.into_iter().flat_map(|step| [step as i64, -(step as i64)])
}

/// How late the list is that first shows a start.
const LIST_DELAYS: [Micros; 4] = [0, 20_000, 2 * SECOND, 6 * SECOND];

#[test]
fn without_a_step_a_start_is_as_listed() {
    for delay in [0, 1, SECOND, 6 * SECOND, 29 * SECOND] {
        for quiet_for in [0, 10 * SECOND, HOUR] {
            let mut fixture = Fixture::watching(quiet_for);
            let started_at = fixture.now;
            fixture.answers_for(delay);
            fixture.now += delay % (2 * SECOND);
            assert_eq!(fixture.listed(started_at), started_at, "{delay} late after {quiet_for}");
        }
    }
    // A hold-up between the two clocks' readings is no step.
    let mut fixture = Fixture::watching(10 * SECOND);
    fixture.wall_ahead = -150_000;
    let started_at = fixture.now - SECOND;
    assert_eq!(fixture.listed(started_at), started_at);
}

/// All machines read one clock, which is set before the worker starts, or between its start and its list.
#[test]
fn after_a_step_of_all_clocks_a_new_worker_is_as_old_as_it_is_at_most() {
    for step in steps_both_ways() {
        for delay in LIST_DELAYS {
            for quiet_after_step in [0, 10 * SECOND, 2 * HOUR] {
                let mut fixture = Fixture::watching(20 * SECOND);
                fixture.step(step);
                fixture.answers_for(quiet_after_step);
                let (started_at, listed) = (fixture.now, fixture.unix(fixture.now));
                fixture.now += delay;
                let estimate = fixture.listed(listed);
                let context = format!("step {step}, list {delay} late, {quiet_after_step} after the step");
                assert!((started_at..=fixture.now).contains(&estimate), "{context}: {estimate}");
            }
            let mut fixture = Fixture::watching(20 * SECOND);
            let (started_at, listed) = (fixture.now, fixture.unix(fixture.now));
            fixture.now += delay / 2;
            fixture.step(step);
            fixture.now += delay - delay / 2;
            let estimate = fixture.listed(listed);
            let context = format!("step {step} after the start, list {delay} late");
            assert!((started_at..=fixture.now).contains(&estimate), "{context}: {estimate}");
        }
    }
}

/// Only this machine's clock is set, while the program runs.
#[test]
fn after_a_step_of_its_own_clock_alone_a_new_worker_is_as_old_as_it_is_at_most() {
    for step in steps_both_ways() {
        for delay in LIST_DELAYS {
            let mut fixture = Fixture::watching(20 * SECOND);
            fixture.step(step);
            fixture.answers_for(10 * SECOND);
            let started_at = fixture.now;
            fixture.now += delay;
            let estimate = fixture.listed(started_at);
            assert!((started_at..=fixture.now).contains(&estimate), "step {step}, {delay} late: {estimate}");
        }
    }
}

/// Its clock was wrong when it started, or is set right on all other machines: only the lists contradict it.
#[test]
fn a_start_long_before_the_lists_that_do_not_have_it_counts_from_its_list() {
    for wrong_by in [40 * SECOND, HOUR] {
        for delay in LIST_DELAYS {
            let mut fixture = Fixture::watching(20 * SECOND);
            fixture.answers_for(60 * SECOND);
            let started_at = fixture.now;
            fixture.answers_for(delay);
            let estimate = fixture.listed(started_at - wrong_by);
            assert!((started_at..=fixture.now).contains(&estimate), "{wrong_by}, {delay} late: {estimate}");
            // Listed again, also after the worker was removed, it is the same start.
            fixture.answers_for(20 * SECOND);
            assert_eq!(fixture.listed(started_at - wrong_by), estimate);
            // It restarts.
            fixture.answers_for(20 * SECOND);
            let restarted_at = fixture.now;
            assert_eq!(fixture.listed(restarted_at - wrong_by), restarted_at);
        }
    }
}

#[test]
fn a_start_in_the_future_is_now_at_the_latest_so_that_the_worker_warms_up() {
    for ahead in STEPS {
        let mut fixture = Fixture::watching(20 * SECOND);
        let listed = fixture.now + ahead;
        assert_eq!(fixture.listed(listed), fixture.now);
    }
}

/// After a step back before the program's start, of which nothing shows but starts in the future.
#[test]
fn a_start_in_the_future_of_the_first_list_lies_before_the_programs_own_start() {
    for (origin, delay) in
        [(ListOrigin::Cache, 1), (ListOrigin::Discovery, 1), (ListOrigin::Discovery, SECOND)]
    {
        let mut fixture = Fixture::new();
        fixture.now += delay;
        let listed = fixture.now + 5 * SECOND;
        let estimate = fixture.apply(origin, &[record("w", Some(listed))]);
        assert_eq!(estimate, Some(OWN_START - 1), "{origin:?} after {delay}");
    }
    // Long after it, the clocks disagree, and the worker may just have started.
    let mut fixture = Fixture::new();
    fixture.now += 60 * SECOND;
    let listed = fixture.now + 5 * SECOND;
    assert_eq!(fixture.listed(listed), fixture.now);
}

#[test]
fn an_outage_of_discovery_and_a_move_to_another_one_contradict_no_start() {
    for outage in [8 * SECOND, 60 * SECOND, HOUR] {
        let mut fixture = Fixture::watching(20 * SECOND);
        let started_at = fixture.now + SECOND;
        fixture.now += outage;
        assert_eq!(fixture.listed(started_at), started_at, "after {outage} without an answer");
        let mut fixture = Fixture::watching(20 * SECOND);
        fixture.answers_for(outage);
        fixture.table.reset_revision();
        let started_at = fixture.now - outage;
        assert_eq!(fixture.listed(started_at), started_at, "at another discovery");
    }
}
