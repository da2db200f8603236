//! The HTTP/1.1 protocol of the workers. The scheduler sends an attempt with `POST`, a cancellation with
//! `DELETE` and a load query with `GET`. Workers send callbacks to the address at which the scheduler listens
//! for clients.
use std::sync::Arc;

use copperspread_dispatcher::WorkerId;
use copperspread_settings::ProxySettings;
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::descriptors::DescriptorBudget;
use crate::endpoints::EndpointTable;
use crate::messages::{
    AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult, LoadQueryResult, UpstreamRequest,
};
use crate::upstream::Upstream;
use crate::upstream::http::attempt::AttemptSender;
use crate::upstream::http::cancellation::CancellationSender;
use crate::upstream::http::connections::WorkerConnections;
use crate::upstream::http::load_query::LoadQuerySender;

mod attempt;
pub mod callback;
mod cancellation;
mod connections;
mod guarded_body;
pub mod limits;
mod load_query;
pub mod load_report;
mod request;
mod tracked_connector;

/// The implementation of [`Upstream`] for HTTP, which communicates with all workers.
pub struct HttpUpstream {
    endpoints: Arc<EndpointTable>,
    attempts: AttemptSender,
    cancellations: CancellationSender,
    load_queries: LoadQuerySender,
}

impl HttpUpstream {
    /// Creates an [`HttpUpstream`] that communicates with all workers. Its connections take their file
    /// descriptors from `descriptors`. The limits on dispatches, cancellations and load queries are derived
    /// from the number of file descriptors that the process may open.
    pub fn new(
        settings: &ProxySettings,
        endpoints: Arc<EndpointTable>,
        descriptors: Arc<DescriptorBudget>,
    ) -> HttpUpstream {
        let descriptor_limit = descriptors.limit();
        let connections = Arc::new(WorkerConnections::new(settings, &descriptors));
        HttpUpstream {
            attempts: AttemptSender::new(
                Arc::clone(&connections),
                Arc::clone(&endpoints),
                settings,
                descriptor_limit,
            ),
            cancellations: CancellationSender::new(Arc::clone(&connections), descriptor_limit),
            load_queries: LoadQuerySender::new(connections, Arc::clone(&endpoints), descriptors),
            endpoints,
        }
    }
}

impl Upstream for HttpUpstream {
    fn query_load<'a>(&'a self, worker: WorkerId, deadline: Instant) -> BoxFuture<'a, LoadQueryResult> {
        Box::pin(self.load_queries.send(worker, deadline))
    }

    fn target(&self, worker: WorkerId) -> AttemptTarget {
        AttemptTarget { worker, address: self.endpoints.serving_address(worker) }
    }

    fn dispatch<'a>(
        &'a self,
        target: &'a AttemptTarget,
        request: &'a UpstreamRequest,
        deadline: Instant,
        control: &'a DispatchControl,
    ) -> BoxFuture<'a, DispatchResult> {
        Box::pin(self.attempts.send(target, request, deadline, control))
    }

    fn cancel(
        &self,
        target: &AttemptTarget,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'static, CancellationOutcome> {
        self.cancellations.send(target, &request.id, deadline)
    }

    fn worker_name(&self, worker: WorkerId) -> Arc<str> {
        self.endpoints.name(worker)
    }
}
