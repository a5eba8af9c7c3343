//! Requests by their paths.

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
    request::{call, control::Operator, jobs::Submitter},
};

/// Start of the paths of the scheduler's own services.
const OWN_PREFIX: &str = "/skylarkspan.";

/// Largest message of an operator, in bytes: a schema with its imports.
const LARGEST_CHANGE_BYTES: usize = 2 << 20;

/// Makes the scheduler's own services.
pub(crate) fn routes(ctx: &Arc<Context>) -> Routes {
    let control = ControlServer::new(Operator::new(Arc::clone(ctx)))
        .max_decoding_message_size(LARGEST_CHANGE_BYTES);
    let jobs = JobsServer::new(Submitter::new(Arc::clone(ctx)));
    Routes::new(control).add_service(jobs).prepare()
}

/// Makes the response of the scheduler's own services.
pub(crate) fn respond<T>(result: base::Result<T>) -> Result<tonic::Response<T>, Status> {
    result.map(tonic::Response::new).map_err(|failure| status_of(&failure))
}

/// Serves a request: one of the scheduler's own, or a call that operators have
/// described.
pub(crate) async fn dispatch(
    ctx: Arc<Context>,
    mut routes: Routes,
    request: Request<Incoming>,
) -> Response<Body> {
    if !request.uri().path().starts_with(OWN_PREFIX) {
        return call::serve(ctx, request).await;
    }
    match routes.call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}
