//! The TLS certificates of the operators' interface.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use log::{info, warn};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::settings::OperatorTls;

/// An error that prevents the use of certificates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TlsError {
    /// A file can't be read.
    File {
        /// The path of the file.
        path: SmolStr,
        /// Why it can't be used.
        reason: SmolStr,
    },
    /// The certificates, the key or the authority don't match, or are not accepted.
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

/// Loads certificates from their files.
#[derive(Debug, Clone)]
pub struct TlsLoader {
    settings: OperatorTls,
}

impl TlsLoader {
    /// Creates a loader of the files in the settings.
    pub fn new(settings: OperatorTls) -> Self {
        Self { settings }
    }

    /// Returns the modification time of each file.
    fn file_versions(&self) -> Vec<Option<SystemTime>> {
        let settings = &self.settings;
        let files = [
            Some(&settings.certificate),
            Some(&settings.key),
            settings.client_authority.as_ref(),
        ];
        files
            .into_iter()
            .flatten()
            .map(|path| fs::metadata(path).and_then(|data| data.modified()).ok())
            .collect()
    }

    /// Loads the certificates from their files.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the reason.
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

/// The interval at which the files are checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Certificates that are loaded again when their files change, so that renewals need no restart.
#[derive(Debug)]
pub struct TlsReloader {
    config: watch::Receiver<Arc<ServerConfig>>,
    task: JoinHandle<()>,
}

impl TlsReloader {
    /// Loads the certificates and spawns a background task that loads them again when a file
    /// changes.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and the reason.
    pub fn spawn(loader: TlsLoader) -> Result<Arc<Self>, TlsError> {
        let versions = loader.file_versions();
        let (sender, config) = watch::channel(loader.load()?);
        let task = tokio::spawn(reload_on_change(loader, versions, sender));
        Ok(Arc::new(Self { config, task }))
    }

    /// Returns the current certificates.
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.borrow())
    }
}

impl Drop for TlsReloader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Loads the certificates again whenever a file changes; if that fails, the old ones stay in use.
async fn reload_on_change(
    loader: TlsLoader,
    mut versions: Vec<Option<SystemTime>>,
    sender: watch::Sender<Arc<ServerConfig>>,
) {
    loop {
        tokio::time::sleep(RELOAD_INTERVAL).await;
        let found = loader.file_versions();
        if found == versions {
            continue;
        }
        match loader.load() {
            Ok(config) => {
                info!("operators' certificates were reloaded");
                versions = found;
                sender.send_replace(config);
            }
            Err(error) => warn!("operators' certificates were not reloaded: {error}"),
        }
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
