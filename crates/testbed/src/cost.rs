//! What the whole program costs for a job, against a bare relay, in one run: requests a second on one
//! thread and processor time a request. Clients and workers run on threads of their own.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::emulate::program::{Process, Program, configuration, cpu_time, reserve, resident, zone};
use crate::emulate::stage::{Answer, LONGEST_BODY, Sender, result, sender, serve_connection};
use crate::scenario::Scenario;

/// How it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Rounds, each of every program in turn.
    pub rounds: u32,
    /// Seconds of each program in a round, after one of warming up.
    pub seconds: f64,
    /// Clients that ask one request after the other.
    pub clients: usize,
    /// Workers, each of which calls back at once.
    pub workers: u32,
}

/// What a program showed in one round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Shown {
    /// Requests a second that were served.
    pub rate: f64,
    /// Processor time for each, in microseconds.
    pub cpu_us: f64,
    /// Resident memory at the end, in megabytes.
    pub resident_mb: f64,
    /// Requests that were answered otherwise.
    pub not_served: u64,
}

/// Programs with what they showed, round by round.
pub type Sides = Vec<(String, Vec<Shown>)>;

const SCENARIO: &str = "name = 'cost'\nabout = 'jobs that cost nothing'\nseconds = 1.0\nschedulers = 1\n\
    [clients]\nrate = 1.0\n[cold]\nfall_seconds = 0.0\n\
    [[workers]]\nkind = 'w'\ncount = 1\ncores = 64.0\nslots = 64.0\nspeed = [1.0, 1.0]\n\
    [[classes]]\nname = 'job'\nshare = 1.0\nwork = 0.001\naim = 1.0\ndeadline = 5.0\nworth = 1.0\nrepeat = 'safe'\n";

/// Measures programs in turns.
///
/// # Errors
/// A program that does not start, or sockets that cannot be had.
pub fn measure(programs: &[(String, Program)], terms: Terms) -> Result<Sides, String> {
    let mut sides: Sides = programs.iter().map(|(name, _)| (name.clone(), Vec::new())).collect();
    for round in 0..terms.rounds.max(1) {
        // Every other round the other way round, so that none is always the first.
        let mut order: Vec<usize> = (0..programs.len()).collect();
        if round % 2 == 1 {
            order.reverse();
        }
        for at in order {
            sides[at].1.push(measure_one(&programs[at].1, terms)?);
        }
    }
    Ok(sides)
}

fn measure_one(program: &Program, terms: Terms) -> Result<Shown, String> {
    let scenario = Scenario::parse(SCENARIO).map_err(|error| error.to_string())?;
    let (reserved, listen) = reserve().map_err(|e| e.to_string())?;
    let (told, hears) = mpsc::channel();
    // Ends with this run: the thread waits for its sender to go.
    let (_alive, ends) = tokio::sync::oneshot::channel::<()>();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        LocalSet::new().block_on(&runtime, async move {
            tokio::select! {
                () = stand_in(listen, terms.workers, told) => {}
                _ = ends => {}
            }
        });
    });
    let (discovery, list) = hears.recv().map_err(|_| "the workers' side does not start".to_owned())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let shown = LocalSet::new().block_on(&runtime, async {
        let laid = configuration(&scenario, 0, 1, listen, discovery, Some(&list));
        let mut process = Process::new(program, folder.path(), 0, listen, &laid)?;
        process.start().await?;
        let pid = process.pid().ok_or("it does not run")?;
        let counts = Rc::new((Cell::new(0_u64), Cell::new(0_u64)));
        let client = sender();
        for number in 0..terms.clients as u64 {
            spawn_local(ask_on(client.clone(), listen, number, Rc::clone(&counts)));
        }
        sleep(Duration::from_secs(1)).await;
        let (began, before) = (Instant::now(), cpu_time(pid).unwrap_or_default());
        let (served, other) = (counts.0.get(), counts.1.get());
        sleep(Duration::from_secs_f64(terms.seconds)).await;
        let took = began.elapsed().as_secs_f64();
        let cpu = cpu_time(pid).unwrap_or_default().saturating_sub(before);
        let served = counts.0.get() - served;
        process.still_runs()?;
        let shown = Shown {
            rate: served as f64 / took,
            cpu_us: cpu.as_secs_f64() * 1e6 / served.max(1) as f64,
            resident_mb: resident(pid).unwrap_or_default() as f64 / 1e6,
            not_served: counts.1.get() - other,
        };
        process.kill().await;
        Ok::<_, String>(shown)
    })?;
    drop(reserved);
    Ok(shown)
}

/// One client, for good.
async fn ask_on(client: Sender, listen: SocketAddr, number: u64, counts: Rc<(Cell<u64>, Cell<u64>)>) {
    for turn in 0_u64.. {
        // Never the same id twice.
        let id = (number + 1) << 40 | turn;
        let request = Request::post(format!("http://{listen}/job/{id:x}"))
            .header("x-request-id", format!("{id:016x}"))
            .header("x-timeout", "5000m")
            .header("x-cost", "1000")
            .body(Full::from("a job"));
        let Ok(request) = request else { return };
        let served = async {
            let answer = client.request(request).await.ok()?;
            let status = answer.status();
            Limited::new(answer.into_body(), LONGEST_BODY).collect().await.ok()?;
            (status == StatusCode::OK).then_some(())
        };
        let count = if served.await.is_some() { &counts.0 } else { &counts.1 };
        count.set(count.get() + 1);
    }
}

/// Workers that take a job and call back at once, and a list that names them and never changes.
async fn stand_in(scheduler: SocketAddr, workers: u32, told: mpsc::Sender<(SocketAddr, serde_json::Value)>) {
    let client = sender();
    let mut members = Vec::new();
    for number in 0..workers {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
        let Ok(address) = listener.local_addr() else { return };
        members.push(json!({
            "id": format!("w-{number}"), "host_port": address.to_string(), "locality": zone(0), "flavor": "w",
            "cell": 0, "phase": "SERVING", "size": 1.0, "up_since_ms": 0,
        }));
        let client = client.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let client = client.clone();
                spawn_local(async move {
                    serve_connection(stream, |request| take(client.clone(), scheduler, number, request))
                        .await;
                });
            }
        });
    }
    let list = json!({"revision": 1, "complete": true, "members": members});
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
    let Ok(discovery) = listener.local_addr() else { return };
    let _ = told.send((discovery, list.clone()));
    let whole = Bytes::from(list.to_string());
    while let Ok((stream, _)) = listener.accept().await {
        let whole = whole.clone();
        spawn_local(async move {
            serve_connection(stream, |request| {
                let (whole, watch) = (whole.clone(), request.uri().query().is_some());
                async move {
                    if watch {
                        sleep(Duration::from_secs(1)).await;
                    }
                    Response::new(Full::new(whole))
                }
            })
            .await;
        });
    }
}

async fn take(
    client: Sender,
    scheduler: SocketAddr,
    worker: u32,
    request: Request<hyper::body::Incoming>,
) -> Answer {
    let id =
        request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
    let _ = Limited::new(request.into_body(), LONGEST_BODY).collect().await;
    spawn_local(async move {
        let made = result(u64::from_str_radix(&id, 16).unwrap_or_default());
        let body =
            json!({"id": id, "from": format!("w-{worker}"), "state": "done", "result": made}).to_string();
        let request = Request::post(format!("http://{scheduler}/_jobs/news")).body(Full::from(body));
        if let Ok(request) = request
            && let Ok(answer) = client.request(request).await
        {
            let _ = Limited::new(answer.into_body(), LONGEST_BODY).collect().await;
        }
    });
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = StatusCode::ACCEPTED;
    answer
}

/// The middle of figures.
fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or_default()
}

/// The sides as a table, and each one against the last as a ratio with its spread over the rounds.
pub fn table(sides: &Sides) -> String {
    let mut text = format!(
        "{:<18} {:>12} {:>14} {:>12} {:>11}\n",
        "program", "requests/s", "CPU us/request", "resident MB", "not served"
    );
    let of = |shown: &[Shown], figure: fn(&Shown) -> f64| median(shown.iter().map(figure).collect());
    for (name, shown) in sides {
        text += &format!(
            "{name:<18} {:>12.0} {:>14.1} {:>12.1} {:>11}\n",
            of(shown, |s| s.rate),
            of(shown, |s| s.cpu_us),
            of(shown, |s| s.resident_mb),
            shown.iter().map(|s| s.not_served).sum::<u64>()
        );
    }
    let Some(((_, base), others)) = sides.split_last() else { return text };
    for (name, shown) in others {
        for (what, figure) in
            [("requests/s", (|s| s.rate) as fn(&Shown) -> f64), ("CPU a request", |s| s.cpu_us)]
        {
            let mut ratios: Vec<f64> =
                shown.iter().zip(base).map(|(own, base)| figure(own) / figure(base).max(1e-9)).collect();
            ratios.sort_by(f64::total_cmp);
            if let [least, .., most] = ratios[..] {
                text += &format!(
                    "{name} against {}: {what} {:.2} times ({least:.2} to {most:.2} over {} rounds)\n",
                    sides[sides.len() - 1].0,
                    median(ratios.clone()),
                    ratios.len()
                );
            }
        }
    }
    text
}
