//! TLS towards callers and between instances.

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

/// Name in the certificates of instances.
const INSTANCE_NAME: &str = "skylarkspan";

/// Protocol that callers negotiate.
const HTTP2: &[u8] = b"h2";

/// Reasons why TLS can't be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file can't be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: rustls_pki_types::pem::Error,
    },
    /// The certificate or the key doesn't serve.
    #[snafu(display("TLS: {source}"))]
    Material {
        /// What is wrong.
        source: rustls::Error,
    },
    /// The authority doesn't serve.
    #[snafu(display("TLS authority: {source}"))]
    Verifier {
        /// What is wrong.
        source: rustls::server::VerifierBuilderError,
    },
}

/// An `Io` is a connection with or without TLS.
pub trait Io: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Io for T {}

/// An `Acceptor` makes accepted connections secure, if told to.
#[derive(Clone)]
pub struct Acceptor(Option<TlsAcceptor>);

impl std::fmt::Debug for Acceptor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Acceptor(..)")
    }
}

impl Acceptor {
    /// Makes the acceptor of the port towards callers.
    ///
    /// # Errors
    /// Fails if the certificate or the key can't be used.
    pub fn for_callers(settings: &Callers) -> Result<Self, Error> {
        if settings.tls == TlsMode::Off {
            return Ok(Self(None));
        }
        let mut config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(read_chain(&settings.certificate)?, read_key(&settings.key)?)
            .context(MaterialSnafu)?;
        config.alpn_protocols = vec![HTTP2.to_vec()];
        Ok(Self(Some(Arc::new(config).into())))
    }

    /// Makes the acceptor of the port towards other instances, which have to
    /// show a certificate of the same authority.
    ///
    /// # Errors
    /// Fails if the certificate, the key or the authority can't be used.
    pub fn for_peers(settings: &Peers) -> Result<Self, Error> {
        if settings.tls == TlsMode::Off {
            return Ok(Self(None));
        }
        let verifier = WebPkiClientVerifier::builder(Arc::new(read_roots(&settings.authority)?))
            .build()
            .context(VerifierSnafu)?;
        let config = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(read_chain(&settings.certificate)?, read_key(&settings.key)?)
            .context(MaterialSnafu)?;
        Ok(Self(Some(Arc::new(config).into())))
    }

    /// Makes an accepted connection secure.
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

/// A `Dialer` opens connections to other instances.
#[derive(Clone)]
pub struct Dialer(Option<TlsConnector>);

impl std::fmt::Debug for Dialer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Dialer(..)")
    }
}

impl Dialer {
    /// Makes the dialer from the settings.
    ///
    /// # Errors
    /// Fails if the certificate, the key or the authority can't be used.
    pub fn try_new(settings: &Peers) -> Result<Self, Error> {
        if settings.tls == TlsMode::Off {
            return Ok(Self(None));
        }
        let config = ClientConfig::builder()
            .with_root_certificates(read_roots(&settings.authority)?)
            .with_client_auth_cert(read_chain(&settings.certificate)?, read_key(&settings.key)?)
            .context(MaterialSnafu)?;
        Ok(Self(Some(Arc::new(config).into())))
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Fails if there is no connection or the handshake fails.
    pub async fn dial(&self, address: &str) -> io::Result<Box<dyn Io>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        match &self.0 {
            Some(connector) => {
                let name = ServerName::try_from(INSTANCE_NAME).expect("it is a DNS name");
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
        roots.add(certificate).context(MaterialSnafu)?;
    }
    Ok(roots)
}
