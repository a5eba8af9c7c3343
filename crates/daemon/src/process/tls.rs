//! TLS of the ports for callers and for other instances.

use std::{io, path::Path, sync::Arc};

use rustls::{ClientConfig, RootCertStore, ServerConfig, server::WebPkiClientVerifier};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject};
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::process::settings::{Callers, Peers, TlsMode};

/// DNS name in the certificates of all instances.
const CERTIFICATE_NAME: &str = "skylarkspan";

/// ALPN protocol that callers negotiate.
const HTTP2_ALPN: &[u8] = b"h2";

/// Error that keeps TLS from being set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: rustls_pki_types::pem::Error,
    },
    /// A certificate or private key is unusable.
    #[snafu(display("TLS: {source}"))]
    Credentials {
        /// Cause of the failure.
        source: rustls::Error,
    },
    /// The certificate authority is unusable for verification.
    #[snafu(display("TLS authority: {source}"))]
    Authority {
        /// Cause of the failure.
        source: rustls::server::VerifierBuilderError,
    },
}

/// Connection with or without TLS.
pub trait Io: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Io for T {}

/// Acceptor that runs the TLS handshake on accepted connections, unless TLS is
/// off.
#[derive(Clone)]
pub struct Acceptor(Option<TlsAcceptor>);

impl std::fmt::Debug for Acceptor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Acceptor(..)")
    }
}

impl Acceptor {
    /// Creates the acceptor of the port for callers.
    ///
    /// # Errors
    /// Fails if the certificate or the key is unusable.
    pub fn for_callers(settings: &Callers) -> Result<Self, Error> {
        if settings.tls == TlsMode::Off {
            return Ok(Self(None));
        }
        let mut config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(read_chain(&settings.certificate)?, read_key(&settings.key)?)
            .context(CredentialsSnafu)?;
        config.alpn_protocols = vec![HTTP2_ALPN.to_vec()];
        Ok(Self(Some(Arc::new(config).into())))
    }

    /// Creates the acceptor of the port for other instances, which have to
    /// present a certificate of the authority in the settings.
    ///
    /// # Errors
    /// Fails if the certificate, the key or the authority is unusable.
    pub fn for_peers(settings: &Peers) -> Result<Self, Error> {
        if settings.tls == TlsMode::Off {
            return Ok(Self(None));
        }
        let verifier = WebPkiClientVerifier::builder(Arc::new(read_roots(&settings.authority)?))
            .build()
            .context(AuthoritySnafu)?;
        let config = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(read_chain(&settings.certificate)?, read_key(&settings.key)?)
            .context(CredentialsSnafu)?;
        Ok(Self(Some(Arc::new(config).into())))
    }

    /// Runs the TLS handshake on an accepted connection.
    ///
    /// # Errors
    /// Fails if the handshake fails.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<Box<dyn Io>> {
        match &self.0 {
            Some(acceptor) => Ok(Box::new(acceptor.accept(stream).await?)),
            None => Ok(Box::new(stream)),
        }
    }
}

/// Dialer of connections to other instances.
#[derive(Clone)]
pub struct Dialer(Option<TlsConnector>);

impl std::fmt::Debug for Dialer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Dialer(..)")
    }
}

impl Dialer {
    /// Creates the dialer from the settings.
    ///
    /// # Errors
    /// Fails if the certificate, the key or the authority is unusable.
    pub fn try_new(settings: &Peers) -> Result<Self, Error> {
        if settings.tls == TlsMode::Off {
            return Ok(Self(None));
        }
        let config = ClientConfig::builder()
            .with_root_certificates(read_roots(&settings.authority)?)
            .with_client_auth_cert(read_chain(&settings.certificate)?, read_key(&settings.key)?)
            .context(CredentialsSnafu)?;
        Ok(Self(Some(Arc::new(config).into())))
    }

    /// Opens a connection to the instance at `address`.
    ///
    /// # Errors
    /// Fails if the TCP connection or the TLS handshake fails.
    pub async fn dial(&self, address: &str) -> io::Result<Box<dyn Io>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        match &self.0 {
            Some(connector) => {
                let name = ServerName::try_from(CERTIFICATE_NAME)
                    .expect("the certificate name is a valid DNS name");
                Ok(Box::new(connector.connect(name, stream).await?))
            }
            None => Ok(Box::new(stream)),
        }
    }
}

fn read_chain(path: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_file_iter(Path::new(path))
        .and_then(|chain| chain.collect())
        .context(ReadSnafu { path })
}

fn read_key(path: &str) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_file(Path::new(path)).context(ReadSnafu { path })
}

fn read_roots(path: &str) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(path)? {
        roots.add(certificate).context(CredentialsSnafu)?;
    }
    Ok(roots)
}
