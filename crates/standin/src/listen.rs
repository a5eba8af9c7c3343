//! HTTP servers of the stand-ins.

use std::{convert::Infallible, future::Future};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
};
use tokio::net::TcpListener;
use tonic::body::Body;

use crate::stall::Stall;

/// Serves requests on a listener until the process ends.
pub(crate) async fn serve<F, R>(listener: TcpListener, stall: Stall, respond: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(stall.wrap(stream));
        let respond = respond.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = respond(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // Clients handle broken connections, so the error is ignored.
            let _ = Builder::new(TokioExecutor::new()).serve_connection(io, service).await;
        });
    }
}
