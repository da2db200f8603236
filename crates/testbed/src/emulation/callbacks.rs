//! Delivers workers' callbacks to the schedulers.
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::{sleep, timeout};

use crate::emulation::environment::Environment;
use crate::emulation::messages::Callback;
use crate::emulation::platform_json::callback_json;
use crate::http_client::{HttpClient, read_body};

/// How often a worker tries a callback, the first time included.
const CALLBACK_ATTEMPTS: u32 = 10;
/// The wait between two tries.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A callback that has no response by then is tried again.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(2);

impl Environment {
    /// Delivers a callback after its delay, again after each failure until the tries are used up or the
    /// scheduler is down, and twice where it is duplicated.
    pub(crate) async fn deliver_callback(self: Rc<Self>, callback: Callback) {
        sleep(Duration::from_micros(callback.delay)).await;
        let body = callback_json(callback.request, callback.worker, callback.state, callback.load.as_ref());
        let body = Bytes::from(body.to_string());
        let scheduler = &self.schedulers[callback.scheduler.index()];
        let mut remaining = 1 + u32::from(callback.is_duplicated);
        for _ in 0..CALLBACK_ATTEMPTS {
            if !scheduler.is_up.get() {
                return;
            }
            let url = format!("http://{}/_jobs/news", scheduler.address);
            let Ok(request) = Request::post(url).body(Full::new(body.clone())) else { return };
            if matches!(timeout(CALLBACK_TIMEOUT, send(&self.client, request)).await, Ok(Some(_))) {
                remaining -= 1;
                if remaining == 0 {
                    return;
                }
            } else {
                sleep(CALLBACK_RETRY_DELAY).await;
            }
        }
    }
}

async fn send(client: &HttpClient, request: Request<Full<Bytes>>) -> Option<Bytes> {
    let response = client.request(request).await.ok()?;
    read_body(response.into_body()).await.ok()
}
