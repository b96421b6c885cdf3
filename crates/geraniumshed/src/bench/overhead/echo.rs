//! An endpoint that echoes each request immediately.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// The header with the id of a request, which an endpoint repeats in its answer.
const REQUEST_ID: &str = "geraniumshed-request-id";

/// An endpoint that echoes the body of each request immediately.
#[derive(Debug, Clone, Copy)]
pub struct EchoEndpoint;

impl EchoEndpoint {
    /// Spawns an endpoint on a free loopback port and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn spawn() -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                drop(stream.set_nodelay(true));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(echo));
                tokio::spawn(connection);
            }
        });
        Ok(address)
    }
}

async fn echo(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    let mut response = Response::new(Full::new(body));
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(response)
}
