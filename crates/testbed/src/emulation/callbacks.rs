//! Sends the callbacks of the emulated workers to schedulers.
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

/// Maximum number of times that a worker sends the same callback. Every sending counts: the first one, each
/// repetition after a failure, and the second copy that a fault can require.
const MAX_CALLBACK_TRIES: u32 = 10;
/// Delay between a failed try to send a callback and the next try.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a worker waits for the response to a callback before it sends the callback again.
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(2);

impl Environment {
    /// Waits for the callback's delay and sends the callback to its scheduler, or sends it twice if a fault
    /// requires that.
    ///
    /// If the scheduler does not respond, the callback is sent again. The tries end when the scheduler is
    /// down or the callback has been sent `MAX_CALLBACK_TRIES` times.
    pub(crate) async fn deliver_callback(self: Rc<Self>, callback: Callback) {
        sleep(Duration::from_micros(callback.delay)).await;
        let body = callback_json(callback.request, callback.worker, callback.state, callback.load.as_ref());
        let body = Bytes::from(body.to_string());
        let scheduler = &self.schedulers[callback.scheduler.index()];
        let mut remaining_deliveries = 1 + u32::from(callback.is_duplicated);
        for _ in 0..MAX_CALLBACK_TRIES {
            if !scheduler.is_up.get() {
                return;
            }
            let url = format!("http://{}/_jobs/news", scheduler.address);
            let Ok(request) = Request::post(url).body(Full::new(body.clone())) else { return };
            if matches!(timeout(CALLBACK_TIMEOUT, send(&self.client, request)).await, Ok(Some(_))) {
                remaining_deliveries -= 1;
                if remaining_deliveries == 0 {
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
