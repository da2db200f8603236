//! Tests of what `lab`'s `emulate::workers` keeps to itself; it takes this file in as its `tests`.
use std::io::ErrorKind;

use copperspread_dispatcher::SECOND;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local};

use super::*;
use crate::emulate::list::Listing;
use tokio::time::Instant;

use crate::emulate::stage::{Port, entry, serve_connection};
use crate::emulate::world::World;
use crate::model::arrivals::Arrival;
use crate::model::fleet::{FaultTransition, Fleet};
use crate::scenario::Scenario;

/// One worker with one slot and no queue, and the first fault of a scenario begun.
async fn stage(what: &str, seed: u64) -> Rc<Stage> {
    let stage = stage_of(what, seed, "", SocketAddr::from(([127, 0, 0, 1], 9))).await;
    // Nobody hears its call-backs.
    stage.schedulers[0].1.set(false);
    stage
}

async fn stage_of(what: &str, seed: u64, extra: &str, scheduler: SocketAddr) -> Rc<Stage> {
    let text = format!(
        "name = 'one'\nabout = 'one worker'\nseconds = 9.0\nschedulers = 1\n[clients]\nrate = 1.0\n\
         [discovery]\ndelay = 0.0\n[[workers]]\nkind = 'w'\ncount = 1\ncores = 1.0\nslots = 1.0\n\
         speed = [1.0, 1.0]\nqueue = 0\nmemory = 4.0\n[[classes]]\nname = 'c'\nshare = 1.0\nwork = 5.0\naim = 9.0\n\
         deadline = 9.0\nworth = 1.0\nrepeat = 'safe'\n\
         [[faults]]\nat = 0.0\nlasts = 9.0\nshare = 1.0\nwhat = {what}\n{extra}"
    );
    let scenario = Scenario::read(&text).expect("a scenario");
    let world = World::new(&scenario, Fleet::generate(&scenario, seed), seed);
    let socket = bound(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let port = Port::new(socket.local_addr().expect("an address"), Door::Open(0));
    let listing = Listing::new(vec![entry(&world, 0)]);
    let stage = Rc::new(Stage::new(world, vec![port], listing, vec![scheduler]));
    stage.begin();
    spawn_local(listen(Rc::clone(&stage), 0, Some(socket)));
    spawn_local(look(Rc::clone(&stage), 0));
    spawn_local(tell_progress(Rc::clone(&stage), 0));
    spawn_local(refresh(Rc::clone(&stage), 0));
    while TcpStream::connect(stage.address(0)).await.is_err() {
        tokio::task::yield_now().await;
    }
    stage
}

/// A hand-over of a new job; what is heard, or why nothing.
async fn hand_over(stage: &Rc<Stage>) -> Result<String, ErrorKind> {
    hand_over_of(stage, 5.0).await
}

async fn hand_over_of(stage: &Rc<Stage>, work: f64) -> Result<String, ErrorKind> {
    let of = Arrival { at: 0, class: 0, work, slots: 1.0, memory: 1.5, cost_hint: None, scheduler: 0 };
    let id = stage.act(|world| {
        world.job(1, of);
        world.ask(1, 0, 9 * SECOND)
    });
    let exchange = async {
        let mut stream = TcpStream::connect(stage.address(0)).await?;
        let text =
            format!("POST /c/1 HTTP/1.1\r\nHost: w\r\nX-Request-ID: {id:016x}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
        let mut heard = vec![0; 1_024];
        let mut length = stream.read(&mut heard).await?;
        // What is left after a part of an answer is its end or a reset.
        if !heard[..length].ends_with(b"\r\n\r\n") {
            match timeout(Duration::from_secs(2), stream.read(&mut heard[length..])).await {
                Ok(more) => length += more.unwrap_or(0),
                Err(_) => length = 0,
            }
        }
        heard.truncate(length);
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&heard).into_owned())
    };
    match timeout(Duration::from_millis(800), exchange).await {
        Ok(heard) => heard.map_err(|error| error.kind()),
        Err(_) => Err(ErrorKind::TimedOut),
    }
}

// Each trouble as whoever connects sees it, and whether the worker has the job afterwards.
#[test]
fn what_goes_wrong_shows_on_the_socket() {
    let cases: &[(&str, Result<&str, ErrorKind>, usize)] = &[
        ("{ slow = 1.0 }", Ok("HTTP/1.1 202 Accepted"), 1),
        ("'refusing'", Err(ErrorKind::ConnectionRefused), 0),
        ("'crash'", Err(ErrorKind::ConnectionRefused), 0),
        ("'vanish'", Err(ErrorKind::TimedOut), 0),
        ("'drain'", Ok("HTTP/1.1 503 Service Unavailable\r\nx-not-processed: 1"), 0),
        ("{ garbled = 1.0 }", Ok("\u{16}\u{3}\u{1} 202 ACCEPTED maybe"), 0),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (what, heard, held) in cases {
        LocalSet::new().block_on(&runtime, async {
            let stage = stage(what, 1).await;
            stage.act(|world| {
                world.turn(FaultTransition { at: 0, fault: 0, target: Some(0), is_start: true })
            });
            // The door follows in a task of its own, before the next connection is looked at.
            sleep(Duration::from_millis(150)).await;
            let got = hand_over(&stage).await;
            let same = match (&got, heard) {
                (Ok(got), Ok(heard)) => got.starts_with(heard),
                (got, heard) => got.as_ref().err() == heard.as_ref().err(),
            };
            assert!(same, "{what}: {got:?}, not {heard:?}");
            assert_eq!(stage.world.borrow().workers[0].0.job_count(), *held, "{what}");
        });
    }
}

// A reset comes before the job is taken or in the middle of the 202, by chance; both are met.
#[test]
fn a_reset_comes_before_the_job_is_taken_or_in_the_middle_of_the_answer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (mut before, mut half) = (0, 0);
        for seed in 0..12 {
            let stage = stage("{ resetting = 1.0 }", seed).await;
            for _ in 0..4 {
                stage.act(|world| {
                    world.turn(FaultTransition { at: 0, fault: 0, target: Some(0), is_start: true })
                });
                let got = hand_over(&stage).await;
                match stage.world.borrow().workers[0].0.job_count() {
                    0 => {
                        before += 1;
                        assert_eq!(got, Err(ErrorKind::ConnectionReset));
                    }
                    _ => {
                        half += 1;
                        assert!(got.is_err() || got == Ok("HTTP/1.1 202 Acc".into()), "{got:?}");
                        break;
                    }
                }
            }
        }
        assert!(before > 0 && half > 0, "{before} before, {half} half");
    });
}

// As a plain client hears it: status, and the load where it was asked for. The queue holds none here.
#[test]
fn a_worker_answers_probes_with_its_load() {
    let probe = |deep| {
        format!(
            "[reports]\nnoise = 0.0\nrefresh = 0.1\nprobe = {{ work = 0.002, deep = {deep}, timeout = 1.0 }}"
        )
    };
    let idle = Some([("inflight", 0.0), ("x0", 1.0)]);
    let busy = Some([("inflight", 1.0), ("x0", 0.0)]);
    // Settings, what goes wrong, whether a job runs, the path, and what is heard.
    let cases = [
        (probe(true), "{ slow = 1.0 }", false, "/-/load", 200, idle),
        (probe(false), "{ slow = 1.0 }", true, "/-/load", 200, busy),
        (probe(false), "{ slow = 1.0 }", true, "/-/healthy", 200, None),
        (probe(true), "{ slow = 1.0 }", true, "/-/load", 503, None),
        (probe(false), "'drain'", false, "/-/load", 503, None),
        (probe(false), "{ failing = 1.0 }", false, "/-/load", 500, None),
        (String::new(), "{ slow = 1.0 }", false, "/-/load", 404, None),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (settings, what, runs, path, status, load) in cases {
        LocalSet::new().block_on(&runtime, async {
            let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
            let stage = stage_of(what, 1, &settings, nobody).await;
            stage.schedulers[0].1.set(false);
            if runs {
                assert!(hand_over(&stage).await.is_ok_and(|heard| heard.starts_with("HTTP/1.1 202")));
            }
            stage.act(|world| {
                world.turn(FaultTransition { at: 0, fault: 0, target: Some(0), is_start: true })
            });
            sleep(Duration::from_millis(250)).await;
            let mut stream = TcpStream::connect(stage.address(0)).await.expect("a connection");
            let text = format!("GET {path} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n");
            stream.write_all(text.as_bytes()).await.expect("sent");
            let mut heard = String::new();
            stream.read_to_string(&mut heard).await.expect("an answer");
            assert!(heard.starts_with(&format!("HTTP/1.1 {status}")), "{settings} {what} {path}: {heard}");
            let body = heard.split("\r\n\r\n").nth(1).unwrap_or_default();
            let Some(load) = load else { return assert_eq!(body, "", "{settings} {what} {path}") };
            let told: serde_json::Value = serde_json::from_str(body).expect("JSON");
            for (name, value) in load {
                assert_eq!(told[name].as_f64(), Some(value), "{settings} {what} {path}: {told}");
            }
            assert!(told["qps"].as_f64().is_some() && told.get("queue").is_none(), "{told}");
        });
    }
}

// A job that was given up by the protocol's DELETE stops where the scenario has it so.
#[test]
fn a_delete_stops_the_job_where_it_does() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (settings, held) in [("[settings]\ncancel_stops = true", 0), ("", 1)] {
        LocalSet::new().block_on(&runtime, async {
            let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
            let stage = stage_of("{ slow = 1.0 }", 1, settings, nobody).await;
            stage.schedulers[0].1.set(false);
            let id = stage.act(|world| world.ask(0, 0, SECOND));
            hand_over(&stage).await.expect("a 202");
            let mut stream = TcpStream::connect(stage.address(0)).await.expect("a connection");
            let text =
                format!("DELETE /jobs/{:016x} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n", id + 1);
            stream.write_all(text.as_bytes()).await.expect("sent");
            stream.read_to_string(&mut String::new()).await.expect("an answer");
            assert_eq!(stage.world.borrow().workers[0].0.job_count(), held, "{settings:?}");
        });
    }
}

// What a scheduler hears of a job of 0.3 s: the states in their order, and when the first one comes.
#[test]
fn call_backs_come_once_or_twice_late_or_never() {
    type Heard = Vec<(String, f64)>;
    let cases: &[(&str, &str, &[&str], f64)] = &[
        ("{ slow = 1.0 }", "", &["started", "done"], 0.0),
        ("'doubled_news'", "", &["started", "started", "done", "done"], 0.0),
        ("{ late_news = 0.4 }", "", &["started", "done"], 0.4),
        ("{ silent = 0 }", "", &[], 0.0),
        ("{ slow = 1.0 }", "[reports]\nprogress = 0.12\n", &["started", "running", "running", "done"], 0.0),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (what, extra, states, least) in cases {
        let heard: Heard = LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let scheduler = listener.local_addr().expect("an address");
            let stage = stage_of(what, 1, extra, scheduler).await;
            stage.act(|world| {
                world.turn(FaultTransition { at: 0, fault: 0, target: Some(0), is_start: true })
            });
            let began = Instant::now();
            assert!(hand_over_of(&stage, 0.3).await.is_ok_and(|heard| heard.contains("202")), "{what}");
            let heard = Rc::new(std::cell::RefCell::new(Heard::new()));
            let list = Rc::clone(&heard);
            let listens = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let list = Rc::clone(&list);
                    spawn_local(serve_connection(stream, move |request| {
                        let list = Rc::clone(&list);
                        async move {
                            let body = request.into_body().collect().await.expect("a body").to_bytes();
                            let news: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
                            let state = news["state"].as_str().expect("a state").to_owned();
                            list.borrow_mut().push((state, began.elapsed().as_secs_f64()));
                            plain(StatusCode::NO_CONTENT)
                        }
                    }));
                }
            };
            let _ = timeout(Duration::from_millis(1_500), listens).await;
            heard.take()
        });
        let came: Vec<&str> = heard.iter().map(|of| &*of.0).collect();
        assert_eq!(came, *states, "{what} {extra}");
        assert!(heard.first().is_none_or(|of| of.1 >= *least), "{what}: {heard:?}");
    }
}

// A machine that comes back resets what was open, and is another process.
#[test]
fn a_machine_that_is_back_takes_jobs_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let stage = stage("'vanish'", 1).await;
        assert!(hand_over(&stage).await.is_ok_and(|heard| heard.contains("202")));
        let turn = |begins| FaultTransition { at: 0, fault: 0, target: Some(0), is_start: begins };
        stage.act(|world| world.turn(turn(true)));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(hand_over(&stage).await, Err(ErrorKind::TimedOut));
        stage.act(|world| world.turn(turn(false)));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(stage.world.borrow().workers[0].0.job_count(), 0);
        assert!(hand_over(&stage).await.is_ok_and(|heard| heard.contains("202")));
    });
}
