//! The load tool against servers that stall, refuse, fail, break off and say nothing.
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
    Scenario::parse(&text).expect("a scenario")
}

async fn against(router: Router, scenario: &Scenario, most_open: usize) -> ClassLoadResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move { axum::serve(listener, router).await });
    let report = send_load(scenario, 1, address, most_open).await;
    server.abort();
    report.classes.into_iter().next().expect("a class")
}

// Guards against coordinated omission: a tool that waits for the stalled answer before it sends on
// would see one slow job where an open loop sees all that came meanwhile.
#[tokio::test]
async fn a_server_that_stalls_once_is_seen_by_all_jobs_that_came_meanwhile() {
    let (turn, count) = (Arc::new(Mutex::new(())), Arc::new(AtomicU64::new(0)));
    let stalls = Router::new().fallback(move || {
        let (turn, count) = (Arc::clone(&turn), Arc::clone(&count));
        async move {
            let _turn = turn.lock().await;
            if count.fetch_add(1, Ordering::Relaxed) == 10 {
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
            "done"
        }
    });
    let of = against(stalls, &scenario(100.0, 1.5, 5.0), 1_024).await;
    assert_eq!((of.served, of.scheduled), (of.scheduled, of.scheduled));
    assert!(of.scheduled > 100);
    // Half a second of a hundred a second stood in the queue; a closed loop would show a single one.
    let slow = of.served - of.in_time;
    assert!((15..=60).contains(&slow), "{slow} of {} over 0.2 s", of.scheduled);
    assert!((450.0..900.0).contains(&of.served_ms[4]), "{:?}", of.served_ms);
}

#[tokio::test]
async fn answers_are_counted_for_what_they_are() {
    let count = Arc::new(AtomicU64::new(0));
    let mixed = Router::new().fallback(move |request: Request| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        async move {
            let headers = request.headers();
            let text =
                |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
            // What the protocol asks of a client.
            let good = text("x-request-id").len() == 16
                && text("x-timeout").ends_with('m')
                && text("x-cost").parse::<u64>().is_ok()
                && text("idempotency-key").len() == 32
                && request.uri().path().starts_with("/c/");
            match number % 4 {
                _ if !good => StatusCode::BAD_REQUEST.into_response(),
                0 => StatusCode::SERVICE_UNAVAILABLE.into_response(),
                1 => StatusCode::TOO_MANY_REQUESTS.into_response(),
                2 => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
                _ => "done".into_response(),
            }
        }
    });
    let of = against(mixed, &scenario(200.0, 0.5, 5.0), 1_024).await;
    assert_eq!(of.scheduled, of.served + of.rejected + of.failed);
    let off = |part: u64, share: f64| (part as f64 - share * of.scheduled as f64).abs();
    assert!(
        off(of.rejected, 0.5) <= 2.0 && off(of.failed, 0.25) <= 2.0 && off(of.served, 0.25) <= 2.0,
        "{of:?}"
    );
}

#[tokio::test]
async fn silence_breaks_and_a_full_house_are_told_apart() {
    let silent = Router::new().fallback(|| async {
        tokio::time::sleep(Duration::from_secs(30)).await;
        "late"
    });
    let of = against(silent, &scenario(100.0, 0.5, 0.3), 8).await;
    assert!(of.timed_out >= 8 && of.not_sent > 0 && of.served == 0, "{of:?}");
    assert_eq!(of.timed_out + of.not_sent, of.scheduled);
    // Nobody listens there any more.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let report = send_load(&scenario(100.0, 0.3, 1.0), 1, address, 64).await;
    assert_eq!(report.classes[0].connection_broken, report.classes[0].scheduled);
}
