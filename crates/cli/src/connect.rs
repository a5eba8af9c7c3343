//! Connections to an instance.

use std::{path::PathBuf, time::Duration};

use base::Failure;
use bpaf::Bpaf;
use tonic::{
    Request,
    metadata::{Ascii, MetadataValue},
    transport::{Certificate, Channel, ClientTlsConfig, Endpoint},
};

use crate::error::{Error, Result};

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which to try again to connect.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Environment variable with the key.
const KEY_VARIABLE: &str = "SKYLARKSPAN_KEY";

/// An `Access` is where and how to reach an instance.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct Access {
    /// Address of any instance
    #[bpaf(argument("HOST:PORT"), env("SKYLARKSPAN_SERVER"), fallback("127.0.0.1:7000".to_owned()))]
    pub server: String,
    /// File with the key; the variable SKYLARKSPAN_KEY has it otherwise
    #[bpaf(argument("FILE"))]
    pub key_file: Option<PathBuf>,
    /// File with the authority that signs the instances, in PEM; plain
    /// connections without it
    #[bpaf(argument("FILE"), env("SKYLARKSPAN_AUTHORITY"))]
    pub authority: Option<PathBuf>,
}

impl Access {
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
/// Fails if there is no connection; nothing has run.
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
        Failure::busy(RETRY_AFTER, reason).into()
    })
}

/// Makes a request that carries the key.
///
/// # Errors
/// Fails if the key can't be read.
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
