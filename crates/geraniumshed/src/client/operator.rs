//! Calls of the operators' interface.

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

/// The variable that holds the operators' secret.
const SECRET_VARIABLE: &str = "GERANIUMSHED_OPERATOR_SECRET";
/// The variable that holds the URLs of daemons.
const URL_VARIABLE: &str = "GERANIUMSHED_OPERATOR_URL";
/// The URL that is tried if none is named.
const DEFAULT_URL: &str = "http://127.0.0.1:8081";
/// The time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time from then on to a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How an operator reaches daemons.
#[derive(Debug, Clone, Default)]
pub struct ClientSettings {
    /// The URLs of daemons, between commas; the next is tried if one can't be reached.
    pub url: Option<String>,
    /// The file of the operators' secret.
    pub secret_file: Option<String>,
    /// The operators' secret itself, which goes before the file.
    pub secret: Option<OperatorSecret>,
    /// The file of the authority that signed the daemons' certificates, in PEM.
    pub authority: Option<String>,
    /// The file of the operator's certificate and key, in PEM.
    pub identity: Option<String>,
}

/// A client of the operators' interface.
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
    /// Returns what is wrong with the settings.
    pub fn open(settings: &ClientSettings) -> Result<Self, ClientError> {
        // A second provider changes nothing.
        drop(rustls::crypto::ring::default_provider().install_default());
        let mut builder = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT);
        if let Some(path) = &settings.authority {
            let certificates = Certificate::from_pem_bundle(&read_file(path)?)
                .map_err(|error| unusable(path, &error))?;
            builder = builder.tls_certs_only(certificates);
        }
        if let Some(path) = &settings.identity {
            let identity =
                Identity::from_pem(&read_file(path)?).map_err(|error| unusable(path, &error))?;
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
    /// Returns how the call failed.
    pub async fn status(&self) -> Result<ClusterStatus, ClientError> {
        self.read("/operator/status").await
    }

    /// Returns the records in force, of one kind if it is named.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn list(&self, kind: Option<&str>) -> Result<RecordList, ClientError> {
        let query = kind.map_or(String::new(), |kind| format!("?kind={kind}"));
        self.read(&format!("/operator/records{query}")).await
    }

    /// Returns one record in force.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn get(&self, key: &str) -> Result<RecordDocument, ClientError> {
        self.read(&format!("/operator/records/{key}")).await
    }

    /// Returns all publications of a record.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn history(&self, key: &str) -> Result<HistoryReply, ClientError> {
        self.read(&format!("/operator/records/{key}/history")).await
    }

    /// Publishes the one record that a text holds.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn publish(&self, text: &str) -> Result<PublishReply, ClientError> {
        let build = |url: &str| {
            let url = format!("{url}/operator/records");
            self.client.post(url).body(text.to_owned())
        };
        self.send(Method::POST, build).await
    }

    /// Withdraws a record.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
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

    /// Decides about a task of which nobody can tell whether it ran.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
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

    /// Returns the present values of all metrics, as lines of a name and a value.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let build = |url: &str| self.client.get(format!("{url}/operator/metrics"));
        let response = self.send_raw(&Method::GET, build).await?;
        response
            .text()
            .await
            .map_err(|error| ClientError::Settings(error_chain(&error)))
    }

    /// Changes the level of log lines of one daemon.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
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

    /// Sends a request and reads the answer's document.
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
    /// A request that changes something is sent on to the next daemon only if no connection was
    /// made, so that it is never sent twice.
    async fn send_raw(
        &self,
        method: &Method,
        build: impl Fn(&str) -> RequestBuilder,
    ) -> Result<Response, ClientError> {
        let mut last = ClientError::Settings("no URL is named (hint: use --url)".into());
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
            "status {status} without a problem document (hint: is this the operators' address?)"
        ))),
    }
}

fn client_urls(settings: &ClientSettings) -> Vec<String> {
    let named = settings
        .url
        .clone()
        .or_else(|| env::var(URL_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_URL.to_owned());
    named
        .split(',')
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
    fs::read(path).map_err(|error| unusable(path, &error))
}

fn unusable(path: &str, error: &impl ToString) -> ClientError {
    ClientError::Settings(format_smolstr!(
        "{path} can't be used: {}",
        error.to_string()
    ))
}

/// Returns an error with all of its causes, since the outermost says little.
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
