//! Connection to an instance and its options on the command line.

use std::{path::PathBuf, time::Duration};

use base::Failure;
use bpaf::Bpaf;
use tonic::{
    Request,
    metadata::{Ascii, MetadataValue},
    transport::{Certificate, Channel, ClientTlsConfig, Endpoint},
};

use crate::error::{Error, Result};

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after which a failed connection may be tried again.
const CONNECT_BACKOFF: Duration = Duration::from_millis(500);

/// Environment variable that holds the key.
const KEY_VARIABLE: &str = "SKYLARKSPAN_KEY";

/// Connection options:
#[derive(Clone, Debug, Default, Bpaf)]
pub struct Access {
    /// Address of any instance of the cell
    #[bpaf(argument("HOST:PORT"), env("SKYLARKSPAN_SERVER"), fallback("127.0.0.1:7000".to_owned()))]
    pub server: String,
    /// File with the key; without this option the key is taken from the variable SKYLARKSPAN_KEY
    #[bpaf(argument("FILE"))]
    pub key_file: Option<PathBuf>,
    /// File with the certificate authority of the instances, in PEM; without this
    /// option the connection does not use TLS
    #[bpaf(argument("FILE"), env("SKYLARKSPAN_AUTHORITY"))]
    pub authority: Option<PathBuf>,
}

impl Access {
    /// Returns the key from the key file or the environment; empty if neither is set.
    fn key(&self) -> Result<String> {
        match &self.key_file {
            Some(path) => std::fs::read_to_string(path)
                .map(|text| text.trim().to_owned())
                .map_err(|error| Error::usage(format!("{}: {error}", path.display()))),
            None => Ok(std::env::var(KEY_VARIABLE).unwrap_or_default()),
        }
    }
}

/// Connects to an instance.
///
/// # Errors
/// Fails if an option is invalid or the connection can't be opened. No request has
/// run in either case.
pub async fn connect(access: &Access) -> Result<Channel> {
    let scheme = if access.authority.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", access.server))
        .map_err(Error::usage)?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    if let Some(path) = &access.authority {
        let pem = std::fs::read(path)
            .map_err(|error| Error::usage(format!("{}: {error}", path.display())))?;
        let tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(pem));
        endpoint = endpoint.tls_config(tls).map_err(Error::usage)?;
    }
    endpoint.connect().await.map_err(|error| {
        let reason = format!("no connection to {}: {error}", access.server);
        Failure::busy(CONNECT_BACKOFF, reason).into()
    })
}

/// Creates a request that carries the key.
///
/// # Errors
/// Fails if the key can't be read or is malformed.
pub fn authorized<T>(access: &Access, message: T) -> Result<Request<T>> {
    let mut request = Request::new(message);
    let key = access.key()?;
    if !key.is_empty() {
        let value: MetadataValue<Ascii> =
            format!("Bearer {key}").parse().map_err(|_| Error::usage("the key is malformed"))?;
        request.metadata_mut().insert("authorization", value);
    }
    Ok(request)
}
