//! Tests of what `lab`'s `sim` keeps to itself; it takes this file in as its `tests`.
use std::sync::Mutex;

use copperspread_dispatcher::DispatchPolicy;

use super::*;

type Heard = Arc<Mutex<Vec<(Ended, Option<f64>, Micros)>>>;

/// Asks for one worker's load at 5 s, and keeps what it hears of it, and when.
struct Prober(WorkerId, Heard);

impl Policy for Prober {}

impl DispatchPolicy for Prober {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(_) if now == CLOCK_OFFSET => {
                actions.push(Action::StartTimer { after: 5 * SECOND, timer: Timer::LoadQuery });
            }
            Event::TimerExpired(Timer::LoadQuery) => actions.push(Action::QueryLoad { worker: self.0 }),
            Event::LoadQueryCompleted { outcome, report, .. } => {
                let free = report.and_then(|of| of.free_slots);
                self.1.lock().expect("kept").push((outcome, free, now - CLOCK_OFFSET - 5 * SECOND));
            }
            // The only worker gets every job.
            Event::Request(job) => {
                let (request, worker) = (job.request, WorkerId(0));
                actions.push(Action::Send { request, worker, estimate: 0 });
            }
            _ => {}
        }
    }
}

fn probed(reports: &str, job: &str, fault: &str, worker: u32) -> Vec<(Ended, Option<f64>, Micros)> {
    let text = format!(
        "name = 'one'\nabout = 'one worker'\nseconds = 9.0\nschedulers = 1\n[clients]\nrate = 1e-9\n{job}\n\
         [network]\nnear = 0.001\n[reports]\nnoise = 0.0\n{reports}\n[[workers]]\nkind = 'w'\ncount = 1\n\
         cores = 1.0\nslots = 1.0\nspeed = [1.0, 1.0]\n[[classes]]\nname = 'c'\nshare = 1.0\nwork = 1.0\n\
         aim = 30.0\ndeadline = 30.0\nworth = 1.0\nrepeat = 'safe'\n{fault}"
    );
    let scenario = Scenario::read(&text).expect("a scenario");
    let mut sim = Simulation::new(&scenario, PolicyKind::Random, 1).expect("it plays");
    let heard = Heard::default();
    sim.schedulers[0].policy = Box::new(Prober(WorkerId(worker), Arc::clone(&heard)));
    while let Some(Reverse(ScheduledEvent(at, _, event))) = sim.heap.pop() {
        sim.advance_clock(at);
        sim.handle_event(event);
    }
    assert!(sim.load_queries.is_empty());
    let heard = heard.lock().expect("kept");
    heard.clone()
}

// Whatever goes wrong, a probe is answered once; and a deep one waits its turn behind a job.
#[test]
fn a_probe_is_heard_of_once_whatever_goes_wrong() {
    let of = |deep| format!("probe = {{ work = 0.004, deep = {deep}, timeout = 0.5, late = 0.0 }}");
    let fault =
        |what: &str, at: f64| format!("[[faults]]\nat = {at:?}\nlasts = 90.0\nshare = 1.0\nwhat = {what}\n");
    let job = |at: f64, work: f64| format!("trace = [{{ at = {at:?}, class = 0, work = {work:?} }}]");
    let all = [
        // What is asked, the job that runs, what goes wrong, and the outcome, the free slots, and how long
        // it took at least and at most, in milliseconds.
        (of(false), job(0.5, 0.1), String::new(), Ended::Served, Some(1.0), [5, 9]),
        (of(true), job(0.5, 0.1), String::new(), Ended::Served, Some(1.0), [5, 9]),
        (of(false), job(1.0, 8.0), String::new(), Ended::Served, Some(0.0), [5, 9]),
        (of(true), job(4.5, 0.8), String::new(), Ended::Served, Some(0.0), [290, 330]),
        (of(true), job(1.0, 8.0), String::new(), Ended::TimedOut, None, [500, 500]),
        (of(true), job(4.5, 4.0), fault("'crash'", 5.1), Ended::Reset, None, [100, 110]),
        (of(true), job(4.5, 4.0), fault("'drain'", 5.1), Ended::Rejected, None, [100, 110]),
        (of(true), job(4.5, 4.0), fault("'vanish'", 5.1), Ended::TimedOut, None, [500, 500]),
        (of(false), job(0.5, 0.1), fault("'crash'", 1.0), Ended::ConnectFailed, None, [1, 5]),
        (of(false), job(0.5, 0.1), fault("'refusing'", 1.0), Ended::ConnectFailed, None, [1, 5]),
        (of(false), job(0.5, 0.1), fault("'vanish'", 1.0), Ended::TimedOut, None, [500, 500]),
        (of(true), job(0.5, 0.1), fault("{ failing = 1.0 }", 1.0), Ended::Error, None, [1, 5]),
        (of(true), job(0.5, 0.1), fault("{ garbled = 1.0 }", 1.0), Ended::Reset, None, [1, 5]),
        // Where workers are not to be probed.
        (String::new(), job(0.5, 0.1), String::new(), Ended::Superseded, None, [0, 0]),
    ];
    for (reports, job, fault, outcome, free, [least, most]) in all {
        let heard = probed(&reports, &job, &fault, 0);
        let case = format!("{reports} {job} {fault}: {heard:?}");
        assert_eq!(heard.len(), 1, "{case}");
        assert_eq!((heard[0].0, heard[0].1), (outcome, free), "{case}");
        assert!((least * 1_000..=most * 1_000).contains(&heard[0].2), "{case}");
    }
    // A worker that there is not.
    assert_eq!(probed(&of(true), "", "", 7), [(Ended::Superseded, None, 0)]);
}
