//! Certificates of daemons and operators: valid, missing, of another authority, expired and
//! renewed.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use geraniumshed_daemon::operator::{OperatorHandle, OperatorListener, TlsLoader};
use geraniumshed_daemon::settings::{OperatorSettings, OperatorTls};
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    date_time_ymd,
};
use reqwest::{Certificate, Client, Identity, StatusCode};
use rstest::rstest;

use crate::fake::FakeDaemon;

/// An authority that signs certificates.
struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new(name: &str) -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params
            .distinguished_name
            .push(rcgen::DnType::CommonName, name);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Self {
            pem,
            issuer: Issuer::new(params, key),
        }
    }

    /// Signs a certificate and returns it with its key, in PEM.
    fn sign(&self, purpose: ExtendedKeyUsagePurpose, last_year: i32) -> (String, String) {
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        params.extended_key_usages = vec![purpose];
        params.not_before = date_time_ymd(2020, 1, 1);
        params.not_after = date_time_ymd(last_year, 1, 1);
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        (certificate.pem(), key.serialize_pem())
    }
}

/// A temporary folder of certificate files, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("geraniumshed-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).unwrap();
    }
}

const VALID: i32 = 2120;
const EXPIRED: i32 = 2021;

async fn bind(folder: &Folder, daemons: &Authority, operators: &Authority) -> OperatorHandle {
    drop(rustls::crypto::ring::default_provider().install_default());
    let (certificate, key) = daemons.sign(ExtendedKeyUsagePurpose::ServerAuth, VALID);
    let settings = OperatorSettings {
        tls: Some(OperatorTls {
            certificate: folder.write("daemon.pem", &certificate),
            key: folder.write("daemon.key", &key),
            client_authority: Some(folder.write("operators.pem", &operators.pem)),
        }),
        ..OperatorSettings::default()
    };
    OperatorListener::bind(FakeDaemon::default(), settings)
        .await
        .unwrap()
}

fn client(daemons: &Authority, identity: Option<(String, String)>) -> Client {
    let root = Certificate::from_pem(daemons.pem.as_bytes()).unwrap();
    let mut builder = Client::builder().tls_certs_only([root]);
    if let Some((certificate, key)) = identity {
        let pem = format!("{certificate}{key}");
        builder = builder.identity(Identity::from_pem(pem.as_bytes()).unwrap());
    }
    builder.build().unwrap()
}

async fn status(client: &Client, handle: &OperatorHandle) -> Option<StatusCode> {
    let url = format!("https://{}/operator/status", handle.local_addr());
    client
        .get(url)
        .send()
        .await
        .ok()
        .map(|response| response.status())
}

#[rstest]
#[case::right(Some((0, VALID)), true)]
#[case::missing(None, false)]
#[case::foreign(Some((1, VALID)), false)]
#[case::expired(Some((0, EXPIRED)), false)]
#[tokio::test]
async fn operators_need_a_valid_certificate_of_the_authority(
    #[case] signed: Option<(usize, i32)>,
    #[case] served: bool,
) {
    let folder = Folder::new(&format!("operators-{signed:?}-{served}"));
    let authorities = [Authority::new("operators"), Authority::new("strangers")];
    let daemons = Authority::new("daemons");
    let handle = bind(&folder, &daemons, &authorities[0]).await;
    let identity = signed.map(|(authority, year)| {
        authorities[authority].sign(ExtendedKeyUsagePurpose::ClientAuth, year)
    });
    let found = status(&client(&daemons, identity), &handle).await;
    assert_eq!(found, served.then_some(StatusCode::OK));
}

#[tokio::test]
async fn renewed_files_are_used_without_a_restart() {
    let folder = Folder::new("renewed");
    let operators = Authority::new("operators");
    let daemons = Authority::new("daemons");
    let renewed = Authority::new("renewed daemons");
    let handle = bind(&folder, &daemons, &operators).await;
    let identity = operators.sign(ExtendedKeyUsagePurpose::ClientAuth, VALID);
    assert!(
        status(&client(&daemons, Some(identity.clone())), &handle)
            .await
            .is_some()
    );
    // If a file is invalid, the old certificates stay in use.
    folder.write("daemon.pem", "nonsense");
    touch_later(&folder.0.join("daemon.pem"), 10);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        status(&client(&daemons, Some(identity.clone())), &handle)
            .await
            .is_some()
    );
    let (certificate, key) = renewed.sign(ExtendedKeyUsagePurpose::ServerAuth, VALID);
    folder.write("daemon.key", &key);
    folder.write("daemon.pem", &certificate);
    touch_later(&folder.0.join("daemon.pem"), 20);
    // A new client for each attempt, since an open connection keeps its certificate.
    for _ in 0..200 {
        if status(&client(&renewed, Some(identity.clone())), &handle)
            .await
            .is_some()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the renewed certificate is not used after 20 s");
}

/// Advances a file's modification time, since two writes may get the same time from the file
/// system.
fn touch_later(path: &Path, seconds: u64) {
    let file = fs::File::options().append(true).open(path).unwrap();
    file.set_modified(SystemTime::now() + Duration::from_secs(seconds))
        .unwrap();
}

#[rstest]
#[case::no_file(None, "can't be used")]
#[case::nonsense(Some("nonsense"), "holds no certificate")]
fn errors_name_the_invalid_file(#[case] text: Option<&str>, #[case] expected: &str) {
    let folder = Folder::new(&format!("wrong-{}", text.is_some()));
    let certificate = match text {
        Some(text) => folder.write("daemon.pem", text),
        None => folder.0.join("nowhere.pem"),
    };
    let loader = TlsLoader::new(OperatorTls {
        certificate,
        key: folder.0.join("daemon.key"),
        client_authority: None,
    });
    let error = loader.load().unwrap_err().to_string();
    assert!(
        error.contains(expected) && error.contains(".pem"),
        "{error}"
    );
}
