//! Generates a certificate authority for tests and a certificate for each entry.

use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose};

use crate::error::{Error, Result};

/// Paths of the PEM files of one entry.
#[derive(Debug, Clone)]
pub struct Files {
    /// Certificate of the authority.
    pub ca: PathBuf,
    /// Certificate of the entry.
    pub cert: PathBuf,
    /// Private key of the entry.
    pub key: PathBuf,
}

/// Paths of the files in `dir` for the entry at `ip`.
pub fn files(dir: &Path, ip: Ipv4Addr) -> Files {
    Files {
        ca: dir.join("ca.pem"),
        cert: dir.join(format!("{ip}.cert.pem")),
        key: dir.join(format!("{ip}.key.pem")),
    }
}

/// Generates a new authority and a certificate for each address, and overwrites existing files.
pub fn generate(dir: &Path, entries: &[Ipv4Addr]) -> Result<()> {
    fs::create_dir_all(dir)?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    for ip in entries {
        let files = files(dir, *ip);
        let key = KeyPair::generate()?;
        let cert = CertificateParams::new(vec![ip.to_string()])?.signed_by(&key, &issuer)?;
        fs::write(&files.ca, issuer.pem())?;
        fs::write(&files.cert, cert.pem())?;
        fs::write(&files.key, key.serialize_pem())?;
    }
    Ok(())
}

impl From<rcgen::Error> for Error {
    fn from(e: rcgen::Error) -> Self {
        Self::Keys(e.to_string())
    }
}
