//! Calls to the operator API.

use std::env;
use std::fs;
use std::time::Duration;

use geraniumshed_daemon::settings::OperatorSecret;
use geraniumshed_wire::operator::{
    ClusterStatus, HistoryReply, LevelRequest, ProblemDocument, PublishReply, RecordList,
    ResolveRequest, TaskDecision,
};
use geraniumshed_wire::record::RecordDocument;
use reqwest::{Certificate, Client, Identity, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::error::ClientError;

/// The environment variable that holds the operators' secret.
const SECRET_VARIABLE: &str = "GERANIUMSHED_OPERATOR_SECRET";
/// The environment variable that holds the operator URLs of daemons.
const URL_VARIABLE: &str = "GERANIUMSHED_OPERATOR_URL";
/// The URL used if none is configured.
const DEFAULT_URL: &str = "http://127.0.0.1:8081";
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of a whole request, from connecting to the end of the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How an operator connects to daemons and authenticates.
#[derive(Debug, Clone, Default)]
pub struct ClientSettings {
    /// The operator URLs of daemons, comma-separated, tried in order until one can be reached.
    pub url: Option<String>,
    /// The path of the file that holds the operators' secret.
    pub secret_file: Option<String>,
    /// The operators' secret itself, which takes precedence over the file.
    pub secret: Option<OperatorSecret>,
    /// The path of a PEM file with the CA that signed the daemons' certificates.
    pub authority: Option<String>,
    /// The path of a PEM file with the operator's certificate and key.
    pub identity: Option<String>,
}

/// A client for the operator API of daemons.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    client: Client,
    urls: Vec<String>,
    secret: Option<SmolStr>,
}

impl OperatorClient {
    /// Opens a client.
    ///
    /// # Errors
    ///
    /// Returns `Settings` if a file can't be read or is invalid.
    pub fn open(settings: &ClientSettings) -> Result<Self, ClientError> {
        // Fails harmlessly if a crypto provider is installed already.
        drop(rustls::crypto::ring::default_provider().install_default());
        let mut builder = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT);
        if let Some(path) = &settings.authority {
            let certificates = Certificate::from_pem_bundle(&read_file(path)?)
                .map_err(|error| settings_error(path, &error))?;
            builder = builder.tls_certs_only(certificates);
        }
        if let Some(path) = &settings.identity {
            let identity = Identity::from_pem(&read_file(path)?)
                .map_err(|error| settings_error(path, &error))?;
            builder = builder.identity(identity);
        }
        let client = builder
            .build()
            .map_err(|error| ClientError::Settings(error_chain(&error)))?;
        Ok(Self {
            client,
            urls: client_urls(settings),
            secret: client_secret(settings)?,
        })
    }

    /// Returns the state of the cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn status(&self) -> Result<ClusterStatus, ClientError> {
        self.read("/operator/status").await
    }

    /// Returns the records in force, only those of `kind` if it is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn list(&self, kind: Option<&str>) -> Result<RecordList, ClientError> {
        let query = kind.map_or(String::new(), |kind| format!("?kind={kind}"));
        self.read(&format!("/operator/records{query}")).await
    }

    /// Returns one record in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn get(&self, key: &str) -> Result<RecordDocument, ClientError> {
        self.read(&format!("/operator/records/{key}")).await
    }

    /// Returns all publications of a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn history(&self, key: &str) -> Result<HistoryReply, ClientError> {
        self.read(&format!("/operator/records/{key}/history")).await
    }

    /// Publishes the single record in a text.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn publish(&self, text: &str) -> Result<PublishReply, ClientError> {
        let build = |url: &str| {
            let url = format!("{url}/operator/records");
            self.client.post(url).body(text.to_owned())
        };
        self.send(Method::POST, build).await
    }

    /// Withdraws a record; if `replaces` is given, only if that generation is in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn withdraw(
        &self,
        key: &str,
        replaces: Option<u64>,
    ) -> Result<PublishReply, ClientError> {
        let query = replaces.map_or(String::new(), |number| format!("?replaces={number}"));
        let build = |url: &str| {
            self.client
                .delete(format!("{url}/operator/records/{key}{query}"))
        };
        self.send(Method::DELETE, build).await
    }

    /// Decides the outcome of a task in state unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn resolve(
        &self,
        task: &str,
        decision: TaskDecision,
    ) -> Result<ResolveRequest, ClientError> {
        let build = |url: &str| {
            let url = format!("{url}/operator/tasks/{task}/resolve");
            self.client.post(url).json(&ResolveRequest { decision })
        };
        self.send(Method::POST, build).await
    }

    /// Returns the current values of all metrics, one line of name and value each.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let build = |url: &str| self.client.get(format!("{url}/operator/metrics"));
        let response = self.send_raw(&Method::GET, build).await?;
        response
            .text()
            .await
            .map_err(|error| ClientError::Settings(error_chain(&error)))
    }

    /// Changes the log level of the daemon that is reached.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn set_log_level(&self, level: &str) -> Result<LevelRequest, ClientError> {
        let request = LevelRequest {
            level: level.into(),
        };
        let build = |url: &str| {
            self.client
                .put(format!("{url}/operator/loglevel"))
                .json(&request)
        };
        self.send(Method::PUT, build).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let build = |url: &str| self.client.get(format!("{url}{path}"));
        self.send(Method::GET, build).await
    }

    /// Sends a request and parses the JSON document of the answer.
    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        build: impl Fn(&str) -> RequestBuilder,
    ) -> Result<T, ClientError> {
        let response = self.send_raw(&method, build).await?;
        read_answer(response, &method).await
    }

    /// Sends a request to the first daemon that can be reached.
    ///
    /// A request that changes state is retried at the next daemon only if no connection was
    /// established, so that it is never sent twice.
    async fn send_raw(
        &self,
        method: &Method,
        build: impl Fn(&str) -> RequestBuilder,
    ) -> Result<Response, ClientError> {
        let mut last = ClientError::Settings("no URL is given (hint: use --url)".into());
        for url in &self.urls {
            let mut request = build(url);
            if let Some(secret) = &self.secret {
                request = request.bearer_auth(secret);
            }
            let error = match request.send().await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if error.is_builder() {
                return Err(ClientError::Settings(format_smolstr!(
                    "`{url}` is no URL (hint: use one such as {DEFAULT_URL})"
                )));
            }
            let reason = format_smolstr!("{url}: {}", error_chain(&error));
            if *method != Method::GET && !error.is_connect() {
                return Err(ClientError::AnswerLost(reason));
            }
            last = ClientError::Unreachable(reason);
        }
        Err(last)
    }
}

async fn read_answer<T: DeserializeOwned>(
    response: Response,
    method: &Method,
) -> Result<T, ClientError> {
    let status = response.status();
    let body = response.bytes().await.map_err(|error| {
        let reason = error_chain(&error);
        if *method == Method::GET {
            ClientError::Unreachable(reason)
        } else {
            ClientError::AnswerLost(reason)
        }
    })?;
    if status.is_success() {
        return serde_json::from_slice(&body)
            .map_err(|error| ClientError::Unexpected(error.to_smolstr()));
    }
    match serde_json::from_slice::<ProblemDocument>(&body) {
        Ok(problem) => Err(ClientError::Problem(Box::new(problem))),
        Err(_) => Err(ClientError::Unexpected(format_smolstr!(
            "status {status} without a problem document (hint: is this the operator URL of a daemon?)"
        ))),
    }
}

fn client_urls(settings: &ClientSettings) -> Vec<String> {
    let urls = settings
        .url
        .clone()
        .or_else(|| env::var(URL_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_URL.to_owned());
    urls.split(',')
        .map(|url| url.trim().trim_end_matches('/').to_owned())
        .filter(|url| !url.is_empty())
        .collect()
}

fn client_secret(settings: &ClientSettings) -> Result<Option<SmolStr>, ClientError> {
    if let Some(secret) = &settings.secret {
        return Ok(Some(SmolStr::new(secret.expose())));
    }
    let Some(path) = &settings.secret_file else {
        return Ok(env::var(SECRET_VARIABLE).ok().map(SmolStr::new));
    };
    let bytes = read_file(path)?;
    let text = String::from_utf8(bytes)
        .map_err(|_| ClientError::Settings(format_smolstr!("{path} is not UTF-8")))?;
    Ok(Some(SmolStr::new(text.trim())))
}

fn read_file(path: &str) -> Result<Vec<u8>, ClientError> {
    fs::read(path).map_err(|error| settings_error(path, &error))
}

fn settings_error(path: &str, error: &impl ToString) -> ClientError {
    ClientError::Settings(format_smolstr!(
        "{path} can't be used: {}",
        error.to_string()
    ))
}

/// Formats an error with all of its causes, since the outermost message alone is vague.
fn error_chain(error: &dyn std::error::Error) -> SmolStr {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    SmolStr::new(text)
}
