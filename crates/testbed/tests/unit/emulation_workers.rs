//! Unit tests of `emulation::workers`: the behavior of workers' sockets as seen by schedulers.
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;

use copperspread_dispatcher::{SECOND, WorkerId};
use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

use super::listener::bind;
use super::requests::empty_response;
use super::*;
use crate::emulation::endpoint_list::VersionedEndpointList;
use crate::emulation::environment::{ListenerState, WorkerListener, endpoint_of, serve_connection};
use crate::emulation::state::EmulationState;
use crate::model::arrivals::Arrival;
use crate::model::fleet::{FaultTarget, FaultTransition, Fleet};
use crate::model::scheduler_id::SchedulerId;
use crate::scenario::Scenario;
use crate::startup::single_threaded_runtime;

/// The only worker of the test scenario.
const WORKER: WorkerId = WorkerId(0);
/// The only scheduler of the test scenario.
const SCHEDULER: SchedulerId = SchedulerId(0);

/// An address at which no scheduler listens.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn runtime() -> Runtime {
    single_threaded_runtime().expect("the runtime is created")
}

/// Starts or ends the scenario's fault at its worker.
fn apply_fault(environment: &Rc<Environment>, is_start: bool) {
    let target = Some(FaultTarget::Worker(WORKER));
    let transition = FaultTransition { at: 0, fault: 0, target, is_start };
    environment.apply(|state| state.apply_fault(transition));
}

/// An environment like that of [`environment`] in which the scheduler is down, so that no callbacks are sent.
async fn environment_without_scheduler(fault: &str, seed: u64, settings: &str) -> Rc<Environment> {
    let environment = environment(fault, seed, settings, unused_address()).await;
    environment.schedulers[0].is_up.set(false);
    environment
}

/// Starts the environment of one worker with one slot and no queue, whose fault has not started, and waits
/// until the worker accepts connections.
async fn environment(fault: &str, seed: u64, settings: &str, scheduler: SocketAddr) -> Rc<Environment> {
    let text = format!(
        "name = 'one'\nabout = 'one worker'\nseconds = 9.0\nschedulers = 1\n[clients]\nrate = 1.0\n\
         [discovery]\ndelay = 0.0\n[[workers]]\nkind = 'w'\ncount = 1\ncores = 1.0\nslots = 1.0\n\
         speed = [1.0, 1.0]\nqueue = 0\nmemory = 4.0\n[[classes]]\nname = 'c'\nshare = 1.0\nwork = 5.0\naim = 9.0\n\
         deadline = 9.0\nworth = 1.0\nrepeat = 'safe'\n\
         [[faults]]\nat = 0.0\nlasts = 9.0\nshare = 1.0\nwhat = {fault}\n{settings}"
    );
    let scenario = Scenario::parse(&text).expect("the scenario is valid");
    let state = EmulationState::new(&scenario, Fleet::generate(&scenario, seed), seed);
    let socket = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port is available");
    let listener = WorkerListener::new(
        socket.local_addr().expect("the socket has an address"),
        ListenerState::Accepting(0),
    );
    let list = VersionedEndpointList::new(vec![endpoint_of(&state, WORKER)]);
    let environment = Rc::new(Environment::new(state, vec![listener], list, vec![scheduler]));
    environment.start_clock();
    spawn_local(run_listener(Rc::clone(&environment), WORKER, Some(socket)));
    spawn_local(drive_worker(Rc::clone(&environment), WORKER));
    spawn_local(report_progress(Rc::clone(&environment), WORKER));
    spawn_local(refresh_load_reports(Rc::clone(&environment), WORKER));
    while TcpStream::connect(environment.worker_address(WORKER)).await.is_err() {
        tokio::task::yield_now().await;
    }
    environment
}

/// Sends an attempt of a new job with 5 s of work; returns the response, or the error if there is none.
async fn send_attempt(environment: &Rc<Environment>) -> Result<String, ErrorKind> {
    send_attempt_of(environment, 5.0).await
}

/// Sends an attempt of a new job with `work` in seconds; returns the response, or the error if there is
/// none.
async fn send_attempt_of(environment: &Rc<Environment>, work: f64) -> Result<String, ErrorKind> {
    let arrival =
        Arrival { at: 0, class: 0, work, slots: 1.0, memory: 1.5, cost_hint: None, scheduler: SCHEDULER };
    let id = environment.apply(|state| {
        state.add_job(1, arrival);
        state.register_request(1, SCHEDULER, 9 * SECOND)
    });
    let exchange = async {
        let mut stream = TcpStream::connect(environment.worker_address(WORKER)).await?;
        let request =
            format!("POST /c/1 HTTP/1.1\r\nHost: w\r\nX-Request-ID: {id:016x}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut response = vec![0; 1_024];
        let mut length = stream.read(&mut response).await?;
        // After part of a response comes the rest, the end of the connection or a reset.
        if !response[..length].ends_with(b"\r\n\r\n") {
            match timeout(Duration::from_secs(2), stream.read(&mut response[length..])).await {
                Ok(more) => length += more.unwrap_or(0),
                Err(_) => length = 0,
            }
        }
        response.truncate(length);
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&response).into_owned())
    };
    match timeout(Duration::from_millis(800), exchange).await {
        Ok(response) => response.map_err(|error| error.kind()),
        Err(_) => Err(ErrorKind::TimedOut),
    }
}

// For each fault: the response to an attempt, and the number of jobs that the worker has afterwards.
#[test]
fn a_fault_of_a_worker_shows_on_its_socket() {
    let cases: &[(&str, Result<&str, ErrorKind>, usize)] = &[
        ("{ slow = 1.0 }", Ok("HTTP/1.1 202 Accepted"), 1),
        ("'refusing'", Err(ErrorKind::ConnectionRefused), 0),
        ("'crash'", Err(ErrorKind::ConnectionRefused), 0),
        ("'vanish'", Err(ErrorKind::TimedOut), 0),
        ("'drain'", Ok("HTTP/1.1 503 Service Unavailable\r\nx-not-processed: 1"), 0),
        ("{ garbled = 1.0 }", Ok("\u{16}\u{3}\u{1} 202 ACCEPTED maybe"), 0),
    ];
    let runtime = runtime();
    for (fault, expected, job_count) in cases {
        LocalSet::new().block_on(&runtime, async {
            let environment = environment_without_scheduler(fault, 1, "").await;
            apply_fault(&environment, true);
            // Wait until the listener's task has applied the fault.
            sleep(Duration::from_millis(150)).await;
            let response = send_attempt(&environment).await;
            let is_as_expected = match (&response, expected) {
                (Ok(response), Ok(expected)) => response.starts_with(expected),
                (response, expected) => response.as_ref().err() == expected.as_ref().err(),
            };
            assert!(is_as_expected, "{fault}: {response:?}, not {expected:?}");
            assert_eq!(environment.state.borrow().workers[0].0.job_count(), *job_count, "{fault}");
        });
    }
}

// Which of the two happens is random; the loop makes enough attempts for both to occur.
#[test]
fn a_reset_comes_before_the_job_is_accepted_or_in_the_middle_of_the_202() {
    let runtime = runtime();
    LocalSet::new().block_on(&runtime, async {
        let (mut before, mut during) = (0, 0);
        for seed in 0..12 {
            let environment = environment_without_scheduler("{ resetting = 1.0 }", seed, "").await;
            for _ in 0..4 {
                apply_fault(&environment, true);
                let response = send_attempt(&environment).await;
                match environment.state.borrow().workers[0].0.job_count() {
                    0 => {
                        before += 1;
                        assert_eq!(response, Err(ErrorKind::ConnectionReset));
                    }
                    _ => {
                        during += 1;
                        assert!(
                            response.is_err() || response == Ok("HTTP/1.1 202 Acc".into()),
                            "{response:?}"
                        );
                        break;
                    }
                }
            }
        }
        assert!(before > 0 && during > 0, "{before} resets before acceptance, {during} during the 202");
    });
}

// Checks the status and the load report. The worker has no queue, so a queued load query is rejected while a
// job runs.
#[test]
fn a_worker_responds_to_load_queries_with_its_load() {
    let load_queries = |is_queued: bool| {
        format!(
            "[reports]\nnoise = 0.0\nrefresh = 0.1\nprobe = {{ work = 0.002, deep = {is_queued}, timeout = 1.0 }}"
        )
    };
    let idle = Some([("inflight", 0.0), ("x0", 1.0)]);
    let busy = Some([("inflight", 1.0), ("x0", 0.0)]);
    // Settings, fault, whether a job runs, path, expected status, expected load report.
    let cases = [
        (load_queries(true), "{ slow = 1.0 }", false, "/-/load", 200, idle),
        (load_queries(false), "{ slow = 1.0 }", true, "/-/load", 200, busy),
        (load_queries(false), "{ slow = 1.0 }", true, "/-/healthy", 200, None),
        (load_queries(true), "{ slow = 1.0 }", true, "/-/load", 503, None),
        (load_queries(false), "'drain'", false, "/-/load", 503, None),
        (load_queries(false), "{ failing = 1.0 }", false, "/-/load", 500, None),
        (String::new(), "{ slow = 1.0 }", false, "/-/load", 404, None),
    ];
    let runtime = runtime();
    for (settings, fault, is_busy, path, status, load) in cases {
        LocalSet::new().block_on(&runtime, async {
            let environment = environment_without_scheduler(fault, 1, &settings).await;
            if is_busy {
                assert!(
                    send_attempt(&environment)
                        .await
                        .is_ok_and(|response| response.starts_with("HTTP/1.1 202"))
                );
            }
            apply_fault(&environment, true);
            sleep(Duration::from_millis(250)).await;
            let mut stream = TcpStream::connect(environment.worker_address(WORKER))
                .await
                .expect("the worker accepts connections");
            let request = format!("GET {path} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).await.expect("the request is sent");
            let mut response = String::new();
            stream.read_to_string(&mut response).await.expect("the worker responds");
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status}")),
                "{settings} {fault} {path}: {response}"
            );
            let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
            let Some(load) = load else { return assert_eq!(body, "", "{settings} {fault} {path}") };
            let report: serde_json::Value =
                serde_json::from_str(body).expect("the load report is valid JSON");
            for (name, value) in load {
                assert_eq!(report[name].as_f64(), Some(value), "{settings} {fault} {path}: {report}");
            }
            assert!(report["qps"].as_f64().is_some() && report.get("queue").is_none(), "{report}");
        });
    }
}

#[test]
fn a_cancellation_stops_the_job_where_the_scenario_says_so() {
    let runtime = runtime();
    for (settings, job_count) in [("[settings]\ncancel_stops = true", 0), ("", 1)] {
        LocalSet::new().block_on(&runtime, async {
            let environment = environment_without_scheduler("{ slow = 1.0 }", 1, settings).await;
            // Ids are consecutive: the attempt below gets `id + 1`.
            let id = environment.apply(|state| state.register_request(0, SCHEDULER, SECOND));
            send_attempt(&environment).await.expect("the worker responds");
            let mut stream = TcpStream::connect(environment.worker_address(WORKER))
                .await
                .expect("the worker accepts connections");
            let request =
                format!("DELETE /jobs/{:016x} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n", id + 1);
            stream.write_all(request.as_bytes()).await.expect("the request is sent");
            stream.read_to_string(&mut String::new()).await.expect("the worker responds");
            assert_eq!(environment.state.borrow().workers[0].0.job_count(), job_count, "{settings:?}");
        });
    }
}

// For each fault: the expected callback states of a job of 0.3 s, in order, and the earliest time of the
// first callback.
#[test]
fn callbacks_arrive_once_twice_late_or_never() {
    type Callbacks = Vec<(String, f64)>;
    let cases: &[(&str, &str, &[&str], f64)] = &[
        ("{ slow = 1.0 }", "", &["started", "done"], 0.0),
        ("'doubled_news'", "", &["started", "started", "done", "done"], 0.0),
        ("{ late_news = 0.4 }", "", &["started", "done"], 0.4),
        ("{ silent = 0 }", "", &[], 0.0),
        ("{ slow = 1.0 }", "[reports]\nprogress = 0.12\n", &["started", "running", "running", "done"], 0.0),
    ];
    let runtime = runtime();
    for (fault, settings, states, earliest_s) in cases {
        let callbacks: Callbacks = LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is available");
            let scheduler = listener.local_addr().expect("the listener has an address");
            let environment = environment(fault, 1, settings, scheduler).await;
            apply_fault(&environment, true);
            let started_at = Instant::now();
            assert!(
                send_attempt_of(&environment, 0.3).await.is_ok_and(|response| response.contains("202")),
                "{fault}"
            );
            let callbacks = Rc::new(RefCell::new(Callbacks::new()));
            let received = Rc::clone(&callbacks);
            let listen = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let received = Rc::clone(&received);
                    spawn_local(serve_connection(stream, move |request| {
                        let received = Rc::clone(&received);
                        async move {
                            let body = request
                                .into_body()
                                .collect()
                                .await
                                .expect("the callback has a complete body")
                                .to_bytes();
                            let callback: serde_json::Value =
                                serde_json::from_slice(&body).expect("the callback is valid JSON");
                            let state =
                                callback["state"].as_str().expect("the callback has a state").to_owned();
                            received.borrow_mut().push((state, started_at.elapsed().as_secs_f64()));
                            empty_response(StatusCode::NO_CONTENT)
                        }
                    }));
                }
            };
            let _ = timeout(Duration::from_millis(1_500), listen).await;
            callbacks.take()
        });
        let received_states: Vec<&str> = callbacks.iter().map(|(state, _)| &**state).collect();
        assert_eq!(received_states, *states, "{fault} {settings}");
        assert!(callbacks.first().is_none_or(|(_, at_s)| at_s >= earliest_s), "{fault}: {callbacks:?}");
    }
}

// After the outage, the worker runs a new process without the earlier jobs.
#[test]
fn a_machine_that_is_reachable_again_accepts_jobs() {
    let runtime = runtime();
    LocalSet::new().block_on(&runtime, async {
        let environment = environment_without_scheduler("'vanish'", 1, "").await;
        assert!(send_attempt(&environment).await.is_ok_and(|response| response.contains("202")));
        apply_fault(&environment, true);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(send_attempt(&environment).await, Err(ErrorKind::TimedOut));
        apply_fault(&environment, false);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(environment.state.borrow().workers[0].0.job_count(), 0);
        assert!(send_attempt(&environment).await.is_ok_and(|response| response.contains("202")));
    });
}
