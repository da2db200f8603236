//! What a member says about itself and the others: the answer to `GET /-/cluster`.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;

/// Longest wait for an answer: one that is paused gives none.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A member as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MemberInfo {
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Grows with every start.
    pub generation: u64,
    /// How often it came back within this start.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

/// Packets that were not taken, by cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct RejectionCounts {
    /// Longer than any of the protocol.
    pub too_large: u64,
    /// Too short, or without a meaning.
    pub malformed: u64,
    /// Not made with the cluster's key.
    pub forged: u64,
    /// Of another version.
    pub other_version: u64,
}

/// One member's view.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MembershipView {
    /// Itself.
    #[serde(rename = "own")]
    pub local_member: MemberInfo,
    /// The others that are there.
    pub members: Vec<MemberInfo>,
    /// How much it doubts itself.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// How often it was stopped and noticed.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// What it did not take.
    pub rejected: RejectionCounts,
    /// Packets that came.
    pub packets_in: u64,
    /// Packets sent.
    pub packets_out: u64,
    /// Bytes that came.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

impl MembershipView {
    /// Whether it sees one of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }
}

pub(crate) struct MembershipClient(Client<HttpConnector, Empty<Bytes>>);

impl MembershipClient {
    pub(crate) fn new() -> MembershipClient {
        // A connection for each question: one to a process that has since been killed is of no use.
        let mut client = Client::builder(TokioExecutor::new());
        client.pool_timer(TokioTimer::new()).pool_max_idle_per_host(0);
        MembershipClient(client.build_http())
    }

    /// The view of the one that serves here.
    ///
    /// # Errors
    /// No answer in time, or one that is no view.
    pub(crate) async fn fetch_view(&self, at: SocketAddr) -> Result<MembershipView, String> {
        let asked = async {
            let request = Request::get(format!("http://{at}/-/cluster"));
            let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
            let answer = self.0.request(request).await.map_err(|e| e.to_string())?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            if status != StatusCode::OK {
                return Err(format!("status {status}"));
            }
            serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("no view: {e}"))
        };
        let late = |_| Err(format!("no answer in {RESPONSE_TIMEOUT:?}"));
        tokio::time::timeout(RESPONSE_TIMEOUT, asked).await.unwrap_or_else(late)
    }
}
