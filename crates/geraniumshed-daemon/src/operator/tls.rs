//! TLS for operators.

use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use smol_str::{SmolStr, ToSmolStr};

use crate::settings::OperatorTls;

/// Certificates that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TlsError {
    /// A file can't be read.
    File {
        /// The path of the file.
        path: SmolStr,
        /// What is wrong with it.
        reason: SmolStr,
    },
    /// The certificates don't fit together.
    Invalid(SmolStr),
}

impl Display for TlsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, reason } => write!(f, "{path} can't be used: {reason}"),
            Self::Invalid(reason) => write!(f, "the certificates can't be used: {reason}"),
        }
    }
}

impl std::error::Error for TlsError {}

/// A loader of certificates.
#[derive(Debug, Clone)]
pub struct TlsLoader {
    settings: OperatorTls,
}

impl TlsLoader {
    /// Creates a loader of the files that the settings name.
    pub fn new(settings: OperatorTls) -> Self {
        Self { settings }
    }

    /// Loads the certificates from their files.
    ///
    /// # Errors
    ///
    /// Returns which file is wrong and why.
    pub fn load(&self) -> Result<Arc<ServerConfig>, TlsError> {
        let chain = read_certificates(&self.settings.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&self.settings.key)
            .map_err(|error| file_error(&self.settings.key, &error))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()
            .map_err(|error| TlsError::Invalid(error.to_smolstr()))?;
        let builder = match &self.settings.client_authority {
            Some(path) => {
                let roots = Arc::new(read_roots(path)?);
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider)
                    .build()
                    .map_err(|error| TlsError::Invalid(error.to_smolstr()))?;
                builder.with_client_cert_verifier(verifier)
            }
            None => builder.with_no_client_auth(),
        };
        let config = builder
            .with_single_cert(chain, key)
            .map_err(|error| TlsError::Invalid(error.to_smolstr()))?;
        Ok(Arc::new(config))
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path)
        .map_err(|error| file_error(path, &error))?
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| file_error(path, &error))?;
    if certificates.is_empty() {
        return Err(file_error(path, &"it holds no certificate"));
    }
    Ok(certificates)
}

fn read_roots(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        roots
            .add(certificate)
            .map_err(|error| file_error(path, &error))?;
    }
    Ok(roots)
}

fn file_error(path: &Path, reason: &impl ToString) -> TlsError {
    TlsError::File {
        path: path.display().to_smolstr(),
        reason: SmolStr::new(reason.to_string()),
    }
}
