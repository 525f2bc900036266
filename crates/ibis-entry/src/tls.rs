//! TLS configuration of the control connections between entries.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::settings::Settings;

/// ALPN protocol name of control connections.
const ALPN: &[u8] = b"ibisshift/1";

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// An error in the certificates or keys.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A file is unreadable, not valid PEM or not usable as a trust root.
    #[display("{}: {reason}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error.
        reason: String,
    },
    /// Rejected by rustls, for instance because the certificate and the key don't match.
    #[display("certificates: {_0}")]
    Rejected(#[error(not(source))] String),
}

/// QUIC configurations of incoming and outgoing connections.
#[derive(Debug, Clone)]
pub struct Configs {
    /// For incoming connections.
    pub server: quinn::ServerConfig,
    /// For outgoing connections.
    pub client: quinn::ClientConfig,
}

/// Reads the files and builds both configurations. Both sides must present a certificate.
///
/// # Errors
///
/// Returns an error if a file can't be used or the certificates and the key don't match.
pub fn load_configs(cfg: &Settings) -> Result<Configs, Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    for cert in read_certs(&cfg.ca)? {
        roots.add(cert).map_err(|e| file_error(&cfg.ca, &e))?;
    }
    let roots = Arc::new(roots);
    let chain = read_certs(&cfg.cert)?;
    let key = PrivateKeyDer::from_pem_file(&cfg.key).map_err(|e| file_error(&cfg.key, &e))?;

    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .map_err(|e| Error::Rejected(e.to_string()))?;
    let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN.to_vec()];

    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let transport = Arc::new(transport());
    let server = QuicServerConfig::try_from(server).map_err(|e| Error::Rejected(e.to_string()))?;
    let client = QuicClientConfig::try_from(client).map_err(|e| Error::Rejected(e.to_string()))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    server.transport_config(Arc::clone(&transport));
    client.transport_config(transport);
    Ok(Configs { server, client })
}

impl From<rustls::Error> for Error {
    fn from(e: rustls::Error) -> Self {
        Self::Rejected(e.to_string())
    }
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let timeout = quinn::IdleTimeout::try_from(IDLE_TIMEOUT).ok();
    transport.max_idle_timeout(timeout);
    transport
}

fn read_certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|e| file_error(path, &e))
}

fn file_error(path: &Path, reason: &dyn std::fmt::Display) -> Error {
    Error::File { path: path.to_owned(), reason: reason.to_string() }
}
