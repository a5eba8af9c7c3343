//! Dispatch of requests by path.

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use tonic::{Status, body::Body, codegen::Service, service::Routes};
use wire::{
    pb::{control_server::ControlServer, jobs_server::JobsServer},
    status_of,
};

use crate::{
    process::Context,
    request::{call, control::ControlService, jobs::JobsService},
};

/// Path prefix of the scheduler's own services.
const BUILTIN_PATH_PREFIX: &str = "/skylarkspan.";

/// Limit on the size of an operator's message, which may hold a schema with its
/// imports.
const MAX_CHANGE_BYTES: usize = 2 << 20;

/// Returns the routes of the scheduler's own services.
pub(crate) fn routes(ctx: &Arc<Context>) -> Routes {
    let control = ControlServer::new(ControlService::new(Arc::clone(ctx)))
        .max_decoding_message_size(MAX_CHANGE_BYTES);
    let jobs = JobsServer::new(JobsService::new(Arc::clone(ctx)));
    Routes::new(control).add_service(jobs).prepare()
}

/// Converts a result into a gRPC response.
pub(crate) fn respond<T>(result: base::Result<T>) -> Result<tonic::Response<T>, Status> {
    result.map(tonic::Response::new).map_err(|failure| status_of(&failure))
}

/// Serves a request to one of the scheduler's own services, or a call of a
/// method in an operator's schema.
pub(crate) async fn dispatch(
    ctx: Arc<Context>,
    mut routes: Routes,
    request: Request<Incoming>,
) -> Response<Body> {
    if !request.uri().path().starts_with(BUILTIN_PATH_PREFIX) {
        return call::serve(ctx, request).await;
    }
    match routes.call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}
