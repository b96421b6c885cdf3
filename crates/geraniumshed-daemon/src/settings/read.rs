//! The reader of a settings file.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::fs;
use std::path::{Path, PathBuf};

use geraniumshed_model::prelude::{DaemonId, RegionName, ZoneName};
use geraniumshed_platform::HttpTimeouts;
use geraniumshed_wire::document::{
    ChoiceField, DocumentNode, OVERRIDE_PREFIX, ParseContext, ParsedField, ProblemList,
    SectionReader, TextField, parse_document,
};
use smol_str::{SmolStr, format_smolstr};

use super::daemon::{
    ClusterSettings, DaemonIdentity, DaemonSettings, OperatorSecret, OperatorSettings, OperatorTls,
    PeerAddresses, PlatformSettings, TelemetrySettings, TextFormat,
};
use super::field_reader::FieldReader;
use super::parts::{read_entry, read_log, read_scheduler};

/// The environment variable that holds the operators' secret.
pub const SECRET_VARIABLE: &str = "GERANIUMSHED_OPERATOR_SECRET";

/// The environment variable in which operators' clients find the daemons.
pub const URL_VARIABLE: &str = "GERANIUMSHED_OPERATOR_URL";

/// The description of valid names.
const NAME_RULE: &str = "1 to 63 letters, digits, `-`, `_` or `.`, starting with a letter or digit";
/// The values of `log_format`.
const FORMAT_WORDS: &[(&str, TextFormat)] =
    &[("text", TextFormat::Text), ("json", TextFormat::Json)];
/// The default number of shards.
const DEFAULT_SHARDS: u32 = 16;
/// The rule for paths of files and URLs.
const PATH_RULE: TextField = TextField { limit: 4096 };

/// An error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read.
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        reason: SmolStr,
    },
    /// The settings have problems.
    Invalid(ProblemList),
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, reason } => write!(f, "{} can't be read: {reason}", path.display()),
            Self::Invalid(problems) => Display::fmt(problems, f),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Settings, with the paths of all fields that a settings file may have.
#[derive(Debug, Clone)]
pub struct ReadSettings {
    /// The settings.
    pub settings: DaemonSettings,
    /// The paths of all fields that a settings file may have.
    pub fields: Vec<SmolStr>,
}

/// Reads a settings file, with overrides and the operators' secret from the environment.
///
/// # Errors
///
/// Returns all problems of the settings.
pub fn open_settings(
    path: &Path,
    environment: impl Iterator<Item = (String, String)>,
) -> Result<DaemonSettings, SettingsError> {
    let text = fs::read_to_string(path).map_err(|error| SettingsError::File {
        path: path.to_owned(),
        reason: SmolStr::new(error.to_string()),
    })?;
    let read = read_settings(&text, environment).map_err(SettingsError::Invalid)?;
    Ok(read.settings)
}

/// Reads the text of a settings file, with overrides from the environment.
///
/// # Errors
///
/// Returns all problems of the settings.
pub fn read_settings(
    text: &str,
    environment: impl Iterator<Item = (String, String)>,
) -> Result<ReadSettings, ProblemList> {
    let node = parse_document(text)?;
    let mut variables: BTreeMap<SmolStr, SmolStr> = environment
        .filter(|(name, _)| name.starts_with(OVERRIDE_PREFIX))
        .map(|(name, value)| (SmolStr::new(name), SmolStr::new(value)))
        .collect();
    let secret = variables.remove(SECRET_VARIABLE);
    variables.remove(URL_VARIABLE);
    let mut context = ParseContext::with_overrides(variables);
    let settings = read_daemon(&node, secret, &mut context);
    context.report_unknown_overrides();
    context.problems.sort_and_offset(0);
    match settings {
        Some(settings) if context.problems.is_empty() => Ok(ReadSettings {
            settings,
            fields: context.field_paths().iter().cloned().collect(),
        }),
        _ => Err(context.problems),
    }
}

fn read_daemon(
    node: &DocumentNode,
    secret: Option<SmolStr>,
    context: &mut ParseContext,
) -> Option<DaemonSettings> {
    let mut root = SectionReader::open("", node, context);
    let identity = read_identity(&mut root, context);
    let region = identity.as_ref().map(|identity| identity.region.clone());
    let cluster = read_cluster(&mut root, region, context);
    let platform = read_platform(&mut root, context);
    let entry = read_entry(&mut root, context);
    let log = read_log(&mut root, context);
    let scheduler = read_scheduler(&mut root, context);
    let operators = read_operators(&mut root, secret, context);
    let peers = read_peers(&mut root, context);
    let telemetry = read_telemetry(&mut root, context);
    root.close(context);
    let telemetry = telemetry?;
    let mut entry = entry?;
    entry.tracing = telemetry.traces.is_some();
    let cluster = cluster?;
    entry.key_shards = cluster.shards;
    Some(DaemonSettings {
        identity: identity?,
        cluster,
        platform: platform?,
        entry,
        log: log?,
        scheduler: scheduler?,
        operators: operators?,
        peers: peers?,
        telemetry,
    })
}

fn read_identity(
    root: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<DaemonIdentity> {
    let mut section = root.section("daemon", context);
    let id = section.required("id", &ParsedField::<DaemonId>::new(NAME_RULE), context);
    let region = section.required(
        "region",
        &ParsedField::<RegionName>::new(NAME_RULE),
        context,
    );
    let zone = section.required("zone", &ParsedField::<ZoneName>::new(NAME_RULE), context);
    section.close(context);
    Some(DaemonIdentity {
        id: id?,
        region: region?,
        zone: zone?,
    })
}

fn read_cluster(
    root: &mut SectionReader<'_>,
    own: Option<RegionName>,
    context: &mut ParseContext,
) -> Option<ClusterSettings> {
    let mut reader = FieldReader::open(root, "cluster", context);
    let shards = reader.integer("shards", 1..=4096, DEFAULT_SHARDS);
    let rule = ParsedField::<RegionName>::new(NAME_RULE);
    let regions = reader.section.list("regions", &rule, reader.context);
    let (mut regions, own) = (regions?, own?);
    if regions.is_empty() {
        regions.push(own);
    } else if !regions.contains(&own) {
        reader.section.report(
            "regions",
            "lacks the daemon's own region",
            "list all regions, in the same order in all daemons",
            reader.context,
        );
    }
    reader.close();
    Some(ClusterSettings {
        shards: u16::try_from(shards?).ok()?,
        regions,
    })
}

fn read_platform(
    root: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<PlatformSettings> {
    let default = HttpTimeouts::default();
    let mut reader = FieldReader::open(root, "platform", context);
    let log = reader.address("log");
    let vm_list = reader.address("vm_list");
    let connect_timeout = reader.duration("connect_timeout", default.connect);
    let answer_timeout = reader.duration("answer_timeout", default.answer);
    let idle_timeout = reader.duration("idle_timeout", default.idle);
    reader.close();
    Some(PlatformSettings {
        log: log?,
        vm_list: vm_list?,
        connect_timeout: connect_timeout?,
        answer_timeout: answer_timeout?,
        idle_timeout: idle_timeout?,
    })
}

fn read_operators(
    root: &mut SectionReader<'_>,
    secret: Option<SmolStr>,
    context: &mut ParseContext,
) -> Option<OperatorSettings> {
    let default = OperatorSettings::default();
    let mut reader = FieldReader::open(root, "operators", context);
    let listen = reader.address("listen");
    let secret = read_secret(&mut reader, secret);
    let tls = read_tls(&mut reader);
    let connection_limit = reader.count("connection_limit", default.connection_limit);
    let header_limit = reader.buffer_size("header_limit", default.header_limit);
    let body_limit = reader.bytes("body_limit", default.body_limit);
    let header_timeout = reader.duration("header_timeout", default.header_timeout);
    let body_timeout = reader.duration("body_timeout", default.body_timeout);
    let (secret, tls) = (secret?, tls?);
    let certified = tls
        .as_ref()
        .is_some_and(|tls| tls.client_authority.is_some());
    if secret.is_none() && !certified {
        reader.section.report(
            "secret_file",
            "is missing, and so is a client authority, so operators could not be authenticated",
            "name a file with the secret, set GERANIUMSHED_OPERATOR_SECRET or require certificates",
            reader.context,
        );
    }
    reader.close();
    Some(OperatorSettings {
        listen: listen?,
        secret,
        tls,
        connection_limit: connection_limit?,
        header_limit: header_limit?,
        body_limit: body_limit?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
    })
}

/// Reads the operators' secret, which never appears in a problem.
#[expect(
    clippy::option_option,
    reason = "missing and invalid values are distinguished"
)]
fn read_secret(
    reader: &mut FieldReader<'_, '_>,
    variable: Option<SmolStr>,
) -> Option<Option<OperatorSecret>> {
    let file = reader
        .section
        .optional("secret_file", &PATH_RULE, reader.context)?;
    let text = match (variable, file) {
        (Some(text), _) => text.to_string(),
        (None, Some(path)) => match fs::read_to_string(path.as_str()) {
            Ok(text) => text,
            Err(error) => {
                let problem = format!("can't be read: {error}");
                let hint = "check that the file exists and that the daemon may read it";
                reader
                    .section
                    .report("secret_file", &problem, hint, reader.context);
                return None;
            }
        },
        (None, None) => return Some(None),
    };
    let secret = OperatorSecret::new(&text);
    if secret.is_none() {
        reader.section.report(
            "secret_file",
            "holds a secret that is too short",
            &format_smolstr!("use at least {} characters", OperatorSecret::LENGTH_MIN),
            reader.context,
        );
        return None;
    }
    Some(secret)
}

#[expect(
    clippy::option_option,
    reason = "missing and invalid values are distinguished"
)]
fn read_tls(reader: &mut FieldReader<'_, '_>) -> Option<Option<OperatorTls>> {
    let mut section = reader.section.section("tls", reader.context);
    let certificate = section.optional("certificate", &PATH_RULE, reader.context)?;
    let key = section.optional("key", &PATH_RULE, reader.context)?;
    let authority = section.optional("client_authority", &PATH_RULE, reader.context)?;
    let tls = match (certificate, key) {
        (Some(certificate), Some(key)) => Some(OperatorTls {
            certificate: PathBuf::from(certificate.as_str()),
            key: PathBuf::from(key.as_str()),
            client_authority: authority.map(|path| PathBuf::from(path.as_str())),
        }),
        (None, None) if authority.is_none() => None,
        _ => {
            section.report(
                "certificate",
                "and `key` belong together, and `client_authority` needs both",
                "give both files or none",
                reader.context,
            );
            None
        }
    };
    section.close(reader.context);
    Some(tls)
}

fn read_peers(root: &mut SectionReader<'_>, context: &mut ParseContext) -> Option<PeerAddresses> {
    let mut reader = FieldReader::open(root, "peers", context);
    let listen = reader.address("listen");
    let advertise = reader.optional_address("advertise");
    let seeds = reader.addresses("seeds");
    reader.close();
    let listen = listen?;
    Some(PeerAddresses {
        listen,
        advertise: advertise?.unwrap_or(listen),
        seeds: seeds?,
    })
}

fn read_telemetry(
    root: &mut SectionReader<'_>,
    context: &mut ParseContext,
) -> Option<TelemetrySettings> {
    let default = TelemetrySettings::default();
    let mut reader = FieldReader::open(root, "telemetry", context);
    let level_rule = TextField { limit: 1024 };
    let section = &mut reader.section;
    let log_level = section.defaulted("log_level", &level_rule, default.log_level, reader.context);
    let format_rule = ChoiceField(FORMAT_WORDS);
    let log_format = section.defaulted(
        "log_format",
        &format_rule,
        default.log_format,
        reader.context,
    );
    let statsd = reader.optional_address("statsd");
    let metric_interval = reader.duration("metric_interval", default.metric_interval);
    let traces = reader
        .section
        .optional("traces", &PATH_RULE, reader.context);
    let trace_percent = reader.integer("trace_percent", 1..=100, default.trace_percent);
    reader.close();
    Some(TelemetrySettings {
        log_level: log_level?,
        log_format: log_format?,
        statsd: statsd?,
        metric_interval: metric_interval?,
        traces: traces?,
        trace_percent: trace_percent?,
    })
}
