//! Tests of the load generator against servers that stall, reject, fail, break connections or do not respond.
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use copperspread_testbed::load::{ClassLoadResult, send_load};
use copperspread_testbed::scenario::Scenario;
use tokio::net::TcpListener;
use tokio::sync::Mutex;

fn scenario(rate: f64, seconds: f64, deadline: f64) -> Scenario {
    let text = format!(
        "name = 'load'\nabout = 'a load'\nseconds = {seconds:?}\nschedulers = 1\n\
         [clients]\nrate = {rate:?}\nhint_error = 0.1\n\
         [[workers]]\nkind = 'w'\ncount = 1\ncores = 1.0\nslots = 1.0\nspeed = [1.0, 1.0]\n\
         [[classes]]\nname = 'c'\nshare = 1.0\nwork = 0.01\naim = 0.2\ndeadline = {deadline:?}\nworth = 1.0\n\
         repeat = 'never'\n"
    );
    Scenario::parse(&text).expect("the scenario is valid")
}

async fn load_against(router: Router, scenario: &Scenario, max_open_requests: usize) -> ClassLoadResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener has an address");
    let server = tokio::spawn(async move { axum::serve(listener, router).await });
    let report = send_load(scenario, 1, address, max_open_requests).await;
    server.abort();
    report.classes.into_iter().next().expect("the scenario has a class")
}

// Guards against coordinated omission: a load generator that waits for the stalled response before it sends
// the next job would measure one slow job, where an open loop measures all jobs scheduled during the stall.
#[tokio::test]
async fn a_stall_of_the_server_delays_all_jobs_scheduled_during_it() {
    let (lock, count) = (Arc::new(Mutex::new(())), Arc::new(AtomicU64::new(0)));
    let stalls = Router::new().fallback(move || {
        let (lock, count) = (Arc::clone(&lock), Arc::clone(&count));
        async move {
            let _guard = lock.lock().await;
            if count.fetch_add(1, Ordering::Relaxed) == 10 {
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            "done"
        }
    });
    let class = load_against(stalls, &scenario(100.0, 1.5, 5.0), 1_024).await;
    assert_eq!((class.served, class.scheduled), (class.scheduled, class.scheduled));
    assert!(class.scheduled > 100);
    // About 50 jobs are scheduled during the 0.5 s stall at 100 jobs/s, of which about 30 wait longer than
    // the objective of 0.2 s; a closed loop would show a single slow job.
    let slow = class.served - class.in_time;
    assert!((15..=60).contains(&slow), "{slow} of {} over 0.2 s", class.scheduled);
    assert!((450.0..900.0).contains(&class.served_ms[4]), "{:?}", class.served_ms);
}

#[tokio::test]
async fn responses_are_counted_by_their_status() {
    let count = Arc::new(AtomicU64::new(0));
    let mixed = Router::new().fallback(move |request: Request| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        async move {
            let headers = request.headers();
            let text =
                |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
            // The headers and path that the protocol requires of a client.
            let is_valid = text("x-request-id").len() == 16
                && text("x-timeout").ends_with('m')
                && text("x-cost").parse::<u64>().is_ok()
                && text("idempotency-key").len() == 32
                && request.uri().path().starts_with("/c/");
            match number % 4 {
                _ if !is_valid => StatusCode::BAD_REQUEST.into_response(),
                0 => StatusCode::SERVICE_UNAVAILABLE.into_response(),
                1 => StatusCode::TOO_MANY_REQUESTS.into_response(),
                2 => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
                _ => "done".into_response(),
            }
        }
    });
    let class = load_against(mixed, &scenario(200.0, 0.5, 5.0), 1_024).await;
    assert_eq!(class.scheduled, class.served + class.rejected + class.failed);
    let deviation = |part: u64, share: f64| (part as f64 - share * class.scheduled as f64).abs();
    assert!(
        deviation(class.rejected, 0.5) <= 2.0
            && deviation(class.failed, 0.25) <= 2.0
            && deviation(class.served, 0.25) <= 2.0,
        "{class:?}"
    );
}

#[tokio::test]
async fn timeouts_broken_connections_and_unsent_jobs_are_counted_separately() {
    let silent = Router::new().fallback(|| async {
        tokio::time::sleep(Duration::from_secs(30)).await;
        "late"
    });
    let class = load_against(silent, &scenario(100.0, 0.5, 0.3), 8).await;
    assert!(class.timed_out >= 8 && class.not_sent > 0 && class.served == 0, "{class:?}");
    assert_eq!(class.timed_out + class.not_sent, class.scheduled);
    // The address of a closed listener, where connections are refused.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let report = send_load(&scenario(100.0, 0.3, 1.0), 1, address, 64).await;
    assert_eq!(report.classes[0].connection_broken, report.classes[0].scheduled);
}
