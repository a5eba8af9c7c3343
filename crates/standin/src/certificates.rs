//! Certificates for tests and demonstrations.

use std::{fs, io, path::Path};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use snafu::{ResultExt, Snafu};

/// Host names and addresses in the certificate of instances.
const NAMES: [&str; 3] = ["skylarkspan", "localhost", "127.0.0.1"];

/// Errors of writing certificates.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A certificate or key can't be generated.
    #[snafu(display("certificates: {source}"))]
    Make {
        /// Cause.
        source: rcgen::Error,
    },
    /// A file can't be written.
    #[snafu(display("certificates: {source}"))]
    Write {
        /// Cause.
        source: io::Error,
    },
}

/// Generates a certificate authority and an instance certificate signed by it;
/// writes `authority.pem`, `instance.pem` and `instance.key` to a folder.
///
/// # Errors
/// Returns an error if a certificate can't be generated or a file can't be
/// written.
pub fn write_certificates(dir: &Path) -> Result<(), Error> {
    let mut params = CertificateParams::new(Vec::new()).context(MakeSnafu)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate().context(MakeSnafu)?)
        .context(MakeSnafu)?;
    let key = KeyPair::generate().context(MakeSnafu)?;
    let names = NAMES.map(str::to_owned).to_vec();
    let instance = CertificateParams::new(names)
        .context(MakeSnafu)?
        .signed_by(&key, &authority)
        .context(MakeSnafu)?;
    fs::create_dir_all(dir).context(WriteSnafu)?;
    fs::write(dir.join("authority.pem"), authority.pem()).context(WriteSnafu)?;
    fs::write(dir.join("instance.pem"), instance.pem()).context(WriteSnafu)?;
    fs::write(dir.join("instance.key"), key.serialize_pem()).context(WriteSnafu)
}
