//! Certificates for tests and demonstrations.

use std::{fs, io, path::Path};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use snafu::{ResultExt, Snafu};

/// Names and addresses in the certificate of instances.
const NAMES: [&str; 3] = ["skylarkspan", "localhost", "127.0.0.1"];

/// Reasons why certificates can't be written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// They can't be made.
    #[snafu(display("certificates: {source}"))]
    Make {
        /// What is wrong.
        source: rcgen::Error,
    },
    /// A file can't be written.
    #[snafu(display("certificates: {source}"))]
    Write {
        /// What the system says.
        source: io::Error,
    },
}

/// Writes `authority.pem`, and `instance.pem` with `instance.key` signed by it,
/// into a folder.
///
/// # Errors
/// Fails if a file can't be written.
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
