//! TLS for operators.

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

    /// Returns when each file was written last.
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

/// The time between two looks at the files.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Certificates that follow their files, so that they are renewed without a restart.
#[derive(Debug)]
pub struct TlsFollower {
    config: watch::Receiver<Arc<ServerConfig>>,
    task: JoinHandle<()>,
}

impl TlsFollower {
    /// Loads the certificates and spawns a task that loads them again when a file changes.
    ///
    /// # Errors
    ///
    /// Returns which file is wrong and why.
    pub fn spawn(loader: TlsLoader) -> Result<Arc<Self>, TlsError> {
        let versions = loader.file_versions();
        let (sender, config) = watch::channel(loader.load()?);
        let task = tokio::spawn(follow_files(loader, versions, sender));
        Ok(Arc::new(Self { config, task }))
    }

    /// Returns the certificates that are in use now.
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.borrow())
    }
}

impl Drop for TlsFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Loads the certificates again whenever a file changes; wrong files leave the old ones in use.
async fn follow_files(
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
                info!("operators' certificates were loaded again");
                versions = found;
                sender.send_replace(config);
            }
            Err(error) => warn!("operators' certificates stay as they were: {error}"),
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
